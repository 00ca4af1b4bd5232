/** \file
 * Defines view_follower, which keeps the entry's routing view up to date.
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

/** The view in use and when it arrived. */
struct held_view {
    routing_view_ptr view; // Null until the first one came.
    time_point arrived_at{};

    bool operator==(const held_view&) const = default;
};

/** Follows one control's stream of views until it ends, and says why. */
using watch_hook = std::function<boost::asio::awaitable<std::string>(
    std::size_t control, std::function<void(routing_view_ptr)> on_view, duration silence_limit)>;

/** Follows the view of the VM's own control, and of others while it is gone. Keeps the last view
 * when all are gone, and never takes one that is older than the one in use.
 */
class view_follower {
  public:
    /** \param watch follows the control with the given index; zero is the VM's own.
     * \param controls how many there are.
     */
    view_follower(watch_hook watch, std::size_t controls, random_source random);

    /** Runs until cancelled. */
    boost::asio::awaitable<void> run();

    /** Takes a view unless it is older than the one in use.
     * \return false when it is older.
     */
    bool offer(routing_view_ptr view);

    const held_view& held() const { return held_; }
    duration age() const;

    /** Called with each view that is taken. */
    std::function<void(const held_view&)> on_change;

  private:
    boost::asio::awaitable<void> follow(std::size_t control);
    boost::asio::awaitable<void> wait_until_outdated(std::size_t control);
    std::size_t next_control();

    watch_hook watch_;
    std::size_t controls_;
    random_source random_;
    held_view held_;
    std::size_t tries_ = 0; // Since the own control was last tried.
};

} // namespace chervildyke
