/** \file
 * Defines straight_caller, the baseline that sends calls to an engine without the system.
 */
#pragma once

#include <memory>

#include <boost/asio/awaitable.hpp>

#include "load/caller.h"
#include "load/fleet.h"

namespace chervildyke::load {

/** Sends model calls to the first members of the replicas that it finds at its first call: to a
 * random one, or to the one that reported the least load, with the reports' lag.
 */
class straight_caller {
  public:
    straight_caller(std::shared_ptr<http_client> http, fleet where, bool least_loaded,
                    random_source random);

    boost::asio::awaitable<try_result> call(call_spec spec);

  private:
    struct head {
        std::string address;
        std::uint64_t replica_id;
        std::uint32_t load = 0;
    };
    boost::asio::awaitable<void> find_heads();
    boost::asio::awaitable<void> read_loads();
    const head& choose();

    std::shared_ptr<http_client> http_;
    fleet where_;
    std::vector<head> heads_;
    bool least_loaded_;
    random_source random_;
    time_point loads_read_{};
};

} // namespace chervildyke::load
