/** \file
 * Defines plan_assembly, which decides from what is known what to record and which orders to send
 * so that replicas form, open, and give way when they have lost a member.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "assembly/assembly_memory.h"
#include "assembly/replica_ledger.h"
#include "assembly/replica_order.h"
#include "base/clock.h"
#include "fleet/backend_table.h"
#include "fleet/engine_profile.h"
#include "routing/replica_balancer.h"

namespace chervildyke {

struct assembly_settings {
    duration order_retry = 600ms;     // A lost order is sent again; an answer takes a few ms.
    duration stall_probe = 450ms;     // Silence of a replica with calls, after which members are
                                      // probed; five times the longest usual gap between events.
    duration stall_limit = 2500ms;    // Silence after which a replica is given up although its
                                      // members answer: the fabric between them is cut.
    duration probe_interval = 200ms;  // Of one VM; less than an answer may take, so that two lost
                                      // datagrams are told from a lost VM sooner.
    duration probe_trust = 1s;        // A VM that answered is not probed again for so long.
    std::uint32_t probe_failures = 2; // In a row, after which a VM counts as lost.
    duration forming_limit = 40s;     // Longer than any load that is under way.
    duration spare_join_limit = 5s;   // Twice the time from a host's memory to its accelerators.
    duration idle_close_limit = 8s;   // The longest call; then the rest is broken off.
    duration leaving_member_use = 6500ms; // A member that leaves stays for 10 s while its head has
                                          // calls; the longest of them must end by then.
    duration lost_head_wait = 4s;       // From a head's lapse until its VMs may be used again, when
                                        // it can't be reached to close it.
    duration silent_head_wait = 2500ms; // The same, from the first probe that it did not answer;
                                        // its heartbeats have been missing for longer.
    double loss_allowance = 0.05; // More of a model's share for each VM of a replica: it stands
                                  // still whichever of them is lost.
    double spare_share = 0.1;     // Of each fabric domain's VMs, kept staged beside its replicas,
                                  // one at least: a loss in a domain is rarer than a load is long.
};

/** All that a plan is made from. */
struct assembly_input {
    std::string service;
    const engine_profile* profile = nullptr;
    const replica_ledger* ledger = nullptr;
    const backend_table* backends = nullptr;
    const assembly_memory* memory = nullptr;
    std::map<std::uint64_t, replica_usage> uses;   // Of all nodes, by epoch.
    std::map<std::string, double> demand_ms_per_s; // Replica time asked for, by model.
    bool loads_are_free = false;      // Before the first call: as many as wanted, and fast.
    std::uint32_t load_allowance = 0; // Otherwise: loads that may start now.
    bool list_is_current = true;      // The list of VMs was read lately.
    time_point now{};
};

struct planned_order {
    std::string vm;
    replica_order order;
    bool loads_weights = false;

    bool operator==(const planned_order&) const = default;
};

/** What to do now. Records are appended all or none, at the ledger's end. */
struct assembly_plan {
    std::vector<keyed_record> records;
    std::vector<planned_order> orders;
    std::vector<std::string> probes;
    std::string free_vms; // What the loads were chosen from, for the log.
};

/** True while a replica may take calls although the member leaves: it stays for its head's sake.
 * A head that leaves gets no new calls.
 */
bool leaving_but_usable(const listed_backend& member, bool is_head, time_point now,
                        const assembly_settings& settings);

assembly_plan plan_assembly(const assembly_input& input, const assembly_settings& settings);

} // namespace chervildyke
