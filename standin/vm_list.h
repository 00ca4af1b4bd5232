/** \file
 * Defines vm_list, the stand-in of the platform's VM list, which lags behind the actual state.
 */
#pragma once

#include <deque>
#include <map>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "base/clock.h"
#include "base/http_server.h"
#include "settings.pb.h"
#include "standin/fault_injector.h"

namespace chervildyke::standin {

/** Serves GET /vms: the live and leaving VMs as they were lag_ms ago. POST /faults changes the
 * list: the fault leave marks a VM as leaving, gone removes it, and back or add lists it as live
 * again. Without a VM, the fault applies to the list service itself.
 */
class vm_list {
  public:
    vm_list(boost::asio::any_io_executor executor, schema::standin_vm_list_settings settings);

    /** Starts to listen.
     * \return false when that fails; the reason is logged.
     */
    bool listen();
    std::uint16_t port() const { return server_.port(); }

  private:
    /** The list as of one time. */
    struct version {
        time_point published_at;
        schema::vm_list_reply list;
    };

    boost::asio::awaitable<void> serve(http_exchange& exchange);
    http_reply list_reply(const http_request& request);
    bool apply(const schema::fault_request& request);
    void publish();
    const schema::vm_list_reply& lagged_list();

    schema::standin_vm_list_settings settings_;
    fault_injector faults_;
    std::map<std::string, schema::vm_entry> vms_;
    std::map<std::string, bool> listed_; // By VM, like vms_.
    std::deque<version> versions_;       // Oldest first; the newest may not be visible yet.
    http_server server_;
};

} // namespace chervildyke::standin
