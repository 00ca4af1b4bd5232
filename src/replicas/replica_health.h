/** \file
 * Defines how the members of a replica are judged from what their engines report.
 */
#pragma once

#include <string>
#include <vector>

#include "journal/replica.h"
#include "replicas/vm_knowledge.h"

namespace chervildyke {

/** What one member's VM is for its replica. */
enum class member_state {
    ready,      // Reported freshly that it holds its part of the replica.
    loading,    // Joined, but is not ready yet.
    dissenting, // Reports another replica or none; it has to be ordered again.
    stale,      // Its last report is too old to rely on, but it is not lost yet.
    broken,     // Its engine reports that it can't go on.
    leaving,    // The VM list or its engine says that it is leaving.
    lost,       // Silent towards all watchers beyond the detection bound.
    gone,       // No longer in the VM list.
};

/** \param vm what is known of the member's VM, or null when it was never listed.
 * \return the member's state.
 */
member_state judge_member(const replica& subject, const vm_knowledge* vm,
                          const watch_bounds& bounds, time_point now);

/** The state of a replica as a whole. */
struct replica_health {
    std::vector<member_state> members; // In the order of the replica's members.
    bool complete = false;             // All members are ready.
    bool broken = false;               // A member is lost, gone, leaving or broken.
    bool can_return = true;            // No member is gone, leaving or broken for good.

    bool operator==(const replica_health&) const = default;
};

replica_health judge_replica(const replica& subject, const fleet_knowledge& fleet,
                             const watch_bounds& bounds, time_point now);

/** \return a word for people. */
const char* to_string(member_state state);

} // namespace chervildyke
