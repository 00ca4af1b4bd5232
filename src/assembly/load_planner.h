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

/** The weight store carries only some loads at full speed, so what it is spent on decides how soon
 * lost capacity is back: loads that complete a replica go first, those that complete it with the
 * least loading per VM before others.
 */
class load_planner {
  public:
    /** \param taken VMs that the same plan puts into replicas.
     * \param counts replicas of each model that form or serve.
     * \param targets replicas of each model that are wanted.
     */
    load_planner(const assembly_input& input, const std::vector<schema::shared_member>& taken,
                 std::map<std::string, std::uint32_t> counts,
                 std::map<std::string, std::uint32_t> targets);

    /** \return the free VMs of each fabric domain by what they hold, as logs show them. */
    std::string describe() const;

    /** \param allowance how many loads may start. */
    std::vector<planned_load> choose(std::uint32_t allowance);

    /** \return the model that the VM loads into its host's memory now, or null. */
    const model_profile* loading(const backend& vm) const;

  private:
    /** The free VMs of one fabric domain. */
    struct domain_state {
        std::map<std::string, std::uint32_t> holding; // By model, those that load it included.
        std::vector<const backend*> open;             // Whose hosts lose nothing by a load.
        std::map<std::string, std::vector<const backend*>> holders; // Others, by the host's model.
        std::map<std::string, std::size_t> serving;                 // VMs in replicas, by model.

        /** True when some VM serves or holds the model. */
        bool knows(const std::string& model) const;
    };
    struct option {
        domain_state* domain = nullptr;
        const model_profile* model = nullptr;
        std::uint32_t loads = 0;
        double value = 0;
    };

    /** Counts the VMs that replicas about to give way will leave behind. */
    void count_coming();
    void read_domains(const std::vector<schema::shared_member>& taken);

    /** True when no replica serves the model and free VMs can form none. */
    bool lacks_all(const model_profile& model) const;

    /** True while fewer replicas of the model form or serve than are wanted. */
    bool below_target(const model_profile& model) const;

    /** How many VMs that hold a model may load the wanted one: those that are too few for a replica
     * of their own, and any when nothing serves the wanted one.
     */
    std::size_t spare_holders(const domain_state& domain, const std::string& held,
                              const model_profile& wanted) const;
    std::size_t leftover(const domain_state& domain, const model_profile& wanted) const;

    /** Takes a VM that may load the wanted model. */
    std::string take(domain_state& domain, const model_profile& wanted) const;

    /** True when the free VMs of some domain hold the model, or load it, in number. */
    bool can_form(const model_profile& model) const;
    bool known_somewhere(const model_profile& model) const;
    option best_completion();
    option best_spare();

    /** \return how many loads may start that nothing waits for. */
    std::size_t spared_loads() const;

    /** Loads that still run when calls begin are slow from then on and slow down those that repair.
     * \return how many may start before.
     */
    std::size_t loads_before_calls() const;

    double need_of(const model_profile& model) const;
    double kinship(const domain_state& domain, const model_profile& model) const;

    const assembly_input& in_;
    std::map<std::string, std::uint32_t> counts_;
    std::map<std::string, std::uint32_t> targets_;
    std::map<std::string, domain_state> domains_;
    std::uint32_t running_ = 0;
};

} // namespace chervildyke
