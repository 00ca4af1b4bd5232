/** \file
 * Implements view_publisher.
 */
#include "control/view_publisher.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/scope_guard.h"

namespace chervildyke {

namespace {

constexpr duration min_view_interval = 20ms; // Coalesces changes in quick succession.

} // namespace

view_publisher::view_publisher(view_source source, duration heartbeat)
    : source_(std::move(source)), heartbeat_(heartbeat)
{
}

boost::asio::awaitable<void> view_publisher::serve(view_writer write)
{
    while (!stopped_) {
        const std::uint64_t seen = change_count_;
        const bool written = co_await write(source_());
        if (!written) {
            co_return;
        }
        co_await sleep_for(min_view_interval);
        co_await wait_for_change(seen);
    }
}

boost::asio::awaitable<void> view_publisher::wait_for_change(std::uint64_t seen)
{
    if (stopped_ || change_count_ != seen) {
        co_return;
    }
    timer wait(co_await boost::asio::this_coro::executor);
    wait.expires_after(heartbeat_ - min_view_interval);
    waiting_.insert(&wait);
    const scope_guard forget([this, &wait] { waiting_.erase(&wait); });
    co_await wait.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

void view_publisher::notify_changed()
{
    ++change_count_;
    for (timer* wait : waiting_) {
        wait->cancel();
    }
}

void view_publisher::stop()
{
    stopped_ = true;
    notify_changed();
}

} // namespace chervildyke
