/** \file
 * Implements the control's HTTP side.
 */
#include "control/control_http.h"

#include <utility>

namespace chervildyke {

namespace {

http_reply text_reply(unsigned status, std::string body)
{
    http_reply reply;
    reply.status = status;
    reply.content_type = "text/plain; version=0.0.4";
    reply.body = std::move(body);
    return reply;
}

http_reply answer(const control_http_hooks& hooks, std::string_view path)
{
    if (path == "/healthz") {
        return text_reply(200, "alive\n");
    }
    if (path == "/readyz") {
        return hooks.ready() ? text_reply(200, "ready\n")
                             : text_reply(503, hooks.not_ready_reason() + "\n");
    }
    if (path == "/metrics") {
        return text_reply(200, hooks.metrics());
    }
    return text_reply(404, "no such page\n");
}

} // namespace

http_handler control_http_handler(control_http_hooks hooks)
{
    return [hooks = std::move(hooks)](http_exchange& exchange) -> boost::asio::awaitable<void> {
        http_reply reply = answer(hooks, exchange.request().path());
        co_await exchange.respond(std::move(reply));
    };
}

} // namespace chervildyke
