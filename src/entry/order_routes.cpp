/** \file
 * Implements the joining of orders and plain services to an entry.
 */
#include "entry/order_routes.h"

#include <utility>

#include "entry/order_call.h"
#include "entry/service_call.h"

namespace chervildyke {

void serve_orders(entry_node& node, boost::asio::any_io_executor executor,
                  const schema::entry_settings& settings)
{
    order_call_settings order_settings;
    order_settings.incarnation = node.incarnation();
    order_call_hooks hooks;
    hooks.claim = [&node](schema::claim_request request, duration timeout) {
        return node.controls().claim(std::move(request), timeout);
    };
    hooks.settle = [&node](schema::settle_request request, duration timeout) {
        return node.controls().settle(std::move(request), timeout);
    };
    const order_calls orders(executor, std::move(order_settings), std::move(hooks));
    node.guard() = orders.guard();

    service_call_context context;
    context.executor = executor;
    context.random = node.context().random;
    context.http = node.context().http;
    context.metrics = node.context().metrics;
    context.guard = node.guard();
    service_call_settings service_settings;
    service_settings.failure_domain = settings.node().failure_domain();
    node.on_service_call = service_calls(std::move(context), std::move(service_settings)).route();
}

} // namespace chervildyke
