/** \file
 * Defines fault_injector, which injects the faults of a schedule into a fleet.
 */
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "soak/fleet.h"
#include "soak/schedule.h"

namespace chervildyke::soak {

/** Injects faults into nodes, links, backend servers and the store. Several can be active at once.
 */
class fault_injector {
  public:
    /** \param fleet must be started and outlive this object. */
    fault_injector(boost::asio::any_io_executor executor, soak_fleet& fleet)
        : executor_(std::move(executor)), fleet_(fleet)
    {
    }

    /** Starts a fault, which ends after its length. */
    void start(const scheduled_fault& fault);

    /** Completes when all faults have ended and the time for restarts has passed. */
    boost::asio::awaitable<void> wait_until_recovered();

  private:
    boost::asio::awaitable<void> inject(scheduled_fault fault);
    boost::asio::awaitable<void> inject_node_fault(scheduled_fault fault, soak_node& node);
    boost::asio::awaitable<void> inject_link_fault(scheduled_fault fault);
    boost::asio::awaitable<void> inject_server_fault(scheduled_fault fault);
    boost::asio::awaitable<void> inject_store_fault(scheduled_fault fault);

    /** Asks a node to stop. Adds a finding and kills the node if it does not end in time. */
    boost::asio::awaitable<void> stop_node(soak_node& node);

    /** Makes every third server execute its commands late and leave them unanswered. */
    boost::asio::awaitable<void> delay_commands(scheduled_fault fault);

    /** Cuts a server off from the store and the nodes for the span. */
    boost::asio::awaitable<void> isolate(server_endpoint& endpoint, duration span);

    /** \return the nodes whose process, links or store a fault disturbs. */
    std::vector<std::size_t> nodes_disturbed_by(const scheduled_fault& fault) const;
    server_endpoint& endpoint_of(const scheduled_fault& fault);
    link_proxy& link_of(const scheduled_fault& fault);

    boost::asio::any_io_executor executor_;
    soak_fleet& fleet_;
    std::size_t active_fault_count_ = 0;
};

} // namespace chervildyke::soak
