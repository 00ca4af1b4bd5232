/** \file
 * Defines vm_list, the stand-in of the platform's list of VMs, which lags behind reality.
 */
#pragma once

#include <deque>
#include <map>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "base/clock.h"
#include "base/http_server.h"
#include "settings.pb.h"
#include "standin/faults.h"

namespace chervildyke::standin {

/** Shows live and leaving VMs as they were some time ago. The fault leave marks a VM as leaving,
 * gone removes it, and back or add shows it again as live.
 */
class vm_list {
  public:
    vm_list(boost::asio::any_io_executor executor, schema::standin_vm_list_settings settings);

    bool listen();
    std::uint16_t port() const { return server_.port(); }

  private:
    struct version {
        time_point since;
        schema::vm_list_reply list;
    };

    boost::asio::awaitable<void> serve(http_exchange& exchange);
    http_reply list_reply(const http_request& request);
    bool apply(const schema::fault_request& request);
    void publish();
    const schema::vm_list_reply& lagged_list();

    schema::standin_vm_list_settings settings_;
    fault_switch faults_;
    std::map<std::string, schema::vm_entry> known_;
    std::map<std::string, bool> shown_;
    std::deque<version> versions_;
    http_server server_;
};

} // namespace chervildyke::standin
