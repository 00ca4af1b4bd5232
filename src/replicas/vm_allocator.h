/** \file
 * Defines vm_allocator, which selects the VMs of new replicas, and check_fitness.
 */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "journal/fleet_state.h"
#include "replicas/observed_fleet.h"

namespace chervildyke {

/** What a new replica requires of its VMs. */
struct vm_requirements {
    std::string pool;
    std::string model;
    std::size_t vm_count = 1;
    bool one_fabric_domain = true;

    bool operator==(const vm_requirements&) const = default;
};

/** VMs selected for one replica. */
struct vm_selection {
    std::vector<std::string> vms;
    std::size_t loads = 0;     // How many of them must load the model's weights.
    std::size_t held_vms = 0;  // How many of them are not free yet.
    std::string fabric_domain; // Empty when the VMs may span several.

    bool operator==(const vm_selection&) const = default;
};

/** Why a VM can't be used for a new replica. */
enum class unfit_reason { none, not_engine, gone, leaving, drained, lost, stale, broken, flapping };

/** Checks whether a VM is fit for a new replica, whether or not a replica holds it now.
 * \param drained the VMs that operators have drained.
 * \return none when it is fit.
 */
unfit_reason check_fitness(const observed_vm& vm, const std::set<std::string>& drained,
                           const watch_bounds& bounds, time_point now);

/** \return the reason as shown to operators. */
const char* to_string(unfit_reason reason);

/** \return true when the VM's engine holds the model's weights. */
bool holds_weights(const observed_vm& vm, const std::string& model);

/** Tracks which VMs are free, which are being released, and which are reserved for replicas that
 * the same plan decided on before, of teams that are worth as much or more. The repair plan chooses
 * between selections.
 */
class vm_allocator {
  public:
    vm_allocator(const fleet_state& state, const observed_fleet& fleet, const watch_bounds& bounds,
                 time_point now);

    /** Selects VMs for one replica, first those that hold the weights. Of the fabric domains it
     * prefers the one with the fewest loads, then the fewest VMs still held, then the fewest VMs
     * left over.
     * \param freed VMs that would be released for the replica, in addition to the free ones.
     * \param include_releasing whether VMs that are being released count too.
     * \return no value when no fabric domain has enough VMs.
     */
    std::optional<vm_selection> select(const vm_requirements& wanted,
                                       const std::vector<std::string>& freed,
                                       bool include_releasing) const;

    /** Excludes the VMs from later selections. */
    void reserve(const vm_selection& selection);

    /** \return true when the VM is fit for a new replica, whether or not a replica holds it now. */
    bool is_fit(const std::string& vm) const;

    /** \return how many VMs of the pool are free and not reserved. */
    std::size_t free_vms(const std::string& pool) const;

  private:
    using vm_list = std::vector<const observed_vm*>;
    using vms_by_domain = std::map<std::string, vm_list>;
    using vms_by_pool = std::map<std::string, vms_by_domain>;

    /** The VMs of one fabric domain, or of a whole pool, that can be selected. */
    struct vm_group {
        const vm_list* free = nullptr;
        const vm_list* releasing = nullptr;
        vm_list freed;

        std::size_t size() const;
    };

    std::map<std::string, vm_group> candidate_groups(const vm_requirements& wanted,
                                                     const std::vector<std::string>& freed,
                                                     bool include_releasing) const;
    vm_selection select_from(const vm_group& from, const vm_requirements& wanted) const;
    static void add_all_domains(vms_by_pool& pools);
    void remove(vms_by_pool& from, const observed_vm& vm);

    const observed_fleet& fleet_;
    watch_bounds bounds_;
    time_point now_;
    std::set<std::string> drained_;
    vms_by_pool free_;      // By pool and fabric domain; the whole pool under any_domain.
    vms_by_pool releasing_; // Likewise: held by retiring replicas or not left by their engines yet.
    std::set<std::string> reserved_;
};

} // namespace chervildyke
