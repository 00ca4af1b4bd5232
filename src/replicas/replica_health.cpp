/** \file
 * Implements the assessment of replicas and their members.
 */
#include "replicas/replica_health.h"

#include <algorithm>

namespace chervildyke {

member_state assess_member(const replica& subject, const observed_vm* vm,
                           const watch_bounds& bounds, time_point now)
{
    if (vm == nullptr || vm->presence == vm_presence::gone) {
        return member_state::gone;
    }
    if (vm->is_leaving()) {
        return member_state::leaving;
    }
    if (vm->lost_since) {
        return member_state::lost;
    }
    if (!vm->report || !vm->answered_within(bounds.report_freshness, now)) {
        return member_state::stale;
    }
    if (!vm->reports_replica(subject.id)) {
        return member_state::not_joined;
    }
    switch (vm->report->condition()) {
    case schema::engine_ready:
        return member_state::ready;
    case schema::engine_broken:
        return member_state::broken;
    default:
        return member_state::loading;
    }
}

replica_health assess_replica(const replica& subject, const observed_fleet& fleet,
                              const watch_bounds& bounds, time_point now)
{
    replica_health health;
    health.complete = !subject.members.empty();
    for (const replica_vm& member : subject.members) {
        const member_state state = assess_member(subject, fleet.find(member.vm), bounds, now);
        const bool is_permanent = state == member_state::gone || state == member_state::leaving ||
                                  state == member_state::broken;
        health.members.push_back(state);
        health.complete = health.complete && state == member_state::ready;
        health.broken = health.broken || is_permanent || state == member_state::lost;
        health.recoverable = health.recoverable && !is_permanent;
    }
    return health;
}

const char* to_string(member_state state)
{
    switch (state) {
    case member_state::ready:
        return "ready";
    case member_state::loading:
        return "loading";
    case member_state::not_joined:
        return "not in the replica by its own report";
    case member_state::stale:
        return "without a fresh report";
    case member_state::broken:
        return "broken";
    case member_state::leaving:
        return "leaving";
    case member_state::lost:
        return "lost";
    case member_state::gone:
        return "gone from the VM list";
    }
    return "unknown";
}

} // namespace chervildyke
