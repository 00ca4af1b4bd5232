/** \file
 * Defines judge_wait, which decides whether a call whose replica is silent waits on, moves to
 * another replica, or ends.
 */
#pragma once

#include <optional>

#include "base/clock.h"

namespace chervildyke {

/** What is known of an attempt that waits for an event. */
struct silent_attempt {
    duration own_silence{};     // Since it was sent, or since its last event.
    duration replica_silence{}; // Since any node heard an event of any call at the replica.
    duration expected{};        // Predicted time to the event.
    bool starting = true;       // It waits for its first event.
    bool replica_serves = true; // False: the replica gives way, as when it has lost a member.

    bool operator==(const silent_attempt&) const = default;
};

/** Another attempt in place of a silent one. */
struct replacement_attempt {
    bool allowed = false;                // By the route, the attempts made and the retry budget.
    std::optional<duration> first_event; // Predicted at the best free place; none: no place.

    bool operator==(const replacement_attempt&) const = default;
};

enum class wait_verdict { wait, move, end };

/** \return how long an attempt is silent before it is judged at all. */
duration unremarkable_silence(const silent_attempt& attempt);

/** An attempt that is given up throws away the prompt that was read for it and loads another
 * replica, so it is given up only for a place that beats waiting. A replica that answers other
 * calls is sound, whatever one call hears.
 * \param time_left until the call's deadline.
 */
wait_verdict judge_wait(const silent_attempt& attempt, const replacement_attempt& replacement,
                        duration time_left);

} // namespace chervildyke
