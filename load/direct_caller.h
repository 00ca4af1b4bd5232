/** \file
 * Defines direct_caller, the baseline that sends calls directly to the engines and bypasses the
 * entries.
 */
#pragma once

#include <memory>

#include <boost/asio/awaitable.hpp>

#include "load/entry_caller.h"
#include "load/fleet_description.h"

namespace chervildyke::load {

/** Sends model calls to the heads (first members) of the replicas that exist at its first call:
 * to a random one, or to the one with the least reported load. The reports lag.
 */
class direct_caller {
  public:
    /** \param least_loaded true for the least loaded head, false for a random one. */
    direct_caller(std::shared_ptr<http_client> http, fleet_description fleet, bool least_loaded,
                  random_source random);

    boost::asio::awaitable<attempt_result> call(call_spec spec);

  private:
    struct replica_head {
        std::string address;
        std::uint64_t replica_id;
        std::uint32_t call_count = 0; // Running and queued calls, as last reported.
    };
    boost::asio::awaitable<void> discover_heads();
    boost::asio::awaitable<void> refresh_reports();
    const replica_head& choose_head();

    std::shared_ptr<http_client> http_;
    fleet_description fleet_;
    std::vector<replica_head> heads_;
    bool least_loaded_;
    random_source random_;
    time_point reports_read_at_{};
};

} // namespace chervildyke::load
