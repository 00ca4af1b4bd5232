/** \file
 * Implements view_watcher.
 */
#include "entry/view_watcher.h"

#include <tuple>

#include <boost/asio/experimental/awaitable_operators.hpp>

#include "base/log.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;

constexpr duration stream_idle_timeout = 5s;
constexpr duration max_time_without_view = 3s;      // Then the watch moves to another control.
constexpr duration max_time_on_other_control = 30s; // Then the own control is tried again.
constexpr duration watch_check_interval = 500ms;
constexpr duration reconnect_delay = 200ms;
const logger log("entry/view");

} // namespace

view_watcher::view_watcher(watch_hook watch, std::size_t control_count, random_source random)
    : watch_(std::move(watch)), control_count_(control_count), random_(std::move(random))
{
}

bool view_watcher::offer(routing_view_ptr view)
{
    if (current_.view) {
        const auto version = [](const schema::routing_view& candidate) {
            return std::make_tuple(candidate.configuration_version(), candidate.journal_offset());
        };
        if (version(*view) < version(*current_.view)) {
            return false;
        }
        if (current_.view->ready() && !view->ready()) {
            return false; // The sending control has just started and has an incomplete view.
        }
    }
    current_ = {std::move(view), monotonic_clock::now()};
    if (on_change) {
        on_change(current_);
    }
    return true;
}

duration view_watcher::age() const
{
    return current_.view ? monotonic_clock::now() - current_.arrived_at : duration::max();
}

std::size_t view_watcher::choose_control()
{
    const bool use_own = watch_attempts_ % 2 == 0 || control_count_ == 1;
    ++watch_attempts_;
    return use_own ? 0 : 1 + random_below(random_, control_count_ - 1);
}

asio::awaitable<void> view_watcher::wait_until_switch_due(std::size_t control)
{
    const time_point started_at = monotonic_clock::now();
    while (true) {
        co_await sleep_for(watch_check_interval);
        const time_point now = monotonic_clock::now();
        const bool view_outdated =
            now - std::max(started_at, current_.arrived_at) > max_time_without_view;
        const bool own_control_due = control != 0 && now - started_at > max_time_on_other_control;
        if (view_outdated || own_control_due) {
            co_return;
        }
    }
}

asio::awaitable<void> view_watcher::watch_control(std::size_t control)
{
    bool view_accepted = false;
    const auto on_view = [this, &view_accepted, control](routing_view_ptr view) {
        if (offer(std::move(view)) && !view_accepted) {
            view_accepted = true;
            log.info("receiving views from control ", control);
        }
    };
    auto watching = watch_(control, on_view, stream_idle_timeout);
    auto switch_due = wait_until_switch_due(control);
    auto first_to_end = std::move(watching) || std::move(switch_due);
    const auto ended = co_await std::move(first_to_end);
    if (ended.index() == 0) {
        log.debug("view stream from control ", control, " ended: ", std::get<0>(ended));
    }
    if (view_accepted && control == 0) {
        watch_attempts_ = 1; // The own control has just failed; try another one first.
    }
}

asio::awaitable<void> view_watcher::run()
{
    while (true) {
        co_await watch_control(choose_control());
        co_await sleep_for(reconnect_delay);
    }
}

} // namespace chervildyke
