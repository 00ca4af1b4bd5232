/** \file
 * Implements concurrency_limit.
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
    return std::min(best_in_window_, best_in_previous_window_);
}

void concurrency_limit::update_window(duration first_token, time_point now)
{
    if (now - window_started_at_ > policy_.window) {
        best_in_previous_window_ = best_in_window_;
        best_in_window_ = duration::max();
        window_started_at_ = now;
    }
    best_in_window_ = std::min(best_in_window_, first_token);
}

void concurrency_limit::note(duration first_token, std::uint32_t in_flight, time_point now)
{
    update_window(first_token, now);
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
