/** \file
 * Defines configuration_check, which checks how soon nodes serve by a published configuration.
 */
#pragma once

#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/http_client.h"
#include "soak/fault_tracker.h"
#include "soak/invariant_checker.h"

namespace chervildyke::soak {

/** The time in which nodes must serve by a configuration; a part of their settings. */
constexpr duration configuration_apply_time = 2s;

/** Calls each node on a route that was just added. Only nodes that faults have not disturbed lately
 * are held to the time.
 */
class configuration_check {
  public:
    /** The arguments outlive this object. */
    configuration_check(const boost::asio::any_io_executor& executor, const fault_tracker& tracker,
                        invariant_checker& checker)
        : http_(executor), tracker_(tracker), checker_(checker)
    {
    }

    /** Adds a finding for each node that does not know a route after the time in which it must.
     * \param node_addresses ip:port for calls, by index of the node.
     * \param path of the route that was published just now, which requires a key.
     */
    boost::asio::awaitable<void> check_route(std::vector<std::string> node_addresses,
                                             std::string host, std::string path);

  private:
    http_client http_;
    const fault_tracker& tracker_;
    invariant_checker& checker_;
};

} // namespace chervildyke::soak
