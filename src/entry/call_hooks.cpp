/** \file
 * Implements set_call_hooks.
 */
#include "entry/call_hooks.h"

#include <utility>

#include "entry/order_client.h"
#include "entry/service_proxy.h"

namespace chervildyke {

void set_call_hooks(entry_node& node, boost::asio::any_io_executor executor,
                    const schema::entry_settings& settings)
{
    order_client_settings order_settings;
    order_settings.incarnation = node.incarnation();
    order_client_hooks hooks;
    hooks.claim = [&node](schema::claim_request request, duration timeout) {
        return node.controls().claim(std::move(request), timeout);
    };
    hooks.settle = [&node](schema::settle_request request, duration timeout) {
        return node.controls().settle(std::move(request), timeout);
    };
    const order_client client(executor, std::move(order_settings), std::move(hooks));
    node.at_most_once() = client.at_most_once();

    service_proxy_context context;
    context.executor = executor;
    context.random = node.context().random;
    context.http = node.context().http;
    context.metrics = node.context().metrics;
    context.at_most_once = node.at_most_once();
    service_proxy_settings service_settings;
    service_settings.failure_domain = settings.node().failure_domain();
    node.on_service_call = service_proxy(std::move(context), std::move(service_settings)).handler();
}

} // namespace chervildyke
