/** \file
 * Implements failover_control_client.
 */
#include "entry/failover_control_client.h"

namespace chervildyke {

namespace asio = boost::asio;

failover_control_client::failover_control_client(const asio::any_io_executor& executor,
                                                 const std::vector<std::string>& addresses,
                                                 std::string incarnation,
                                                 std::function<schema::entry_load()> load)
    : incarnation_(std::move(incarnation)), load_(std::move(load))
{
    for (const std::string& address : addresses) {
        clients_.push_back(std::make_shared<control_client>(executor, address));
    }
}

watch_hook failover_control_client::make_watch_hook()
{
    return [this](std::size_t control, std::function<void(routing_view_ptr)> on_view,
                  duration idle_timeout) -> asio::awaitable<std::string> {
        schema::view_request request;
        request.set_entry(load_().address());
        request.set_incarnation(incarnation_);
        *request.mutable_load() = load_();
        const auto client = clients_.at(control);
        const rpc_failure failure =
            co_await client->watch_view(std::move(request), std::move(on_view), idle_timeout);
        co_return failure.reason;
    };
}

template <typename Request, typename Reply>
rpc_awaitable<Reply> failover_control_client::call_with_failover(
    rpc_awaitable<Reply> (control_client::*method)(Request, duration), Request request,
    duration timeout)
{
    const time_point deadline = monotonic_clock::now() + timeout;
    rpc_failure last_failure{rpc_error::unreachable, "no control was called before the timeout"};
    for (const auto& client : clients_) {
        const duration time_left = deadline - monotonic_clock::now();
        if (time_left <= duration::zero()) {
            break;
        }
        // An unresponsive control must leave time for the next one.
        const duration attempt_timeout = client == clients_.back() ? time_left : time_left / 2;
        auto reply = co_await ((*client).*method)(request, attempt_timeout);
        if (reply) {
            co_return std::move(*reply);
        }
        last_failure = reply.failure();
    }
    co_return last_failure;
}

rpc_awaitable<schema::claim_reply> failover_control_client::claim(schema::claim_request request,
                                                                  duration timeout)
{
    return call_with_failover(&control_client::claim, std::move(request), timeout);
}

rpc_awaitable<schema::settle_reply> failover_control_client::settle(schema::settle_request request,
                                                                    duration timeout)
{
    return call_with_failover(&control_client::settle, std::move(request), timeout);
}

} // namespace chervildyke
