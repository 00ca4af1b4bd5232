/** \file
 * Defines tenant_authenticator, which finds the tenant of a bearer key.
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
#include "entry/caller_info.h"

namespace chervildyke {

/** Authenticates callers against the salted key hashes of the routing view. Neither stores nor
 * logs keys.
 */
class tenant_authenticator {
  public:
    /** \param random generates the salt for the hashes of cached keys. */
    explicit tenant_authenticator(const random_source& random);

    /** \param view lists the tenants; if it lists none, every caller is the tenant "public".
     * \param authorization the value of the Authorization header.
     * \return nothing if no tenant has the key.
     */
    std::optional<caller_info> authenticate(const std::shared_ptr<const schema::routing_view>& view,
                                            std::string_view authorization);

  private:
    void clear_cache_if_outdated(const schema::routing_view& view);

    std::string cache_salt_;
    std::uint64_t configuration_version_ = 0;
    std::unordered_map<std::string, int> cached_tenant_indexes_; // By salted hash of the key.
};

} // namespace chervildyke
