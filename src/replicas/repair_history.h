/** \file
 * Defines repair_history, what a control keeps from one repair plan to the next.
 */
#pragma once

#include <map>
#include <string>
#include <utility>

#include "journal/fleet_state.h"
#include "replicas/observed_fleet.h"

namespace chervildyke {

/** Times that a control has observed and that are not in the journal. They may differ between
 * controls, which changes the costs and the order of decisions but never their validity.
 */
struct repair_history {
    std::map<replica_id, std::pair<schema::replica_phase, time_point>> phase_since;
    std::map<std::string, time_point> down_since;    // Teams without a complete replica.
    std::map<std::string, time_point> deficit_since; // Teams with too few complete replicas.

    /** Updates the times from the journal's state and the observed fleet. */
    void update(const fleet_state& state, const observed_fleet& fleet, const watch_bounds& bounds,
                time_point now);

    /** \return how long the team has had too few complete replicas, as far as this control saw;
     * zero when it has enough.
     */
    duration deficit_duration(const std::string& team, time_point now) const;

    /** \return how long the replica has been in its phase, as far as this control saw; zero when it
     * is unknown.
     */
    duration phase_duration(replica_id id, time_point now) const;

    bool operator==(const repair_history&) const = default;
};

} // namespace chervildyke
