/** \file
 * Defines plain_service, the stand-in of the services beside the model engines.
 */
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "base/http_server.h"
#include "platform.pb.h"
#include "settings.pb.h"
#include "standin/faults.h"

namespace chervildyke::standin {

/** Serves several VMs, each on its own address, and counts every run of every order. The counts
 * outlive the VMs: GET /truth on the fault address gives them.
 */
class plain_service {
  public:
    plain_service(boost::asio::any_io_executor executor, schema::standin_service_settings settings);

    bool listen();

    /** The port of one VM; for tests that listen on port zero. */
    std::uint16_t port(const std::string& vm) const;
    schema::service_truth truth() const;
    bool apply(const schema::fault_request& request);

  private:
    struct node {
        schema::standin_vm vm;
        fault_switch faults;
        bool leaving = false;
        std::unique_ptr<http_server> server; // Empty while the VM is dead.
    };

    bool start(node& on);
    boost::asio::awaitable<void> serve(node& on, http_exchange& exchange);
    boost::asio::awaitable<void> run_operation(node& on, http_exchange& exchange);
    boost::asio::awaitable<void> serve_faults(http_exchange& exchange);

    boost::asio::any_io_executor executor_;
    schema::standin_service_settings settings_;
    std::map<std::string, schema::service_run> runs_;
    std::map<std::string, std::unique_ptr<node>> nodes_;
    http_server fault_server_;
};

} // namespace chervildyke::standin
