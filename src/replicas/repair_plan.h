/** \file
 * Defines the repair plan: which replicas to form, retire and release, and what else was weighed.
 */
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "journal/fleet_state.h"
#include "replicas/repair_memory.h"
#include "replicas/vm_knowledge.h"

namespace chervildyke {

enum class decision_kind {
    wait, // Nothing is done for now; the reason says what is waited for.
    form_replica,
    mark_serving,
    retire_replica,
    release_vm,
};

/** The ways to bring a team's capacity back. */
enum class repair_action {
    wait,     // For the lost member, or for free VMs.
    rebuild,  // From the replica's own fit members and spare VMs.
    complete, // From the fit members of another broken replica.
    preempt,  // From a replica of a team with lower priority.
};

const char* to_string(repair_action action);

/** One way that was weighed. */
struct alternative {
    repair_action action = repair_action::wait;
    double cost = 0; // Weighted seconds of group downtime and of stranded accelerators.
    std::vector<replica_id> sources; // Other replicas that it takes apart.
    std::string note;

    bool operator==(const alternative&) const = default;
};

/** One decision with its reason and what was weighed against it. */
struct decision {
    decision_kind kind = decision_kind::wait;
    std::string team;
    replica_id replica = 0;       // The replica concerned; for form_replica the one it replaces.
    std::vector<std::string> vms; // To form from, or the one to release.
    std::string model;
    schema::release_evidence evidence = schema::release_evidence_unknown;
    std::string reason;
    std::vector<alternative> alternatives;

    bool operator==(const decision&) const = default;
};

/** Chooses among the ways that are possible.
 * \return the index of the chosen way.
 */
using repair_choice = std::function<std::size_t(const std::vector<alternative>&)>;

/** \return the index of the way with the least cost. */
std::size_t least_cost(const std::vector<alternative>& ways);

struct repair_options {
    watch_bounds bounds;
    bool engines_check_fencing = true;
    duration order_quarantine = 3s; // The longest time that an order can be in flight.
    /** Outages that are presumed beside those seen: of single VMs, and of fabric domains. */
    std::vector<duration> presumed_vm_outages = {5s, 30s, 300s};
    std::vector<duration> presumed_domain_outages = {15s, 60s, 600s};
    duration expected_capacity_wait = 300s; // Until free VMs turn up by themselves.
    duration release_time = 1s;             // Until a member has let go.
    duration preempt_patience = 3s;         // VMs that were lost or released show within this time.
    duration straggler_patience = 10s;
    duration domain_settle_time = 600ms;   // Until all losses of a dark domain have shown.
    duration settle_time = 1500ms;         // Until entries route to a replica that became complete.
    double assumed_bytes_per_second = 1e9; // Of a weight store whose rate is not configured.
    repair_choice choose = least_cost;
};

/** Plans for the whole fleet. A pure function of its arguments.
 * \return decisions in the order in which they should be carried out; more valuable teams first.
 */
std::vector<decision> plan_repairs(const fleet_state& state, const fleet_knowledge& fleet,
                                   const repair_memory& memory, const repair_options& options,
                                   time_point now);

} // namespace chervildyke
