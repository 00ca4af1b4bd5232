/** \file
 * Defines view_watcher, which keeps the routing view of an entry up to date.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "base/random.h"
#include "base/result.h"
#include "control_api.pb.h"

namespace chervildyke {

using routing_view_ptr = std::shared_ptr<const schema::routing_view>;

/** A routing view and when this entry received it. */
struct received_view {
    routing_view_ptr view; // Null until the first view arrives.
    time_point arrived_at{};

    bool operator==(const received_view&) const = default;
};

/** Receives the view stream of one control until the stream ends.
 * \param control the index of the control; zero is the one on the own VM.
 * \param on_view called with each view.
 * \param idle_timeout the stream ends after this time without a view.
 * \return why the stream ended.
 */
using watch_hook = std::function<boost::asio::awaitable<std::string>(
    std::size_t control, std::function<void(routing_view_ptr)> on_view, duration idle_timeout)>;

/** Watches the control on the own VM, and another control while that one is unavailable. Keeps the
 * last view while no control is available, and never replaces a view by an older one.
 */
class view_watcher {
  public:
    /** \param watch receives the view stream of one control.
     * \param control_count the number of controls, the one on the own VM included.
     */
    view_watcher(watch_hook watch, std::size_t control_count, random_source random);

    /** Runs until cancelled. */
    boost::asio::awaitable<void> run();

    /** Replaces the current view, unless the given one is older or is not ready while the current
     * one is.
     * \return true if the view was accepted.
     */
    bool offer(routing_view_ptr view);

    const received_view& current() const { return current_; }
    /** \return the time since a view was last accepted; the maximum before the first one. */
    duration age() const;

    /** Called with each view that is accepted. */
    std::function<void(const received_view&)> on_change;

  private:
    boost::asio::awaitable<void> watch_control(std::size_t control);
    boost::asio::awaitable<void> wait_until_switch_due(std::size_t control);
    std::size_t choose_control();

    watch_hook watch_;
    std::size_t control_count_;
    random_source random_;
    received_view current_;
    std::size_t watch_attempts_ = 0; // The own control is watched when this is even.
};

} // namespace chervildyke
