/** \file
 * Defines overload_policy, the rules by which calls of different urgency start, wait or are refused
 * when a model has too few free slots. All are functions of values.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "base/clock.h"

namespace chervildyke {

/** Whether a call can meet its target for the first event. Earlier values go first. */
enum class call_standing {
    started, // It was sent to a replica that failed; its caller has already waited.
    in_time,
    late,
};

/** The place of a call among those that wait for a model; the smallest goes first. */
struct call_rank {
    call_standing standing = call_standing::in_time;
    std::uint32_t priority = 0; // Of call_route; zero is the most urgent.

    bool operator==(const call_rank&) const = default;
    bool operator<(const call_rank& other) const
    {
        return std::tie(standing, priority) < std::tie(other.standing, other.priority);
    }
};

/** What decides about a call while it waits. */
struct overload_terms {
    std::uint32_t priority = 0;
    bool has_started = false;
    time_point in_time_until{}; // A call that starts later misses its target.
    time_point start_by{};      // A call that starts later can't end by its deadline.
    time_point deadline{};
    double relative_work = 1; // Replica time that it needs, relative to a usual call.

    bool operator==(const overload_terms&) const = default;
};

/** The load that decides how long a call of some rank waits. */
struct rank_load {
    double calls_ahead = 0;      // Of all nodes.
    double admissions_per_s = 0; // Of all nodes and ranks; zero if unknown.
    double share = 1;            // Of the admissions, for calls of the rank and later ranks.

    bool operator==(const rank_load&) const = default;
};

constexpr std::uint32_t max_call_priority = 99; // Greater numbers count as this one.

call_rank rank_of(const overload_terms& call, time_point now);

/** \return the rank as nodes state it to each other, zero first. */
std::uint32_t to_number(const call_rank& rank);

/** \return the rank, or nullopt for a number that stands for none. */
std::optional<call_rank> rank_from_number(std::uint32_t number);

/** \return the rank as it appears in logs and metrics, such as "in_time_0". */
std::string to_text(const call_rank& rank);

/** \return the priority in a fair_queue, where higher values go first. */
std::uint32_t queue_priority(const call_rank& rank);

/** \return the priority of an attempt in the queue of a model engine: 0 to 9, zero first. */
std::uint32_t engine_priority(const call_rank& rank);

/** \return by how many calls of its team a call moves back in a fair_queue for its work. Small
 * calls go first, but a large one is passed by few.
 */
double queue_delay(const overload_terms& call);

/** \return the expected wait; nullopt if the rate of admissions is unknown. */
std::optional<duration> expected_wait(const rank_load& load);

/** \return true if a new call is to be refused rather than queued.
 * \param wait the expected wait of a call of its present rank.
 * \param late_wait the expected wait if it misses its target.
 */
bool should_refuse(const overload_terms& call, std::optional<duration> wait,
                   std::optional<duration> late_wait, time_point now);

/** \return true if a waiting call is to be refused because it is no longer expected to start in
 * time for its deadline. The parameters are those of should_refuse().
 */
bool should_give_up(const overload_terms& call, std::optional<duration> wait,
                    std::optional<duration> late_wait, time_point now);

/** \return the Retry-After of a refusal.
 * \param wait the expected wait, by which room is expected.
 * \param time_left of the call.
 * \param fraction a random number from 0 to 1 that spreads the retries.
 */
duration overload_retry_after(const call_rank& rank, std::optional<duration> wait,
                              duration time_left, double fraction);

/** \return the share of a replica's slots that may be in use before a call of the rank starts
 * there. \param more_urgent_arrive true if calls of earlier ranks have arrived recently. \param
 * batch_slots of a replica; zero if unknown.
 */
double rank_fill_limit(const call_rank& rank, bool more_urgent_arrive, std::uint32_t batch_slots);

} // namespace chervildyke
