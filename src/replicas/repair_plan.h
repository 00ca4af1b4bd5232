/** \file
 * Defines the repair plan: which replicas to form and retire, which VMs to release, and which other
 * repairs were considered.
 */
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "journal/fleet_state.h"
#include "replicas/observed_fleet.h"
#include "replicas/repair_history.h"

namespace chervildyke {

enum class decision_kind {
    wait, // Nothing is done for now; the reason says why.
    form_replica,
    mark_serving,
    retire_replica,
    release_vm,
};

/** The kinds of repair that restore a team's capacity. */
enum class repair_action {
    wait,     // For the lost member to return, or for free VMs.
    rebuild,  // Form a replica from its fit members and spare VMs.
    complete, // Also use the fit members of another broken replica.
    preempt,  // Also use the VMs of a replica of a team with lower priority.
};

/** \return the kind of repair as shown in logs and reasons. */
const char* to_string(repair_action action);

/** A possible repair and its cost. */
struct repair_candidate {
    repair_action action = repair_action::wait;
    double cost = 0; // Weighted seconds of replica downtime and of stranded accelerators.
    std::vector<replica_id> sources; // Other replicas that are retired for their VMs.
    std::string note;                // Explains the cost to operators.

    bool operator==(const repair_candidate&) const = default;
};

/** A decision with its reason and the repairs that were compared for it. */
struct decision {
    decision_kind kind = decision_kind::wait;
    std::string team;
    replica_id replica = 0;       // The replica concerned; for form_replica the replaced one.
    std::vector<std::string> vms; // To form from, or the one to release.
    std::string model;
    schema::release_evidence evidence = schema::release_evidence_unknown;
    std::string reason;
    std::vector<repair_candidate> candidates;

    bool operator==(const decision&) const = default;
};

/** Selects one of the possible repairs. A result beyond the end counts as the last one.
 * \return the index of the selected repair.
 */
using candidate_selector = std::function<std::size_t(const std::vector<repair_candidate>&)>;

/** \return the index of the first candidate with the least cost. */
std::size_t cheapest_candidate(const std::vector<repair_candidate>& candidates);

struct repair_options {
    watch_bounds bounds;
    bool engines_check_fencing = true;
    duration command_quarantine = 3s; // The longest time that a command can be in flight.

    /** Outages of single VMs that are assumed in addition to those observed. */
    std::vector<duration> assumed_vm_outages = {5s, 30s, 300s};

    /** Outages of fabric domains that are assumed in addition to those observed. */
    std::vector<duration> assumed_domain_outages = {15s, 60s, 600s};

    duration expected_capacity_wait = 300s; // Until free VMs appear without a repair.
    duration release_time = 1s;             // From a leave command until the member has left.

    /** A team preempts no replica until it has lacked one for so long. VMs that were lost or
     * released are observed within this time.
     */
    duration preemption_delay = 3s;

    /** A replica with a VM that is slow for longer is outdated. */
    duration straggler_grace_period = 10s;

    /** All losses in an unreachable domain are detected within this time. */
    duration domain_outage_settle_time = 600ms;

    /** Entries route calls to a newly complete replica within this time. */
    duration routing_propagation_time = 1500ms;

    double assumed_bytes_per_second = 1e9; // Rate of a weight store that is not configured.
    candidate_selector select = cheapest_candidate;
};

/** Plans the repairs of the whole fleet. The result depends only on the arguments.
 * \return the decisions in the order in which to carry them out: releases first, then those of more
 * valuable teams first.
 */
std::vector<decision> plan_repairs(const fleet_state& state, const observed_fleet& fleet,
                                   const repair_history& history, const repair_options& options,
                                   time_point now);

} // namespace chervildyke
