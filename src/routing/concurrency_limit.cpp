/** \file
 * Implements concurrency_limit: additive increase, multiplicative decrease.
 */
#include "routing/concurrency_limit.h"

#include <algorithm>

namespace chervildyke {

concurrency_limit::concurrency_limit(concurrency_policy policy)
    : policy_(policy), limit_(std::clamp(policy.initial, policy.floor, policy.ceiling))
{
}

duration concurrency_limit::best() const
{
    return std::min(best_now_, best_before_);
}

void concurrency_limit::turn_window(duration first_token, time_point now)
{
    if (now - window_began_ > policy_.window) {
        best_before_ = best_now_;
        best_now_ = duration::max();
        window_began_ = now;
    }
    best_now_ = std::min(best_now_, first_token);
}

void concurrency_limit::note(duration first_token, std::uint32_t in_flight, time_point now)
{
    turn_window(first_token, now);
    const auto scaled =
        static_cast<std::int64_t>(policy_.tolerance * static_cast<double>(best().count()));
    if (first_token > duration(scaled) + policy_.tolerance_slack) {
        decrease(now);
        return;
    }
    const bool in_use = static_cast<double>(in_flight) >= 0.7 * limit_;
    if (in_use) {
        limit_ = std::min(limit_ + 1.0 / limit_, policy_.ceiling);
    }
}

void concurrency_limit::note_overload(time_point now)
{
    decrease(now);
}

void concurrency_limit::decrease(time_point now)
{
    if (now - decreased_at_ >= policy_.decrease_interval) {
        limit_ = std::max(limit_ * policy_.decrease, policy_.floor);
        decreased_at_ = now;
    }
}

void concurrency_limit::set_ceiling(double ceiling)
{
    policy_.ceiling = std::max(ceiling, policy_.floor);
    limit_ = std::min(limit_, policy_.ceiling);
}

} // namespace chervildyke
