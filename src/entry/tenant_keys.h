/** \file
 * Defines tenant_keys, which tells by a bearer key which tenant calls.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/random.h"
#include "control_api.pb.h"
#include "entry/caller.h"

namespace chervildyke {

/** Looks up callers by the salted hashes of the view in use. Keeps no key and logs none. */
class tenant_keys {
  public:
    /** \param random gives the salt under which found keys are remembered. */
    explicit tenant_keys(const random_source& random);

    /** \param view whose tenants count; without tenants every caller is the tenant "public".
     * \param authorization the value of the Authorization header.
     * \return nothing when the key is no tenant's.
     */
    std::optional<caller> identify(const std::shared_ptr<const schema::routing_view>& view,
                                   std::string_view authorization);

  private:
    void forget_if_changed(const schema::routing_view& view);

    std::string own_salt_;
    std::uint64_t configuration_version_ = 0;
    std::unordered_map<std::string, int> found_; // Hash under the own salt to the tenant's index.
};

} // namespace chervildyke
