/** \file
 * Implements choose_stall_action.
 */
#include "routing/stall_policy.h"

#include <algorithm>

namespace chervildyke {

namespace {

// Multiple of the prediction, which does not account for stragglers.
constexpr int prediction_tolerance = 4;

// More than the time to the first event in a full batch.
constexpr duration min_first_event_silence = 450ms;

// Twice the strictest target for an event gap.
constexpr duration min_event_gap_silence = 400ms;

// Four times the longest event gap of a full batch; a replica that sends no call an event for
// longer is stalled.
constexpr duration stall_limit = 400ms;

// A replica that no longer serves and is silent for longer is lost. A working server may be silent
// for a second.
constexpr duration lost_replica_silence = 1500ms;

// A connection silent for longer while other calls get events is taken as lost; callers leave after
// 2 s.
constexpr duration connection_silence_limit = 1300ms;

} // namespace

duration tolerated_silence(const silent_attempt& attempt)
{
    return std::max(attempt.expected * prediction_tolerance,
                    attempt.starting ? min_first_event_silence : min_event_gap_silence);
}

stall_action choose_stall_action(const silent_attempt& attempt,
                                 const replacement_attempt& replacement, duration time_left)
{
    if (attempt.own_silence < tolerated_silence(attempt)) {
        return stall_action::wait;
    }
    const bool stalled = attempt.replica_silence > stall_limit;
    if (!attempt.replica_is_serving && attempt.replica_silence > lost_replica_silence) {
        return replacement.allowed ? stall_action::failover : stall_action::fail;
    }
    const bool suspicious = stalled || attempt.own_silence > connection_silence_limit;
    const bool beats_waiting =
        replacement.allowed && replacement.first_event && *replacement.first_event < time_left;
    return suspicious && beats_waiting ? stall_action::failover : stall_action::wait;
}

} // namespace chervildyke
