/** \file
 * Defines monotonic_clock, the clock of every timer, and manual_clock, which replaces it in tests.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>

namespace chervildyke {

using namespace std::chrono_literals;

/** The steady clock of the standard library, unless a manual_clock is installed. */
struct monotonic_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;

    static time_point now();

    /** True while a manual_clock is installed. */
    static bool is_manual();
};

using time_point = monotonic_clock::time_point;
using duration = monotonic_clock::duration;

/** Converts the times of timers for asio's reactor. While a manual_clock is installed, the reactor
 * doesn't wait by the system's clock, but checks for expired timers when manual_clock asks for it.
 */
struct monotonic_wait_traits {
    static duration to_wait_duration(const duration& until);
    static duration to_wait_duration(const time_point& until);
};

/** The timer that tasks wait on; cancellable and usable with awaitable operators. */
using timer = boost::asio::basic_waitable_timer<monotonic_clock, monotonic_wait_traits>;

/** \return the milliseconds since the Unix epoch; follows the manual clock while one is installed.
 */
std::uint64_t wall_clock_ms();

/** Measures the age of data, which keeps growing while the machine is suspended.
 * \return the time since the machine booted, including the time for which it was suspended; follows
 * the manual clock while one is installed.
 */
duration time_since_boot();

/** Suspends the calling task.
 * \param span the duration of the suspension.
 */
boost::asio::awaitable<void> sleep_for(duration span);

/** Replaces the clock of the whole process for its lifetime, so that a test controls the time. All
 * tasks run on one io_context and only during advance().
 */
class manual_clock {
  public:
    explicit manual_clock(boost::asio::io_context& context);
    ~manual_clock();
    manual_clock(const manual_clock&) = delete;
    manual_clock& operator=(const manual_clock&) = delete;

    /** Runs the ready tasks, then advances the time in steps and runs the tasks that become ready.
     * \param span the total time to advance.
     * \param step the time between two polls of the io_context. Polls at which no timer can have
     * expired are skipped, so that advancing by hours is fast.
     */
    void advance(duration span, duration step = 1ms);

  private:
    boost::asio::io_context& context_;
};

} // namespace chervildyke
