/** \file
 * Implements repair_history.
 */
#include "replicas/repair_history.h"

#include "replicas/replica_health.h"

namespace chervildyke {

void repair_history::update(const fleet_state& state, const observed_fleet& fleet,
                            const watch_bounds& bounds, time_point now)
{
    std::map<replica_id, std::pair<schema::replica_phase, time_point>> phases;
    std::map<std::string, std::uint32_t> complete;
    for (const auto& [id, subject] : state.replicas()) {
        const auto known = phase_since.find(id);
        const bool same = known != phase_since.end() && known->second.first == subject.phase;
        phases[id] = {subject.phase, same ? known->second.second : now};
        if (subject.phase == schema::serving &&
            assess_replica(subject, fleet, bounds, now).complete) {
            ++complete[subject.team];
        }
    }
    std::map<std::string, time_point> down;
    std::map<std::string, time_point> deficits;
    const auto since = [&](const std::map<std::string, time_point>& known, const auto& name) {
        const auto found = known.find(name);
        return found == known.end() ? now : found->second;
    };
    for (const auto& [name, team] : state.teams()) {
        if (complete[name] < team.parameters.replicas()) {
            deficits[name] = since(deficit_since, name);
            if (complete[name] == 0) {
                down[name] = since(down_since, name);
            }
        }
    }
    phase_since = std::move(phases);
    down_since = std::move(down);
    deficit_since = std::move(deficits);
}

duration repair_history::deficit_duration(const std::string& team, time_point now) const
{
    const auto found = deficit_since.find(team);
    return found == deficit_since.end() ? duration::zero() : now - found->second;
}

duration repair_history::phase_duration(replica_id id, time_point now) const
{
    const auto found = phase_since.find(id);
    return found == phase_since.end() ? duration::zero() : now - found->second.second;
}

} // namespace chervildyke
