/** \file
 * Defines plain_service, the stand-in of a service that runs operations but no model.
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
#include "standin/fault_injector.h"

namespace chervildyke::standin {

/** Simulates the backend servers of several VMs, each on its own address, and counts the runs of
 * each order. The counts survive the death of a VM; GET /truth on the fault address returns them,
 * so that a test can find orders that ran twice.
 */
class plain_service {
  public:
    plain_service(boost::asio::any_io_executor executor, schema::standin_service_settings settings);

    /** Starts to listen on all addresses.
     * \return false when that fails; the reason is logged.
     */
    bool listen();

    /** \return the port of one VM that is alive; for tests that listen on port zero. */
    std::uint16_t port(const std::string& vm) const;

    /** \return how often each order has run. */
    schema::service_truth ground_truth() const;

    /** Applies a fault to one VM.
     * \return false for an unknown fault or VM.
     */
    bool apply(const schema::fault_request& request);

  private:
    /** The server of one VM. */
    struct backend_server {
        schema::standin_vm vm;
        fault_injector faults;
        bool leaving = false;
        std::unique_ptr<http_server> server; // Empty while the VM is dead.
    };

    bool start_backend(backend_server& backend);
    boost::asio::awaitable<void> serve(backend_server& backend, http_exchange& exchange);
    boost::asio::awaitable<void> run_operation(backend_server& backend, http_exchange& exchange);
    boost::asio::awaitable<void> serve_faults(http_exchange& exchange);

    boost::asio::any_io_executor executor_;
    schema::standin_service_settings settings_;
    std::map<std::string, schema::service_run> runs_; // By idempotency key, or else attempt id.
    std::map<std::string, std::unique_ptr<backend_server>> backends_; // By VM.
    http_server fault_server_;
};

} // namespace chervildyke::standin
