/** \file
 * Defines member_check, with which an entry asks the members of replicas itself.
 */
#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "entry/view_follower.h"
#include "external/engine_client.h"
#include "routing/replica_router.h"

namespace chervildyke {

/** Keeps serving possible while no control sends views: asks each member of each replica for its
 * report once a second, and marks a replica as checked only when all of them hold it.
 */
class member_check {
  public:
    /** \param stale says whether the view is too old to go by. */
    member_check(std::shared_ptr<replica_router> router, engine_client engines,
                 std::function<bool()> stale);

    /** Runs until cancelled. */
    boost::asio::awaitable<void> run();

    /** Asks all members of all replicas once. */
    boost::asio::awaitable<void> check_all(routing_view_ptr view);

    /** Gives the view in use. */
    std::function<routing_view_ptr()> view;

  private:
    std::shared_ptr<replica_router> router_;
    engine_client engines_;
    std::function<bool()> stale_;
};

/** \return true when the report says that the VM holds its part of this replica. */
bool holds_replica(const schema::engine_report& report, std::uint64_t replica);

} // namespace chervildyke
