/** \file
 * Defines view_publisher, which streams the routing view to the entries that watch it.
 */
#pragma once

#include <functional>
#include <set>

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "rpc/control_server.h"

namespace chervildyke {

/** Sends each watcher the view at once, after every change, and at every heartbeat. What the view
 * holds is left to the source hook.
 */
class view_publisher {
  public:
    using view_source = std::function<schema::routing_view()>;

    /** \param source builds the current view.
     * \param heartbeat the longest time between two views to one watcher.
     */
    view_publisher(view_source source, duration heartbeat);

    /** Serves one watcher until it is gone or the publisher stops. */
    boost::asio::awaitable<void> serve(view_writer write);

    /** Has a new view sent to every watcher soon. */
    void notify_changed();

    /** Ends all streams. */
    void stop();

  private:
    boost::asio::awaitable<void> wait_for_change(std::uint64_t seen);

    view_source source_;
    duration heartbeat_;
    std::uint64_t change_count_ = 0;
    bool stopped_ = false;
    std::set<timer*> waiting_;
};

} // namespace chervildyke
