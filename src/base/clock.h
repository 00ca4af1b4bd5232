/** \file
 * Defines the clock that every timer of the system runs on, and its manual form for tests.
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

/** A monotonic clock with a hook, so that tests can put a manual clock in its place. */
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

/** Lets asio's reactor look at every timer on each poll while a manual clock is installed. */
struct monotonic_wait_traits {
    static duration to_wait_duration(const duration& until);
    static duration to_wait_duration(const time_point& until);
};

/** The timer of every task: cancellable, usable with awaitable operators. */
using timer = boost::asio::basic_waitable_timer<monotonic_clock, monotonic_wait_traits>;

/** Milliseconds since the Unix epoch; follows the manual clock while one is installed. */
std::uint64_t wall_clock_ms();

/** Time since the machine started, counting the time for which it was suspended; follows the manual
 * clock while one is installed. Ages of beliefs are measured with it.
 */
duration awake_or_suspended_time();

/** Suspends the calling task.
 * \param span how long.
 */
boost::asio::awaitable<void> sleep_for(duration span);

/** Replaces the clock of the whole process for its lifetime, so that a test decides when time
 * passes. All tasks run on one io_context and only inside advance().
 */
class manual_clock {
  public:
    explicit manual_clock(boost::asio::io_context& context);
    ~manual_clock();
    manual_clock(const manual_clock&) = delete;
    manual_clock& operator=(const manual_clock&) = delete;

    /** Runs ready tasks, then moves time on in steps until the span has passed.
     * \param span how far time moves in all.
     * \param step how far it moves between two polls.
     */
    void advance(duration span, duration step = 1ms);

  private:
    boost::asio::io_context& context_;
};

} // namespace chervildyke
