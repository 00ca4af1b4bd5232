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

/** Sends the view to each entry that watches it: when the entry connects, after each change, and at
 * each heartbeat. The source hook builds the view.
 */
class view_publisher {
  public:
    using view_source = std::function<schema::routing_view()>;

    /** \param source builds the current view.
     * \param heartbeat the longest time between two views to one entry.
     */
    view_publisher(view_source source, duration heartbeat);

    /** Streams views to one entry until it disconnects or stop() is called. */
    boost::asio::awaitable<void> serve(view_writer write);

    /** Triggers a new view for every entry. Changes in quick succession share one view. */
    void notify_changed();

    /** Ends all streams. */
    void stop();

  private:
    /** Waits until change_count_ differs from seen, or for the rest of the heartbeat. */
    boost::asio::awaitable<void> wait_for_change(std::uint64_t seen);

    view_source source_;
    duration heartbeat_;
    std::uint64_t change_count_ = 0;
    bool stopped_ = false;
    std::set<timer*> waiting_; // The heartbeat timers of the streams that wait for a change.
};

} // namespace chervildyke
