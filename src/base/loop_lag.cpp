/** \file
 * Implements loop_lag.
 */
#include "base/loop_lag.h"

#include <algorithm>

namespace chervildyke {

namespace {

constexpr duration measure_interval = 50ms; // Twenty wake-ups a second cost 0.1% of a core.

} // namespace

boost::asio::awaitable<void> loop_lag::measure()
{
    while (true) {
        due_ = monotonic_clock::now() + measure_interval;
        co_await sleep_for(measure_interval);
        last_ = monotonic_clock::now() - due_;
    }
}

duration loop_lag::now() const
{
    // The measure itself may be overdue.
    return std::max(
        {last_, monotonic_clock::now() - std::min(due_, monotonic_clock::now()), duration::zero()});
}

} // namespace chervildyke
