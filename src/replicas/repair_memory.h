/** \file
 * Defines repair_memory, what a control remembers from one repair plan to the next.
 */
#pragma once

#include <map>
#include <string>
#include <utility>

#include "journal/fleet_state.h"
#include "replicas/vm_knowledge.h"

namespace chervildyke {

/** What one control remembers beside the journal; each control may remember otherwise, which
 * changes costs and order but never the validity of a decision.
 */
struct repair_memory {
    std::map<replica_id, std::pair<schema::replica_phase, time_point>> phase_since;
    std::map<std::string, time_point> down_since;    // Teams without a complete replica.
    std::map<std::string, time_point> lacking_since; // Teams with fewer than they want.

    /** Brings the memory up to date with the state. */
    void update(const fleet_state& state, const fleet_knowledge& fleet, const watch_bounds& bounds,
                time_point now);

    /** How long the team has lacked a replica, as far as this control saw. */
    duration lacking(const std::string& team, time_point now) const;

    /** How long the replica has been in its phase, as far as this control saw. */
    duration in_phase(replica_id id, time_point now) const;

    bool operator==(const repair_memory&) const = default;
};

} // namespace chervildyke
