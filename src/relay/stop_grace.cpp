/** \file
 * Implements stop_grace.
 */
#include "relay/stop_grace.h"

#include <algorithm>

namespace chervildyke {

namespace {

constexpr duration exit_reserve = 150ms;          // For the end of the process itself.
constexpr duration last_answers_time = 100ms;     // To send the answers of the last calls.
constexpr duration accept_while_leaving = 2500ms; // Callers use a cached address for that long.
constexpr duration last_requests_time = 300ms;    // To read the requests of the last connections.

// Part of its time for which a stopping node must be able to wait for a call that may run again.
constexpr int usable_time_divisor = 2;

} // namespace

void stop_grace::begin(time_point now, duration grace)
{
    exit_at_ = now + std::max<duration>(grace - exit_reserve, duration::zero());
    calls_end_ = std::max(exit_at_ - last_answers_time, now);
    accepting_end_ = std::clamp(calls_end_ - last_requests_time, now, now + accept_while_leaving);
}

bool stop_grace::takes(time_point now, time_point deadline, retry_rule retry) const
{
    if (covers(deadline)) {
        return true;
    }
    return retry != retry_rule::never && calls_end_ - now >= (deadline - now) / usable_time_divisor;
}

bool stop_grace::may_send(time_point deadline, retry_rule retry) const
{
    return retry != retry_rule::never || covers(deadline);
}

} // namespace chervildyke
