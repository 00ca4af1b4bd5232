/** \file
 * Defines plan_assembly, which decides from the known state of the fleet what to record and which
 * commands to send, so that replicas form, open, and retire when they have lost a member.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "assembly/assembly_history.h"
#include "assembly/engine_command.h"
#include "assembly/model_split.h"
#include "assembly/replica_ledger.h"
#include "base/clock.h"
#include "fleet/backend_table.h"
#include "fleet/engine_profile.h"
#include "routing/replica_balancer.h"

namespace chervildyke {

/** The list of VMs shows that a VM has left a replica within this time: two heartbeats. */
inline constexpr duration list_lag = 2s;

struct assembly_settings {
    /** After this time a command without effect is sent again, since it may be lost. An answer
     * takes a few ms.
     */
    duration command_resend_interval = 600ms;

    /** The members of a replica that has calls are probed once it has sent no event for so long.
     * This is five times the longest usual gap between events.
     */
    duration stall_probe_delay = 450ms;

    /** A replica that has calls is retired once it has sent no event for so long, although its
     * members answer probes: the fabric between them is cut.
     */
    duration stall_retire_delay = 2500ms;

    /** The calls of a replica may lack events for so long after a failed probe of a member: another
     * member may have become silent meanwhile without a failed probe yet.
     */
    duration silence_recovery = 1500ms;

    /** A replica that has calls is retired once it has sent no event for so long, whatever its
     * members answer. Two members that are silent one after the other take less.
     */
    duration max_stall = 4s;

    /** Time between probes of one VM. It is shorter than an answer may take, so that it shows
     * sooner whether two datagrams or the VM were lost.
     */
    duration probe_interval = 200ms;

    /** A VM that answered a probe is not probed again for so long. It is shorter than the usual
     * silence of a working VM, so that each silence of a member makes a probe fail.
     */
    duration probe_validity = 400ms;

    /** Consecutive failed probes after which a VM counts as lost, if it refuses connections. */
    std::uint32_t probe_failure_limit = 2;

    /** A VM that only stays silent counts as lost when its probes have failed for so long. A
     * working VM may be silent for a second, and its calls have been silent for 0.8 s at the first
     * failure.
     */
    duration probe_silence_limit = 1s;

    /** Longer than any load that is under way. Plans do not use it. */
    duration forming_limit = 40s;

    /** A spare is not commanded to join again for so long. This is twice the time that a model
     * takes from a host's memory to its accelerators.
     */
    duration spare_join_timeout = 5s;

    /** How long a head may take to finish its running calls; calls that still run are then aborted.
     * This is the duration of the longest call.
     */
    duration idle_close_timeout = 8s;

    /** How long a replica is used after a member other than its head began to leave. Such a member
     * stays for 10 s while its head has calls; the longest call must end within that time.
     */
    duration leaving_member_usable_time = 6500ms;

    /** When a lost head can't be reached to close it: the time from its removal from the backend
     * list until its members leave the replica.
     */
    duration lost_head_wait = 4s;

    /** Like lost_head_wait, but from the first probe that the head did not answer. It is shorter
     * because the head's heartbeats have been missing for longer.
     */
    duration silent_head_wait = 2500ms;

    /** By this fraction a model's share increases for each VM of a replica, since the loss of any
     * one of them stops the replica.
     */
    double loss_allowance = 0.05;

    /** Fraction of each fabric domain's VMs, at least one VM, that stay outside replicas as spares
     * with staged models. Few suffice: the time between two losses in a domain is longer than the
     * load that replaces a used spare.
     */
    double spare_share = 0.1;

    model_split_settings split;
};

/** From what the split of the VMs between models is decided, where calls differ in urgency. */
struct split_input {
    std::map<std::string, recent_demand> demand; // By model.
    split_state state;                           // Of the last decision.
};

/** The state from which a plan is made. */
struct assembly_input {
    std::string service;
    const engine_profile* profile = nullptr;
    const replica_ledger* ledger = nullptr;
    const backend_table* backends = nullptr;
    const assembly_history* history = nullptr;
    std::map<std::uint64_t, replica_usage> uses;   // Of all nodes, by epoch.
    std::map<std::string, double> demand_ms_per_s; // Replica time demanded, by model.
    std::optional<split_input> split; // Empty: the configured shares and demand_ms_per_s count.
    bool before_first_call = false;   // No call has come yet: loads are fast and not rate-limited.
    std::uint32_t load_allowance = 0; // After the first call: loads that may start now.
    bool list_is_current = true;      // The list of VMs was read recently.
    std::set<std::string> evacuated;  // Failure domains without formation and loads.
    time_point now{};

    /** \return true if no replica may form on the VM and no load may start there. */
    bool is_evacuated(const backend& vm) const { return evacuated.contains(vm.failure_domain); }

    /** \return true if a listed member is on an evacuated VM. The replica stays for the return of
     * its domain, but doesn't count as capacity.
     */
    bool is_evacuated(const schema::shared_replica& replica) const;
};

struct planned_command {
    std::string vm;
    engine_command command;
    bool loads_weights = false; // The VM loads a model from the weight store.

    bool operator==(const planned_command&) const = default;
};

/** What to do now. The records are appended atomically at the ledger's end. */
struct assembly_plan {
    std::vector<keyed_record> records;
    std::vector<planned_command> commands;
    std::vector<std::string> probes;   // VMs.
    std::vector<std::uint64_t> closed; // Epochs of replicas whose heads are known to serve no more.
    std::string free_vms;              // The free VMs from which loads were chosen, for the log.
    replica_counts counts;             // Replicas that form or serve, new ones included.
    std::optional<split_decision> split; // Set if the input has a split.
};

/** \return true while a replica may take calls although the member is leaving. The member serves
 * until its head has no calls. A head that is leaving gets no new calls.
 */
bool leaving_but_usable(const listed_backend& member, bool is_head, time_point now,
                        const assembly_settings& settings);

/** \return the plan for one service. */
assembly_plan plan_assembly(const assembly_input& input, const assembly_settings& settings);

} // namespace chervildyke
