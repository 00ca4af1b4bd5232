/** \file
 * Defines load_planner, which decides which models free VMs load from the weight store.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "assembly/assembly_plan.h"

namespace chervildyke {

struct planned_load {
    std::string vm;
    std::string model;

    bool operator==(const planned_load&) const = default;
};

/** Chooses the next loads. The weight store serves only a limited number of loads at full speed, so
 * the choice determines how soon lost capacity is replaced. Loads that complete a replica go first,
 * among them those with the shortest load time per VM of the replica.
 */
class load_planner {
  public:
    /** \param taken VMs that the same plan makes members of replicas.
     * \param counts forming and serving replicas, by model.
     * \param targets replicas wanted, by model.
     */
    load_planner(const assembly_input& input, const std::vector<schema::shared_member>& taken,
                 std::map<std::string, std::uint32_t> counts,
                 std::map<std::string, std::uint32_t> targets);

    /** \return the number of running loads and, for each fabric domain, of free VMs by the model
     * that they hold, as shown in logs.
     */
    std::string describe() const;

    /** Chooses the loads to start now.
     * \param allowance how many loads may start. Ignored before the first call.
     */
    std::vector<planned_load> choose(std::uint32_t allowance);

    /** \return the model that the VM is loading into its host's memory, or null. */
    const model_profile* loading(const backend& vm) const;

    /** \return how many loads run, without those that choose() has chosen. */
    std::uint32_t running_loads() const { return running_loads_; }

  private:
    /** The free VMs of one fabric domain. */
    struct domain_state {
        /** By model: VMs that hold or load it, and those that a damaged or retiring replica will
         * release.
         */
        std::map<std::string, std::uint32_t> holding;

        std::vector<const backend*> free_hosts; // VMs that can stage without eviction.
        std::map<std::string, std::vector<const backend*>> holders; // Others, by the staged model.
        std::map<std::string, std::size_t> serving;                 // VMs in replicas, by model.

        /** \return true when some VM serves or holds the model. */
        bool has_model(const std::string& model) const;
    };
    struct load_option {
        domain_state* domain = nullptr;
        const model_profile* model = nullptr;
        std::uint32_t loads = 0;
        double value = 0;
    };

    /** Counts the VMs that will be released by replicas which retire or have lost a member. */
    void count_released_vms();

    /** Counts the loads of VMs that are not free: of members that serve another model meanwhile,
     * and those that began before their domain was evacuated. They use the weight store too.
     */
    void count_loads_beside_free_vms();
    void build_domains(const std::vector<schema::shared_member>& taken);

    /** \return true when no replica serves the model and free VMs can form none. */
    bool is_unserved(const model_profile& model) const;

    /** \return true while fewer replicas of the model form or serve than are wanted. */
    bool below_target(const model_profile& model) const;

    /** \return how many of the VMs that hold a model may load the wanted one instead: those left
     * over after whole replicas of the held model, or all of them when the wanted model is unserved
     * and the held one is not.
     */
    std::size_t evictable_holders(const domain_state& domain, const std::string& held,
                                  const model_profile& wanted) const;

    /** \return the sum of evictable_holders() over all held models. */
    std::size_t evictable_vms(const domain_state& domain, const model_profile& wanted) const;

    /** Removes a VM that may load the wanted model from the domain's free VMs.
     * \return its id, or an empty text if there is none.
     */
    std::string take_vm(domain_state& domain, const model_profile& wanted) const;

    /** \return true when enough free VMs of one domain hold or load the model to form a replica. */
    bool can_form_replica(const model_profile& model) const;
    bool is_held_anywhere(const model_profile& model) const;

    /** \return the most valuable set of loads that completes a replica. */
    load_option best_completion();

    /** \return the most valuable load onto a spare. */
    load_option best_spare_load();

    /** \return how many loads may start that are not urgent. */
    std::size_t background_load_limit() const;

    /** Loads that are still running when calls begin become slow and slow down repair loads.
     * \return how many loads may start before the first call.
     */
    std::size_t load_limit_before_calls() const;

    /** \return how much the model needs another replica: its target in relation to its replicas. */
    double need(const model_profile& model) const;
    double domain_affinity(const domain_state& domain, const model_profile& model) const;

    const assembly_input& in_;
    std::map<std::string, std::uint32_t> replica_counts_;
    std::map<std::string, std::uint32_t> targets_;
    std::map<std::string, domain_state> domains_;
    std::uint32_t running_loads_ = 0;
};

} // namespace chervildyke
