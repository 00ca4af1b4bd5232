/** \file
 * Implements the HTTP endpoints of a control node.
 */
#include "control/control_http.h"

#include <utility>

namespace chervildyke {

namespace {

constexpr const char* prometheus_content_type = "text/plain; version=0.0.4";

http_reply make_reply(const control_http_hooks& hooks, std::string_view path)
{
    if (path == "/healthz") {
        return text_reply(200, "alive\n", prometheus_content_type);
    }
    if (path == "/readyz") {
        return hooks.ready()
                   ? text_reply(200, "ready\n", prometheus_content_type)
                   : text_reply(503, hooks.not_ready_reason() + "\n", prometheus_content_type);
    }
    if (path == "/metrics") {
        return text_reply(200, hooks.metrics(), prometheus_content_type);
    }
    return text_reply(404, "no such page\n", prometheus_content_type);
}

} // namespace

http_handler make_control_http_handler(control_http_hooks hooks)
{
    return [hooks = std::move(hooks)](http_exchange& exchange) -> boost::asio::awaitable<void> {
        http_reply reply = make_reply(hooks, exchange.request().path());
        co_await exchange.respond(std::move(reply));
    };
}

} // namespace chervildyke
