/** \file
 * Defines the faults of one run of the soak, drawn from its seed.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace chervildyke::soak {

enum class fault_kind {
    node_killed,
    node_stopped, // Asked to stop, then started again.
    node_frozen,
    node_reloaded,
    all_nodes_killed,
    link_slow,
    link_reset,
    link_cut_forward,
    link_cut_backward,
    link_silent,
    server_crashed,
    server_leaves,
    server_cut_from_store,
    server_slow,
    server_fails,
    server_loses_answers,
    server_breaks_off,
    orders_late,
    store_down,
    store_slow,
    store_loses_answers,
    store_rejects_node,
    store_forgets,
    configuration_changed,
    key_revoked,
};

/** Which links a fault of a link harms. */
enum class link_place { callers_to_node, node_to_store, to_server };

struct planned_fault {
    duration at{};    // From the first call.
    duration lasts{}; // Zero for faults of one moment.
    fault_kind kind = fault_kind::node_killed;
    link_place place = link_place::callers_to_node;
    std::uint64_t target = 0; // Which node or server, modulo their number.

    std::string to_string() const;
};

/** True for what operators do every day: callers must not notice it. */
bool is_planned_work(fault_kind kind);

/** Draws the faults, in the order of their time; they may overlap and come in series.
 * \param span the time in which they begin.
 */
std::vector<planned_fault> draw_schedule(std::uint64_t seed, duration span);

} // namespace chervildyke::soak
