/** \file
 * Defines replica_health and assess_replica, which derives the health of a replica and its members
 * from what their engines report.
 */
#pragma once

#include <string>
#include <vector>

#include "journal/replica.h"
#include "replicas/observed_fleet.h"

namespace chervildyke {

/** The state of one member of a replica. */
enum class member_state {
    ready,      // Freshly reported that it holds its part of the replica.
    loading,    // Joined, but is not ready yet.
    not_joined, // Reports another replica or none, so it has to be commanded to join.
    stale,      // Its last report is too old to rely on, but it is not lost yet.
    broken,     // Its engine reports a failure that it can't recover from.
    leaving,    // The VM list or its engine reports that it is leaving.
    lost,       // It answered no watcher within the detection bound.
    gone,       // No longer in the VM list.
};

/** \param vm the member's VM, or null when the VM list did not show it.
 * \return the member's state.
 */
member_state assess_member(const replica& subject, const observed_vm* vm,
                           const watch_bounds& bounds, time_point now);

/** The health of a replica as a whole. */
struct replica_health {
    std::vector<member_state> members; // In the order of the replica's members.
    bool complete = false;             // All members are ready.
    bool broken = false;               // A member is lost, gone, leaving or broken.

    /** It can become complete with its present members: none is gone, leaving or broken. */
    bool recoverable = true;

    bool operator==(const replica_health&) const = default;
};

/** \return the health of a replica by its members' newest reports. */
replica_health assess_replica(const replica& subject, const observed_fleet& fleet,
                              const watch_bounds& bounds, time_point now);

/** \return the state as shown to operators. */
const char* to_string(member_state state);

} // namespace chervildyke
