/** \file
 * Defines observed_vm and observed_fleet, what a control has observed of the backend server VMs.
 * The repair plan reads them as values.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "platform.pb.h"

namespace chervildyke {

/** The state of a VM in the platform's VM list. */
enum class vm_presence { live, leaving, gone };

/** What runs on the VMs of a pool. */
enum class vm_role { other, engine, service };

/** The limits by which VMs count as lost, stale, flapping or slow. */
struct watch_bounds {
    duration detection_bound = 2s;   // A VM that answers no watcher for longer is lost.
    duration report_freshness = 3s;  // An older report does not prove membership.
    duration list_lag = 5s;          // How old the contents of the VM list may be.
    duration flap_window = 300s;     // Only losses in this window count as flapping.
    std::size_t flap_loss_limit = 2; // With so many losses a VM is unfit for new replicas.
    double straggler_ratio = 2.0;    // A straggler's token time over the median of its peers.

    bool operator==(const watch_bounds&) const = default;
};

/** What a control has observed of one VM. */
struct observed_vm {
    std::string vm;
    std::string address;
    std::string pool;
    std::string failure_domain;
    std::string fabric_domain;
    std::uint32_t accelerators = 0;
    vm_role role = vm_role::other;
    vm_presence presence = vm_presence::live;
    time_point listed_since{};                // When the VM list first had it with this address.
    std::optional<time_point> gone_since;     // When the VM list first lacked it.
    std::optional<time_point> last_answer_at; // Its last answer is not older than this.
    std::string watcher;                      // The control that received that answer.
    std::shared_ptr<const schema::engine_report> report; // Its last report; null before the first.
    std::optional<time_point> lost_since;                // Set while it is lost.
    std::optional<time_point> straggling_since;
    std::vector<time_point> recent_losses; // When it was lost in the flap window, the oldest first.

    /** \return true when the VM list or its engine reports that the VM is leaving, or the VM is
     * gone from the list.
     */
    bool is_leaving() const;

    /** \return true when its last answer is not older than max_age. */
    bool answered_within(duration max_age, time_point now) const;

    /** \return true when its engine reports that it is a member of the replica, with the id both as
     * replica id and as fencing number.
     */
    bool reports_replica(std::uint64_t replica_id) const;

    /** \return true when it was lost too often within the flap window to join a new replica. */
    bool is_flapping(const watch_bounds& bounds) const;

    bool operator==(const observed_vm&) const = default;
};

/** What a control has observed of all VMs. */
struct observed_fleet {
    std::map<std::string, observed_vm> vms;
    std::map<std::string, time_point> unreachable_domains; // Since when, by fabric domain.
    std::vector<duration> past_vm_outages;                 // The newest outages of single VMs.
    std::vector<duration> past_domain_outages;             // The newest outages of fabric domains.
    bool isolated = false; // No engine answers, so this control itself is probably cut off.

    /** \return the VM, or null when the VM list did not show it. */
    const observed_vm* find(const std::string& vm) const;

    /** \return true when the VM belongs to an unreachable fabric domain. */
    bool in_unreachable_domain(const observed_vm& vm) const;

    bool operator==(const observed_fleet&) const = default;
};

/** Finds the fabric domains of which most engines have stopped answering at about the same time.
 * \param silence the time since each engine VM last answered, by VM.
 * \return the domains of at least three VMs in which one VM or more is lost and more than half have
 * been silent for three quarters of the detection bound.
 */
std::vector<std::string> find_unreachable_domains(const observed_fleet& fleet,
                                                  const std::map<std::string, duration>& silence,
                                                  const watch_bounds& bounds);

/** Finds VMs that are slower than the other VMs with the same model.
 * \return the VMs whose token time exceeds straggler_ratio times the median of their model. Models
 * with fewer than three VMs have no stragglers.
 */
std::vector<std::string> find_stragglers(const observed_fleet& fleet, const watch_bounds& bounds);

} // namespace chervildyke
