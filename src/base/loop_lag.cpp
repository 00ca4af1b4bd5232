/** \file
 * Implements loop_lag.
 */
#include "base/loop_lag.h"

#include <algorithm>

namespace chervildyke {

namespace {

// 20 wake-ups per second use 0.1% of a core.
constexpr duration measure_interval = 50ms;

} // namespace

boost::asio::awaitable<void> loop_lag::measure()
{
    while (true) {
        next_wakeup_ = monotonic_clock::now() + measure_interval;
        co_await sleep_for(measure_interval);
        last_lag_ = monotonic_clock::now() - next_wakeup_;
    }
}

duration loop_lag::current() const
{
    // The next measurement may itself be overdue.
    return std::max({last_lag_,
                     monotonic_clock::now() - std::min(next_wakeup_, monotonic_clock::now()),
                     duration::zero()});
}

} // namespace chervildyke
