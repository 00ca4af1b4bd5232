/** \file
 * Defines health_checker, which checks the health of replicas from an entry.
 */
#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "entry/view_watcher.h"
#include "external/engine_client.h"
#include "routing/replica_router.h"

namespace chervildyke {

/** Lets an entry route calls while no control sends views. Requests the report of each member of
 * each serving replica once a second, and marks a replica healthy in the router only if all its
 * members report that they are ready for it.
 */
class health_checker {
  public:
    /** \param view_is_stale returns true if the view is too old for routing; checks are made only
     * then.
     */
    health_checker(std::shared_ptr<replica_router> router, engine_client engines,
                   std::function<bool()> view_is_stale);

    /** Runs until cancelled. */
    boost::asio::awaitable<void> run();

    /** Starts one check of each serving replica of the view, and does not wait for the results. */
    boost::asio::awaitable<void> check_replicas(routing_view_ptr view);

    /** Returns the current view; null if there is none. Checks start once it is set. */
    std::function<routing_view_ptr()> current_view;

  private:
    std::shared_ptr<replica_router> router_;
    engine_client engines_;
    std::function<bool()> view_is_stale_;
};

/** \return true if the report shows the VM as a ready member of the replica that is not leaving. */
bool is_ready_member(const schema::engine_report& report, std::uint64_t replica);

} // namespace chervildyke
