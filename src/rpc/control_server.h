/** \file
 * Defines control_server, which serves the control API over gRPC and runs each call as a task.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "control_api.pb.h"

namespace chervildyke {

/** Writes a view to the stream of one subscriber, an entry. Returns false if the write failed or
 * the stream is cancelled.
 */
using view_writer = std::function<boost::asio::awaitable<bool>(schema::routing_view)>;

/** Handles one unary call. If it throws, the call ends with the status INTERNAL. */
template <typename Request, typename Reply>
using rpc_hook = std::function<boost::asio::awaitable<Reply>(Request)>;

/** The handlers of the gRPC calls of the control API. A call whose hook is empty ends with the
 * status UNIMPLEMENTED.
 */
struct control_rpc_hooks {
    /** Writes views until the task completes, which ends the stream with the status OK. */
    std::function<boost::asio::awaitable<void>(schema::view_request, view_writer)> watch_view;

    rpc_hook<schema::probe_request, schema::probe_reply> probe;
    rpc_hook<schema::record_request, schema::record_batch> read_records;
    rpc_hook<schema::snapshot_request, schema::state_snapshot> fetch_snapshot;
    rpc_hook<schema::report_request, schema::report_batch> pull_reports;
    rpc_hook<schema::claim_request, schema::claim_reply> claim;
    rpc_hook<schema::settle_request, schema::settle_reply> settle;
    rpc_hook<schema::status_request, schema::status_reply> node_status;
    rpc_hook<schema::explain_request, schema::explain_reply> explain;
};

/** Owns the gRPC server. Calls arrive on its threads; the hooks run as tasks on the executor. */
class control_server {
  public:
    control_server(boost::asio::any_io_executor executor, control_rpc_hooks hooks);
    ~control_server();
    control_server(const control_server&) = delete;
    control_server& operator=(const control_server&) = delete;

    /** Starts to serve.
     * \param address the IP address to listen on.
     * \param port zero for any free port.
     * \return false if the server can't listen on the address.
     */
    bool listen(const std::string& address, std::uint16_t port);

    /** \return the port that the server listens on, or zero if it does not listen. */
    std::uint16_t port() const;

    /** Stops the server and waits until all calls have ended. The executor must still run, or calls
     * in progress can't end.
     * \param grace the time after which calls in progress are cancelled.
     */
    void stop(duration grace);

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
