/** \file
 * Implements overload_policy.
 */
#include "routing/overload_policy.h"

#include <algorithm>

namespace chervildyke {

namespace {

// The numbers of ranks: 0 for started calls, then one for each priority of calls in time and late.
constexpr std::uint32_t first_in_time = 1;
constexpr std::uint32_t first_late = first_in_time + max_call_priority + 1;
constexpr std::uint32_t end_of_ranks = first_late + max_call_priority + 1;

// The numbers of the engine's priorities: 0 for started calls, 1 to 4 in time, 6 to 9 late. 5 is
// what an engine assumes for calls that state none.
constexpr std::uint32_t engine_in_time = 1;
constexpr std::uint32_t engine_late = 6;
constexpr std::uint32_t max_engine_offset = 3;

// A call with twice the usual work or more is delayed like the second next call of its team, so a
// large call loses at most two turns.
constexpr double max_queue_delay = 2;

// Share of the admissions that a rank is assumed to get at least, so that a few late calls wait for
// the end of a burst. With a quarter, more calls were refused after a wait
// (docs/design/overload.md).
constexpr double min_admission_share = 0.03;

// A call is queued only if twice the expected wait is short enough, and stays queued until the wait
// itself is too long. Otherwise a small change of the rate would refuse calls that have waited.
constexpr double new_call_factor = 2;
constexpr double waiting_call_factor = 1;

// Limits of Retry-After. Callers wait for at most a third of the time that they have left.
constexpr duration min_retry_after = 300ms;
constexpr double max_retry_share = 0.32;

// The retries of a rank are spread over this share of the time until room is expected, which begins
// later for less urgent ones.
constexpr double retry_spread = 0.3;
constexpr double first_retry = 0.5;
constexpr double retry_step = 0.1;

// Late calls leave the other slots to calls that may still be in time. With 0.75, more late calls
// were served and fewer in time (docs/design/overload.md).
constexpr double late_fill_limit = 0.625;

duration scaled(duration span, double factor)
{
    return std::chrono::duration_cast<duration>(span * factor);
}

bool starts_too_late(const overload_terms& call, std::optional<duration> wait,
                     std::optional<duration> late_wait, time_point now, double factor)
{
    if (call.has_started) {
        return false; // It was sent before and is not refused for an estimate.
    }
    const bool becomes_late = wait && now + *wait > call.in_time_until;
    const std::optional<duration> judged = becomes_late ? late_wait : wait;
    return judged && now + scaled(*judged, factor) > call.start_by;
}

} // namespace

call_rank rank_of(const overload_terms& call, time_point now)
{
    if (call.has_started) {
        return {call_standing::started, 0};
    }
    return {now <= call.in_time_until ? call_standing::in_time : call_standing::late,
            std::min(call.priority, max_call_priority)};
}

std::uint32_t to_number(const call_rank& rank)
{
    if (rank.standing == call_standing::started) {
        return 0;
    }
    const std::uint32_t first =
        rank.standing == call_standing::in_time ? first_in_time : first_late;
    return first + std::min(rank.priority, max_call_priority);
}

std::optional<call_rank> rank_from_number(std::uint32_t number)
{
    if (number >= end_of_ranks) {
        return std::nullopt;
    }
    if (number >= first_late) {
        return call_rank{call_standing::late, number - first_late};
    }
    return number >= first_in_time ? call_rank{call_standing::in_time, number - first_in_time}
                                   : call_rank{call_standing::started, 0};
}

std::string to_text(const call_rank& rank)
{
    if (rank.standing == call_standing::started) {
        return "started";
    }
    return (rank.standing == call_standing::in_time ? "in_time_" : "late_") +
           std::to_string(rank.priority);
}

std::uint32_t queue_priority(const call_rank& rank)
{
    return end_of_ranks - to_number(rank);
}

std::uint32_t engine_priority(const call_rank& rank)
{
    if (rank.standing == call_standing::started) {
        return 0;
    }
    const std::uint32_t first =
        rank.standing == call_standing::in_time ? engine_in_time : engine_late;
    return first + std::min(rank.priority, max_engine_offset);
}

double queue_delay(const overload_terms& call)
{
    return std::clamp(call.relative_work, 0.0, max_queue_delay);
}

std::optional<duration> expected_wait(const rank_load& load)
{
    const double rate = load.admissions_per_s * std::max(load.share, min_admission_share);
    if (rate <= 0) {
        return std::nullopt;
    }
    constexpr double max_wait_s = 3600; // Fits into a duration, and is longer than any deadline.
    const double seconds = std::min((load.calls_ahead + 1) / rate, max_wait_s);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

bool should_refuse(const overload_terms& call, std::optional<duration> wait,
                   std::optional<duration> late_wait, time_point now)
{
    return starts_too_late(call, wait, late_wait, now, new_call_factor);
}

bool should_give_up(const overload_terms& call, std::optional<duration> wait,
                    std::optional<duration> late_wait, time_point now)
{
    return starts_too_late(call, wait, late_wait, now, waiting_call_factor);
}

duration overload_retry_after(const call_rank& rank, std::optional<duration> wait,
                              duration time_left, double fraction)
{
    const duration longest = std::max(scaled(time_left, max_retry_share), min_retry_after);
    const duration room = std::clamp(wait.value_or(longest), min_retry_after, longest);
    const double steps = rank.priority * retry_step;
    const double first = std::min(first_retry + steps, 1 - retry_spread);
    return std::max(scaled(room, first + retry_spread * fraction), min_retry_after);
}

double rank_fill_limit(const call_rank& rank, bool more_urgent_arrive, std::uint32_t batch_slots)
{
    if (!more_urgent_arrive || rank.standing == call_standing::started) {
        return 1;
    }
    if (rank.standing == call_standing::late) {
        return late_fill_limit;
    }
    // One slot of each replica is left, which takes a more urgent call that arrives at any node.
    return batch_slots > 1 ? 1 - 1.0 / batch_slots : 1;
}

} // namespace chervildyke
