/** \file
 * Implements detour_carrier.
 */
#include "detour/detour_carrier.h"

#include <utility>

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include "base/end_to_end_headers.h"
#include "base/event_log.h"
#include "base/scope_guard.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log detour_log("detour");

constexpr std::size_t max_in_progress = 256; // Each may hold a request and a piece of its answer.
constexpr duration connect_timeout = 250ms;
constexpr const char* answered_outcome = "answered";

// Carried calls may be such that run once, and fail with an unknown outcome on a connection that
// was closed without notice.
constexpr duration max_idle_time = 2s;

/** Cancels the request at the server when the origin disconnects; never completes by itself. */
asio::awaitable<void> cancel_on_disconnect(http_exchange& exchange,
                                           std::shared_ptr<http_cancel> cancel)
{
    co_await exchange.wait_for_peer_close();
    cancel->cancel();
    timer forever(co_await asio::this_coro::executor);
    forever.expires_at(time_point::max());
    co_await forever.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace

asio::awaitable<void> detour_carrier::serve(http_exchange& exchange)
{
    using namespace asio::experimental::awaitable_operators;
    const auto order = read_order(exchange.request());
    if (!order) {
        http_reply reply = text_reply(400, "expected the fields of a detour\n");
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    const time_point arrived_at = monotonic_clock::now();
    carried_call call{exchange, *order, hooks_.call_id(exchange.request()),
                      arrived_at + order->timeout};
    ++in_progress_;
    const scope_guard ended([this, &call, arrived_at] {
        --in_progress_;
        const char* outcome = call.outcome == answered_outcome ? answered_outcome : "failed";
        metrics_.counter("chervil_carried_total", {{"outcome", outcome}}) += 1;
        detour_log.write("carried", {{"request", call.id},
                                     {"origin", call.order.origin},
                                     {"backend", call.order.server.id},
                                     {"outcome", call.outcome},
                                     {"took_ms", to_ms_text(monotonic_clock::now() - arrived_at)}});
    });
    co_await (carry(call) || cancel_on_disconnect(exchange, call.cancel));
}

asio::awaitable<void> detour_carrier::refuse(carried_call& call, http_failure failure)
{
    call.outcome = failure.reason;
    http_reply reply = write_failure(failure);
    co_await call.exchange.respond(std::move(reply));
}

asio::awaitable<void> detour_carrier::carry(carried_call& call)
{
    const auto target = hooks_.find_server(call.order.server);
    std::string refusal = in_progress_ > max_in_progress ? "too many requests are carried"
                          : target                       ? hooks_.refusal(target->service)
                                                         : "";
    if (!refusal.empty()) {
        http_failure failed{http_error::not_sent, std::move(refusal)};
        co_await refuse(call, std::move(failed));
        co_return;
    }
    std::string withheld = target ? hooks_.server_refusal(*target) : "the server is not listed";
    if (!withheld.empty()) {
        call.outcome = withheld;
        http_reply reply = write_withheld(std::move(withheld));
        co_await call.exchange.respond(std::move(reply));
        co_return;
    }
    http_request request = call.exchange.request();
    request.headers = without_detour_fields(end_to_end_headers(request.headers));
    http_call_options options;
    options.timeout = call.order.timeout;
    options.connect_timeout = connect_timeout;
    options.max_idle_time = max_idle_time;
    options.cancel = call.cancel;
    options.should_send = [this, &call, target] {
        const bool may_send =
            !call.exchange.peer_has_closed() && hooks_.server_refusal(*target).empty();
        if (may_send) {
            hooks_.on_sent(*target);
        }
        return may_send;
    };
    options.matches_request = [this, &call](const std::vector<http_header>& headers) {
        return hooks_.is_answer_to(call.id, headers);
    };
    auto opened = co_await links_.open_directly(*target, std::move(request), std::move(options));
    if (!opened) {
        http_failure failed = opened.failure();
        co_await refuse(call, std::move(failed));
        co_return;
    }
    hooks_.on_answer(*target, (*opened)->status(), (*opened)->headers());
    co_await pass_on(call, **opened);
}

/** Passes on an answer as it arrives. It ends early if the server's does. */
asio::awaitable<void> detour_carrier::pass_on(carried_call& call, http_stream& answer)
{
    http_reply reply;
    reply.status = answer.status();
    reply.content_type.clear();
    reply.headers = without_detour_fields(end_to_end_headers(answer.headers()));
    reply.headers.push_back(answered_field());
    bool started = false;
    while (true) {
        const duration left = call.deadline - monotonic_clock::now();
        auto part = co_await answer.read_some(left);
        if (!part) {
            call.outcome = part.failure().reason;
            call.exchange.abort();
            co_return;
        }
        if (part->empty()) {
            break;
        }
        if (!started) {
            started = true;
            http_reply head = reply;
            if (!co_await call.exchange.start_stream(std::move(head))) {
                call.outcome = "the origin has disconnected";
                co_return;
            }
        }
        if (!co_await call.exchange.write_chunk(*part)) {
            call.outcome = "the origin has disconnected";
            co_return;
        }
    }
    call.outcome = answered_outcome;
    if (started) {
        co_await call.exchange.end_stream();
    }
    else {
        co_await call.exchange.respond(std::move(reply));
    }
}

} // namespace chervildyke
