/** \file
 * Defines conversion_planner, which converts serving replicas of one model to another model.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "assembly/load_planner.h"
#include "assembly/member_pool.h"
#include "assembly/plan_builder.h"

namespace chervildyke {

/** Converts replicas of a model that has more than its target to a model that has fewer. Their
 * members load the wanted model into their hosts' memory beside serving. Once they hold it, the
 * replicas retire without aborting calls, and the next plans form replicas of the wanted model of
 * their VMs. Until then the members can still form replicas of the model on their accelerators.
 *
 * A conversion has no state of its own: the list of VMs shows which members hold the wanted model,
 * and running loads are reported to the next leader. Both make it continue with the same replicas.
 */
class conversion_planner {
  public:
    /** All arguments must outlive the object.
     * \param targets replicas wanted.
     * \param counts forming and serving replicas.
     * \param running_loads how many loads run, including those that the same plan starts.
     */
    conversion_planner(const assembly_input& input, const model_split_settings& settings,
                       const replica_counts& targets, const replica_counts& counts,
                       const load_planner& loads, std::size_t running_loads, plan_builder& builder);

    /** Starts loads and retires replicas where a model has had too many replicas for long enough.
     * \param state its excess_since is updated.
     */
    void run(split_state& state);

  private:
    /** Replicas of one domain that are converted together. */
    struct candidate {
        std::vector<const ledger_entry*> replicas;
        std::uint32_t holding = 0; // Members that hold or load the wanted model.
        std::size_t in_domain = 0; // Convertible replicas in the domain.
        std::uint64_t running = 0; // Calls.
    };

    /** \return by how many replicas the model exceeds its target. */
    std::uint32_t excess(const model_profile& model) const;
    std::uint32_t deficit(const model_profile& model) const;
    const model_profile* model_in_excess() const;
    const model_profile* model_in_need() const;

    /** \return the best candidate of each domain, those that have loaded most first.
     * \param size replicas to convert together.
     */
    std::vector<candidate> candidates(const model_profile& from, const model_profile& to,
                                      std::uint32_t size) const;

    /** \return true if all members are listed and stay, and the replica serves. */
    bool is_convertible(const ledger_entry& entry, const model_profile& from) const;
    std::uint32_t count_holding(const ledger_entry& entry, const model_profile& to) const;
    bool is_loading(const backend& vm, const model_profile& to) const;

    /** \return true once enough members have loaded the model. */
    bool load_members(const candidate& chosen, const model_profile& to, std::uint32_t needed);

    const assembly_input& in_;
    const model_split_settings& settings_;
    const replica_counts& targets_;
    const replica_counts& counts_;
    const load_planner& loads_;
    plan_builder& builder_;
    member_pool pool_;
    std::size_t free_load_slots_ = 0;
};

} // namespace chervildyke
