/** \file
 * Defines control_client, which calls one control over gRPC.
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

enum class rpc_error { none, unreachable, timed_out, refused };

using rpc_failure = failure<rpc_error>;

template <typename Reply>
using rpc_result = result<Reply, rpc_error>;

template <typename Reply>
using rpc_awaitable = boost::asio::awaitable<rpc_result<Reply>>;

/** Calls one control. Retries nothing; choosing another control is left to the caller. */
class control_client {
  public:
    /** \param executor where tasks resume.
     * \param address ip:port of the control.
     */
    control_client(boost::asio::any_io_executor executor, const std::string& address);
    ~control_client();
    control_client(const control_client&) = delete;
    control_client& operator=(const control_client&) = delete;

    const std::string& address() const;

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

    /** Follows the control's view until the stream breaks or the task is cancelled.
     * \param on_view called for each view.
     * \param silence_limit the stream counts as broken when no view came for so long.
     * \return why it ended.
     */
    boost::asio::awaitable<rpc_failure>
    watch_view(schema::view_request request,
               std::function<void(std::shared_ptr<const schema::routing_view>)> on_view,
               duration silence_limit);

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
