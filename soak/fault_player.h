/** \file
 * Defines fault_player, which plays the faults of a schedule on a fleet.
 */
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "soak/fleet.h"
#include "soak/schedule.h"

namespace chervildyke::soak {

class fault_player {
  public:
    /** \param fleet has been started and outlives this. */
    fault_player(boost::asio::any_io_executor executor, soak_fleet& fleet)
        : executor_(std::move(executor)), fleet_(fleet)
    {
    }

    /** Starts one fault; it ends by itself. */
    void begin(const planned_fault& fault);

    /** Completes once no fault is left and all nodes and servers run. */
    boost::asio::awaitable<void> all_settled();

  private:
    boost::asio::awaitable<void> play(planned_fault fault);
    boost::asio::awaitable<void> play_on_node(planned_fault fault, soak_node& harmed);
    boost::asio::awaitable<void> play_on_link(planned_fault fault);
    boost::asio::awaitable<void> play_on_server(planned_fault fault);
    boost::asio::awaitable<void> play_on_store(planned_fault fault);
    boost::asio::awaitable<void> stop_node(soak_node& stopped);
    boost::asio::awaitable<void> delay_orders(planned_fault fault);
    server_place& place_of(const planned_fault& fault);
    link_proxy& link_of(const planned_fault& fault);

    boost::asio::any_io_executor executor_;
    soak_fleet& fleet_;
    std::size_t faults_in_play_ = 0;
};

} // namespace chervildyke::soak
