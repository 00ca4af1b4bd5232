/** \file
 * Implements the control's HTTP side.
 */
#include "control/control_http.h"

#include <utility>

namespace chervildyke {

namespace {

constexpr const char* metrics_text = "text/plain; version=0.0.4";

http_reply answer(const control_http_hooks& hooks, std::string_view path)
{
    if (path == "/healthz") {
        return text_reply(200, "alive\n", metrics_text);
    }
    if (path == "/readyz") {
        return hooks.ready() ? text_reply(200, "ready\n", metrics_text)
                             : text_reply(503, hooks.not_ready_reason() + "\n", metrics_text);
    }
    if (path == "/metrics") {
        return text_reply(200, hooks.metrics(), metrics_text);
    }
    return text_reply(404, "no such page\n", metrics_text);
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
