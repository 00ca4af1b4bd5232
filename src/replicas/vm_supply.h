/** \file
 * Defines vm_supply, the VMs that new replicas can be formed from.
 */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "journal/fleet_state.h"
#include "replicas/vm_knowledge.h"

namespace chervildyke {

/** What one new replica asks for. */
struct vm_need {
    std::string pool;
    std::string model;
    std::size_t count = 1;
    bool one_fabric_domain = true;

    bool operator==(const vm_need&) const = default;
};

/** VMs chosen for one replica. */
struct vm_pick {
    std::vector<std::string> vms;
    std::size_t loads = 0;     // How many of them don't hold the model's weights yet.
    std::size_t not_free = 0;  // How many of them are still held by another replica.
    std::string fabric_domain; // Empty when the pick spans several.

    bool operator==(const vm_pick&) const = default;
};

/** Why a VM can't be used for a new replica. */
enum class unfit_reason { none, not_engine, gone, leaving, drained, lost, stale, broken, flapping };

/** Says whether a VM would be fit for a new replica, whoever holds it now.
 * \return none when it is fit.
 */
unfit_reason judge_fitness(const vm_knowledge& vm, const std::set<std::string>& drained,
                           const watch_bounds& bounds, time_point now);

/** \return a phrase for people. */
const char* to_string(unfit_reason reason);

/** \return true when the VM's engine holds the model's weights. */
bool holds_weights(const vm_knowledge& vm, const std::string& model);

/** Knows which VMs are free, which are about to be, and which were promised to a more valuable
 * team. Choosing between picks is left to the repair plan.
 */
class vm_supply {
  public:
    vm_supply(const fleet_state& state, const fleet_knowledge& fleet, const watch_bounds& bounds,
              time_point now);

    /** Picks VMs for one replica: those that hold the weights first, out of the fabric domain that
     * needs the fewest loads and is left with the fewest free VMs.
     * \param freed VMs that would be freed for it, beside the free ones.
     * \param with_arriving whether VMs of retiring replicas count too.
     * \return no value when no fabric domain has enough.
     */
    std::optional<vm_pick> pick(const vm_need& need, const std::vector<std::string>& freed,
                                bool with_arriving) const;

    /** Keeps the VMs from later picks. */
    void reserve(const vm_pick& pick);

    /** \return true when the VM is fit, whoever holds it. */
    bool is_fit(const std::string& vm) const;

    std::size_t free_count(const std::string& pool) const;

  private:
    using vm_list = std::vector<const vm_knowledge*>;
    using domain_map = std::map<std::string, vm_list>;
    using pool_map = std::map<std::string, domain_map>;

    /** The VMs of one fabric domain, or of all, that a pick may choose from. */
    struct group {
        const vm_list* free = nullptr;
        const vm_list* arriving = nullptr;
        vm_list freed;

        std::size_t size() const;
    };

    std::map<std::string, group> groups_for(const vm_need& need,
                                            const std::vector<std::string>& freed,
                                            bool with_arriving) const;
    vm_pick best_of(const group& from, const vm_need& need) const;
    static void add_all_domains(pool_map& pools);
    void remove(pool_map& from, const vm_knowledge& vm);

    const fleet_knowledge& fleet_;
    watch_bounds bounds_;
    time_point now_;
    std::set<std::string> drained_;
    pool_map free_;     // By pool and fabric domain; all of a pool under any_domain.
    pool_map arriving_; // Likewise.
    std::set<std::string> reserved_;
};

} // namespace chervildyke
