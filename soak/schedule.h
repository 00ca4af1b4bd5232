/** \file
 * Defines the schedule of faults of one soak, which is drawn from a seed.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace chervildyke::soak {

/** Nodes and servers that end by a fault are started again. */
enum class fault_kind {
    node_killed,
    node_stopped, // By SIGTERM.
    node_frozen,
    node_reloaded, // Re-reads changed settings.
    all_nodes_killed,
    link_slow,
    link_reset,        // Open connections are reset.
    link_cut_forward,  // What the connecting side sends is held back.
    link_cut_backward, // What the listening side sends is held back.
    link_silent,       // Open connections stay open but pass nothing on.
    server_crashed,
    server_leaves,
    server_cut_from_store, // Its entry is no longer updated; the server crashes later.
    server_slow,
    server_fails,         // Some calls get status 500.
    server_loses_answers, // Some calls run and get no answer.
    server_breaks_off,    // Some streams end before their last event.
    orders_late,          // Some servers run commands late and leave them unanswered.
    store_down,
    store_slow,
    store_loses_answers, // Calls are executed and not answered.
    store_rejects_node,
    store_forgets, // Only the newest record of each key is kept.
    configuration_changed,
    key_revoked,
    server_endless,  // Each answer goes on without end.
    server_silent,   // Accepts, answers and sends nothing for about a second, then goes on.
    poison_prompts,  // Some calls crash each server that begins to answer them.
    store_restored,  // The store is down, then comes back from an older copy.
    server_isolated, // It reaches neither the store nor the nodes, runs on, and comes back.
};

/** The links that a fault may affect. */
enum class link_kind { callers_to_node, node_to_store, to_server };

/** One fault of a schedule. */
struct scheduled_fault {
    duration start{};  // Since the start of the schedule.
    duration length{}; // Zero for faults that take effect at one moment.
    fault_kind kind = fault_kind::node_killed;
    link_kind link = link_kind::callers_to_node; // For faults of links only.
    std::uint64_t target = 0; // Index of the node or server, modulo their number.

    /** \return the kind, link, target and length, as printed during a run. */
    std::string to_string() const;
};

/** \return true for the kinds that excuse no lost answer: the routine operations of a deployment
 * and the silence of a sound server.
 */
bool excuses_nothing(fault_kind kind);

/** Which kinds of faults a schedule has. */
/** The copy from which the store is restored is older by the target of store_restored modulo this.
 */
constexpr duration copy_age_spread = 12s;

struct schedule_options {
    bool excusing_nothing_only = false; // Other kinds would excuse lost answers near their time.
    bool poison = false;                // Adds poison_prompts for at least half of the time.
    bool restores = false;              // Adds one to three of store_restored.
    bool endless = false;               // Adds two to five of server_endless.
    bool isolations = false;            // Adds two to five of server_isolated, among late commands.
    bool missed_changes = false; // Adds changes while the store rejects a node; with restores, the
                                 // store then comes back without them.
};

/** Draws a schedule, which is the same for the same seed. Faults may overlap.
 * \param span the time within which faults start.
 * \return the faults in the order of their start.
 */
std::vector<scheduled_fault> draw_schedule(std::uint64_t seed, duration span,
                                           const schedule_options& options = {});

} // namespace chervildyke::soak
