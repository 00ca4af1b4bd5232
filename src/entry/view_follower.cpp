/** \file
 * Implements view_follower.
 */
#include "entry/view_follower.h"

#include <tuple>

#include <boost/asio/experimental/awaitable_operators.hpp>

#include "base/log.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;

constexpr duration silence_limit = 5s;
constexpr duration outdated_limit = 3s;      // Without a usable view from the followed control.
constexpr duration other_control_span = 30s; // Then the VM's own control is tried again.
constexpr duration pause_between_tries = 200ms;
const logger log("entry/view");

} // namespace

view_follower::view_follower(watch_hook watch, std::size_t controls, random_source random)
    : watch_(std::move(watch)), controls_(controls), random_(std::move(random))
{
}

bool view_follower::offer(routing_view_ptr view)
{
    if (held_.view) {
        const auto version = [](const schema::routing_view& of) {
            return std::make_tuple(of.configuration_version(), of.journal_offset());
        };
        if (version(*view) < version(*held_.view)) {
            return false;
        }
        if (held_.view->ready() && !view->ready()) {
            return false; // A control that has just started knows less than the view in use.
        }
    }
    held_ = {std::move(view), monotonic_clock::now()};
    if (on_change) {
        on_change(held_);
    }
    return true;
}

duration view_follower::age() const
{
    return held_.view ? monotonic_clock::now() - held_.arrived_at : duration::max();
}

std::size_t view_follower::next_control()
{
    const bool own = tries_ % 2 == 0 || controls_ == 1;
    ++tries_;
    return own ? 0 : 1 + random_below(random_, controls_ - 1);
}

asio::awaitable<void> view_follower::wait_until_outdated(std::size_t control)
{
    const time_point begin = monotonic_clock::now();
    while (true) {
        co_await sleep_for(500ms);
        const time_point now = monotonic_clock::now();
        const bool outdated = now - std::max(begin, held_.arrived_at) > outdated_limit;
        const bool too_long = control != 0 && now - begin > other_control_span;
        if (outdated || too_long) {
            co_return;
        }
    }
}

asio::awaitable<void> view_follower::follow(std::size_t control)
{
    bool heard = false;
    const auto on_view = [this, &heard, control](routing_view_ptr view) {
        if (offer(std::move(view)) && !heard) {
            heard = true;
            log.info("following control ", control);
        }
    };
    auto watching = watch_(control, on_view, silence_limit);
    auto outdated = wait_until_outdated(control);
    auto either = std::move(watching) || std::move(outdated);
    const auto ended = co_await std::move(either);
    if (ended.index() == 0) {
        log.debug("control ", control, " lost: ", std::get<0>(ended));
    }
    if (heard && control == 0) {
        tries_ = 1; // The own control was just lost: try another first.
    }
}

asio::awaitable<void> view_follower::run()
{
    while (true) {
        co_await follow(next_control());
        co_await sleep_for(pause_between_tries);
    }
}

} // namespace chervildyke
