/** \file
 * Implements control_link.
 */
#include "entry/control_link.h"

namespace chervildyke {

namespace asio = boost::asio;

control_link::control_link(const asio::any_io_executor& executor,
                           const std::vector<std::string>& addresses, std::string incarnation,
                           std::function<schema::entry_load()> load)
    : incarnation_(std::move(incarnation)), load_(std::move(load))
{
    for (const std::string& address : addresses) {
        clients_.push_back(std::make_shared<control_client>(executor, address));
    }
}

watch_hook control_link::watch()
{
    return [this](std::size_t control, std::function<void(routing_view_ptr)> on_view,
                  duration silence_limit) -> asio::awaitable<std::string> {
        schema::view_request request;
        request.set_entry(load_().address());
        request.set_incarnation(incarnation_);
        *request.mutable_load() = load_();
        const auto client = clients_.at(control);
        const rpc_failure ended =
            co_await client->watch_view(std::move(request), std::move(on_view), silence_limit);
        co_return ended.reason;
    };
}

template <typename Request, typename Reply>
rpc_awaitable<Reply>
control_link::call_in_turn(rpc_awaitable<Reply> (control_client::*method)(Request, duration),
                           Request request, duration timeout)
{
    const time_point end = monotonic_clock::now() + timeout;
    rpc_failure last{rpc_error::unreachable, "no control is known"};
    for (const auto& client : clients_) {
        const duration left = end - monotonic_clock::now();
        if (left <= duration::zero()) {
            break;
        }
        // A control that hangs must leave time for the next one.
        const duration share = client == clients_.back() ? left : left / 2;
        auto reply = co_await ((*client).*method)(request, share);
        if (reply) {
            co_return std::move(*reply);
        }
        last = reply.last_reason();
    }
    co_return last;
}

rpc_awaitable<schema::claim_reply> control_link::claim(schema::claim_request request,
                                                       duration timeout)
{
    return call_in_turn(&control_client::claim, std::move(request), timeout);
}

rpc_awaitable<schema::settle_reply> control_link::settle(schema::settle_request request,
                                                         duration timeout)
{
    return call_in_turn(&control_client::settle, std::move(request), timeout);
}

} // namespace chervildyke
