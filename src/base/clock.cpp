/** \file
 * Implements the clocks over std::chrono, and the manual clock.
 */
#include "base/clock.h"

#include <algorithm>
#include <ctime>
#include <memory>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chervildyke {

namespace {

// Unix time at which the manual clock is zero.
constexpr std::uint64_t manual_epoch_ms = 1'800'000'000'000;

constexpr time_point manual_clock_start{1h};

// Longer than the reactor ever waits, so that it checks no timers by itself.
constexpr duration unlimited_wait = 1h;

struct manual_state {
    bool installed = false;
    time_point now = manual_clock_start;
    time_point next_expiry{}; // At most that of the earliest timer.
};

manual_state& manual()
{
    static manual_state state;
    return state;
}

} // namespace

time_point monotonic_clock::now()
{
    if (manual().installed) {
        return manual().now;
    }
    const auto since_epoch = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(since_epoch));
}

bool monotonic_clock::is_manual()
{
    return manual().installed;
}

duration monotonic_wait_traits::to_wait_duration(const duration& until)
{
    if (!monotonic_clock::is_manual()) {
        return until;
    }
    manual().next_expiry = manual().now + until;
    return unlimited_wait;
}

duration monotonic_wait_traits::to_wait_duration(const time_point& until)
{
    return to_wait_duration(until - monotonic_clock::now());
}

duration time_since_boot()
{
    if (manual().installed) {
        return manual().now.time_since_epoch();
    }
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

std::uint64_t wall_clock_ms()
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    if (manual().installed) {
        const auto passed = duration_cast<milliseconds>(manual().now.time_since_epoch());
        return manual_epoch_ms + static_cast<std::uint64_t>(passed.count());
    }
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(duration_cast<milliseconds>(since_epoch).count());
}

boost::asio::awaitable<void> sleep_for(duration span)
{
    timer sleep_timer(co_await boost::asio::this_coro::executor);
    sleep_timer.expires_after(span);
    co_await sleep_timer.async_wait(boost::asio::use_awaitable);
}

namespace {

/** Runs the ready tasks, then the tasks whose timers have expired, until no timer has. */
void run_until_idle(boost::asio::io_context& context)
{
    context.restart();
    context.poll();
    while (manual().next_expiry <= manual().now) {
        // A timer of another clock that has expired makes the reactor check the timers of all
        // clocks. The kernel reports it after an interrupt, hence after any number of polls.
        manual().next_expiry = time_point::max();
        boost::asio::steady_timer expired(context, std::chrono::steady_clock::time_point::min());
        const auto checked = std::make_shared<bool>(false); // Outlives an exception of a task.
        expired.async_wait([checked](const boost::system::error_code&) { *checked = true; });
        while (!*checked) {
            context.restart();
            context.poll_one();
        }
        context.restart();
        context.poll();
    }
}

} // namespace

manual_clock::manual_clock(boost::asio::io_context& context) : context_(context)
{
    manual().installed = true;
    manual().now = manual_clock_start;
    manual().next_expiry = time_point();
}

manual_clock::~manual_clock()
{
    manual().installed = false;
}

void manual_clock::advance(duration span, duration step)
{
    const time_point end = manual().now + span;
    run_until_idle(context_);
    while (manual().now < end) {
        // Steps after which no timer can have expired are combined into one.
        const duration left = end - manual().now;
        const duration idle =
            std::clamp(manual().next_expiry - manual().now - 1ns, duration::zero(), left);
        manual().now += std::min((idle / step + 1) * step, left);
        run_until_idle(context_);
    }
}

} // namespace chervildyke
