/** \file
 * Defines member_pool, which picks the VMs of a new replica.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/backend.h"
#include "fleet/engine_profile.h"
#include "node.pb.h"

namespace chervildyke {

struct assembly_input;

/** True when the VM's host holds the model. */
bool has_staged(const backend& vm, const std::string& model);

/** True when the VM can join a replica of the model without a load from the weight store. */
bool holds(const backend& vm, const std::string& model);

/** True when the VM's host can load another model without losing one: it holds none, or the one
 * that is on the accelerators as well.
 */
bool has_open_host(const backend& vm);

/** The VMs that no replica holds, by fabric domain. */
class member_pool {
  public:
    explicit member_pool(const assembly_input& input);

    /** Picks the members of a replica within one fabric domain, of VMs that hold the model: where
     * most VMs serve it already. What is left of replicas of one model that lost members makes new
     * ones only within a domain, so each domain should hold few models.
     * \return nothing when no domain has enough such VMs.
     */
    std::vector<schema::shared_member> take(const model_profile& model);

    /** Picks members within the domain given, staged or not.
     * \return nothing when it has too few free VMs.
     */
    std::vector<schema::shared_member> take_in(const std::string& domain,
                                               const model_profile& model);

    const std::map<std::string, std::vector<const backend*>>& free_by_domain() const
    {
        return free_;
    }

    /** How many VMs of the domain are in replicas of the model. */
    std::size_t serving(const std::string& domain, const std::string& model) const;

    /** How many of the service's VMs each domain can use, in replicas or free. */
    const std::map<std::string, std::uint32_t>& usable_by_domain() const { return usable_; }

  private:
    std::size_t kin(const std::string& domain, const std::string& model) const;

    std::map<std::string, std::vector<const backend*>> free_;           // By fabric domain.
    std::map<std::string, std::map<std::string, std::size_t>> serving_; // VMs by domain and model.
    std::map<std::string, std::uint32_t> usable_;
};

} // namespace chervildyke
