/** \file
 * Defines member_pool, which selects the VMs of a new replica.
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

/** \return true when the VM's host has the model in its memory. */
bool has_staged(const backend& vm, const std::string& model);

/** \return true when the VM can join a replica of the model without a load from the weight store.
 */
bool holds_model(const backend& vm, const std::string& model);

/** \return true when the VM's host can load another model without evicting the VM's only copy of a
 * model: the host holds no model, or only the one that is also on the accelerators.
 */
bool can_stage_without_eviction(const backend& vm);

/** \return true when the VM is a head that may take calls. A late command can leave a VM in this
 * state although no replica of the ledger has it as a member.
 */
bool takes_calls(const backend& vm);

/** The VMs of a service that belong to no replica, by fabric domain. It leaves out VMs of evacuated
 * failure domains.
 */
class member_pool {
  public:
    explicit member_pool(const assembly_input& input);

    /** Takes the members of a replica from VMs of one fabric domain that hold the model. Prefers
     * the domain in which most VMs serve the model. The members that remain of damaged replicas can
     * form new replicas only with VMs of the same domain and model, so each domain should hold few
     * models.
     * \return the members, or nothing when no domain has enough VMs that hold the model.
     */
    std::vector<schema::shared_member> take_holders(const model_profile& model);

    /** Takes members from the given domain, whether or not they hold the model.
     * \return the members, or nothing when the domain has too few free VMs.
     */
    std::vector<schema::shared_member> take_from_domain(const std::string& domain,
                                                        const model_profile& model);

    const std::map<std::string, std::vector<const backend*>>& free_by_domain() const
    {
        return free_;
    }

    /** \return how many VMs of the domain are in replicas of the model. */
    std::size_t serving_vms(const std::string& domain, const std::string& model) const;

    /** \return how many of the service's VMs are usable in each domain, in replicas or free. */
    const std::map<std::string, std::uint32_t>& usable_by_domain() const { return usable_; }

  private:
    std::size_t domain_affinity(const std::string& domain, const std::string& model) const;

    std::map<std::string, std::vector<const backend*>> free_;           // By fabric domain.
    std::map<std::string, std::map<std::string, std::size_t>> serving_; // VMs by domain and model.
    std::map<std::string, std::uint32_t> usable_;                       // VMs by domain.
};

} // namespace chervildyke
