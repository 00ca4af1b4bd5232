/** \file
 * Implements judge_wait.
 */
#include "routing/attempt_patience.h"

#include <algorithm>

namespace chervildyke {

namespace {

constexpr int expected_factor = 4;           // Times the prediction, which knows no straggler.
constexpr duration least_first_wait = 450ms; // Above the first event of a full batch.
constexpr duration least_gap_wait = 400ms;   // Twice the strictest target for a gap.
constexpr duration stall_limit = 400ms; // Four times the longest gap of a full batch: a replica
                                        // that no call hears of for longer stands still.
constexpr duration silent_connection = 1300ms; // While other calls hear from the replica, the
                                               // connection is lost; callers leave after 2 s.

} // namespace

duration unremarkable_silence(const silent_attempt& attempt)
{
    return std::max(attempt.expected * expected_factor,
                    attempt.starting ? least_first_wait : least_gap_wait);
}

wait_verdict judge_wait(const silent_attempt& attempt, const replacement_attempt& replacement,
                        duration time_left)
{
    if (attempt.own_silence < unremarkable_silence(attempt)) {
        return wait_verdict::wait;
    }
    const bool stands_still = attempt.replica_silence > stall_limit;
    if (stands_still && !attempt.replica_serves) {
        return replacement.allowed ? wait_verdict::move : wait_verdict::end;
    }
    const bool suspect = stands_still || attempt.own_silence > silent_connection;
    const bool beats_waiting =
        replacement.allowed && replacement.first_event && *replacement.first_event < time_left;
    return suspect && beats_waiting ? wait_verdict::move : wait_verdict::wait;
}

} // namespace chervildyke
