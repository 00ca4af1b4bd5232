/** \file
 * Defines control_client, which calls the control API of one control node over gRPC.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "base/result.h"
#include "control_api.pb.h"

namespace chervildyke {

enum class rpc_error {
    none,
    unreachable,  // The connection failed; the call may have taken effect.
    timed_out,    // No reply within the timeout; the call may have taken effect.
    other_status, // The call ended with any other gRPC status; it may have taken effect.
};

using rpc_failure = failure<rpc_error>;

template <typename Reply>
using rpc_result = result<Reply, rpc_error>;

template <typename Reply>
using rpc_awaitable = boost::asio::awaitable<rpc_result<Reply>>;

/** Calls one control node. It does not retry; the caller may call another control node. */
class control_client {
  public:
    /** \param executor runs the continuations of the calls.
     * \param address ip:port of the control node.
     */
    control_client(boost::asio::any_io_executor executor, const std::string& address);
    ~control_client();
    control_client(const control_client&) = delete;
    control_client& operator=(const control_client&) = delete;

    const std::string& address() const;

    // Each of these calls returns the reply or a failure, after the timeout at the latest.
    rpc_awaitable<schema::probe_reply> probe(schema::probe_request request, duration timeout);
    rpc_awaitable<schema::record_batch> read_records(schema::record_request request,
                                                     duration timeout);
    rpc_awaitable<schema::state_snapshot> fetch_snapshot(schema::snapshot_request request,
                                                         duration timeout);
    rpc_awaitable<schema::report_batch> pull_reports(schema::report_request request,
                                                     duration timeout);
    rpc_awaitable<schema::claim_reply> claim(schema::claim_request request, duration timeout);
    rpc_awaitable<schema::settle_reply> settle(schema::settle_request request, duration timeout);
    rpc_awaitable<schema::status_reply> node_status(schema::status_request request,
                                                    duration timeout);
    rpc_awaitable<schema::explain_reply> explain(schema::explain_request request, duration timeout);

    /** Subscribes to the routing views of the control node until the stream ends or the task is
     * cancelled.
     * \param on_view called for each view.
     * \param view_timeout the maximum time between two views, after which the stream is cancelled.
     * \return why the stream ended; rpc_error::timed_out also if the control node ended it without
     * an error.
     */
    boost::asio::awaitable<rpc_failure>
    watch_view(schema::view_request request,
               std::function<void(std::shared_ptr<const schema::routing_view>)> on_view,
               duration view_timeout);

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
