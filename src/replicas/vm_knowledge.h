/** \file
 * Defines what a control knows of the backend server VMs, as values that decisions read.
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

/** Where a VM stands in the platform's VM list. */
enum class vm_presence { live, leaving, gone };

/** What runs on the VMs of a pool. */
enum class vm_role { other, engine, service };

/** The time bounds by which silence is judged. */
struct watch_bounds {
    duration detection_bound = 2s;  // Silence towards all watchers after which a VM is lost.
    duration report_freshness = 3s; // The oldest report that still proves membership.
    duration list_lag = 5s;         // How far the VM list may lag behind reality.
    duration flap_window = 300s;    // Losses within it count towards flapping.
    std::size_t flap_losses = 2;    // Losses within the window that make a VM unfit as a spare.
    double straggler_ratio = 2.0;   // Token time over the median of its peers.

    bool operator==(const watch_bounds&) const = default;
};

/** What is known of one VM. */
struct vm_knowledge {
    std::string vm;
    std::string address;
    std::string pool;
    std::string failure_domain;
    std::string fabric_domain;
    std::uint32_t accelerators = 0;
    vm_role role = vm_role::other;
    vm_presence presence = vm_presence::live;
    time_point known_since{};             // When the VM list first showed it.
    std::optional<time_point> gone_since; // When the VM list first did not show it.
    std::optional<time_point> heard_at;   // When its last answer was true at the latest.
    std::string watcher;                  // Who heard that answer.
    std::shared_ptr<const schema::engine_report> report; // Its last answer; null before the first.
    std::optional<time_point> lost_since; // Set while it is silent beyond the detection bound.
    std::optional<time_point> straggling_since;
    std::vector<time_point> losses; // When it was lost lately; the oldest first.

    /** \return true when the VM list or its own engine says that it is leaving. */
    bool is_leaving() const;

    /** \return true when its last answer is not older than the span. */
    bool heard_within(duration span, time_point now) const;

    /** \return true when its engine reports to be in the replica with this id and fencing number.
     */
    bool reports_replica(std::uint64_t replica_id) const;

    /** \return true when it was lost too often lately to be relied on. */
    bool is_flapping(const watch_bounds& bounds) const;

    bool operator==(const vm_knowledge&) const = default;
};

/** What is known of all VMs. */
struct fleet_knowledge {
    std::map<std::string, vm_knowledge> vms;
    std::map<std::string, time_point> dark_domains; // Fabric domains that went silent as one.
    std::vector<duration> vm_outages;               // How long lost VMs stayed away lately.
    std::vector<duration> domain_outages;           // How long dark domains stayed dark lately.
    bool blind = false; // Nothing at all answers, so the fault is rather on this side.

    /** \return the VM, or null when it was never listed. */
    const vm_knowledge* find(const std::string& vm) const;

    /** \return true when the VM belongs to a fabric domain that went silent as one. */
    bool in_dark_domain(const vm_knowledge& vm) const;

    bool operator==(const fleet_knowledge&) const = default;
};

/** Finds fabric domains of which most engines are silent together.
 * \param silence how long each engine VM of the fleet has been silent, by name.
 * \return the domains in which at least one VM is lost and more than half are silent for most of
 * the detection bound.
 */
std::vector<std::string> find_dark_domains(const fleet_knowledge& fleet,
                                           const std::map<std::string, duration>& silence,
                                           const watch_bounds& bounds);

/** Finds VMs that run slower than their peers with the same model.
 * \return the names of the VMs whose token time exceeds the peers' median by the ratio.
 */
std::vector<std::string> find_stragglers(const fleet_knowledge& fleet, const watch_bounds& bounds);

} // namespace chervildyke
