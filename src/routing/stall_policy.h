/** \file
 * Defines choose_stall_action, which decides whether a call that receives no events keeps waiting,
 * fails over to another replica, or fails.
 */
#pragma once

#include <optional>

#include "base/clock.h"

namespace chervildyke {

/** An attempt that waits for an event. */
struct silent_attempt {
    duration own_silence{};     // Since the attempt was sent or its last event arrived.
    duration replica_silence{}; // Since any node received an event of any call from the replica.
    duration expected{};        // Predicted time until the event.
    bool starting = true;       // True while it waits for its first event.
    bool replica_is_serving = true; // False if it is retiring: it lost a member, or is leaving.

    bool operator==(const silent_attempt&) const = default;
};

/** An attempt at another replica that could replace the silent one. */
struct replacement_attempt {
    bool allowed = false; // By the route, the number of attempts and the retry budget.
    // Predicted at the best replica with a free slot; nothing if there is none.
    std::optional<duration> first_event;

    bool operator==(const replacement_attempt&) const = default;
};

/** What to do with a silent attempt: keep waiting, try another replica beside it, or fail the call.
 */
enum class stall_action { wait, failover, fail };

/** \return the silence up to which an attempt is never given up. */
duration tolerated_silence(const silent_attempt& attempt);

/** Decides on a silent attempt. Another attempt adds load to another replica, so a call fails over
 * only if that replica is expected to answer before the deadline. A replica that sends events to
 * other calls is healthy, however long one call is silent. Any working replica may be silent for a
 * second, so silence alone ends an attempt only at a replica that no longer serves, and later.
 * \param time_left until the call's deadline.
 */
stall_action choose_stall_action(const silent_attempt& attempt,
                                 const replacement_attempt& replacement, duration time_left);

} // namespace chervildyke
