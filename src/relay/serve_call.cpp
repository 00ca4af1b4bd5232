/** \file
 * Implements serve_call.
 */
#include "relay/serve_call.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include "base/event_log.h"
#include "relay/plain_relay.h"
#include "relay/stream_relay.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log call_log("call");

constexpr std::size_t max_logged_parts = 16; // Of a prompt; a head may have over a thousand.

constexpr duration default_time_left = 30s;       // For calls without a deadline.
constexpr duration retry_elsewhere_delay = 300ms; // Another node may be able to serve the call.

/** A refusal before the call was sent to any backend server. */
struct early_refusal {
    unsigned status = 503;
    std::string reason;
    std::optional<duration> retry_after;
};

/** Sets the call's configuration, route, team and priority.
 * \return the refusal if no route matches or the key is unknown, or if this node can't decide that
 * because its event loop lags or its configuration is missing or too old.
 */
std::optional<early_refusal> route_call(relayed_call& call)
{
    relay_context& context = call.context;
    if (context.lag.current() > context.limits.max_lag) {
        return early_refusal{
            503, "the event loop of this node lags by " + to_ms_text(context.lag.current()) + " ms",
            retry_elsewhere_delay};
    }
    call.configuration = context.configuration();
    if (!call.configuration) {
        return early_refusal{503,
                             "no configuration that is known to be the newest has been read yet",
                             retry_elsewhere_delay};
    }
    const std::optional<duration> age = context.configuration_age();
    const bool stale = !age || *age > context.limits.key_staleness;
    std::string_view host = call.parameters.host;
    host = host.substr(0, host.find(':'));
    call.route = call.configuration->find_route(host, call.exchange.request().path());
    if (call.route == nullptr) {
        if (stale) {
            return early_refusal{503, "no route matches, but the configuration is out of date",
                                 retry_elsewhere_delay};
        }
        return early_refusal{404, "no route matches", std::nullopt};
    }
    call.priority = call.route->priority;
    if (call.route->is_public || !call.configuration->has_teams()) {
        return std::nullopt;
    }
    if (stale) {
        return early_refusal{503, "the configuration is too old to check keys",
                             retry_elsewhere_delay};
    }
    const team_keys* team = call.configuration->find_team(call.parameters.key);
    if (team == nullptr) {
        return early_refusal{401, "the key is unknown", std::nullopt};
    }
    call.team = team->name;
    call.priority = team->priority.value_or(call.priority);
    return std::nullopt;
}

/** \return one of the route's services, drawn at random by weight; empty if it has none. */
std::string choose_service(const call_route& route, const random_source& random)
{
    std::uint64_t total = 0;
    for (const weighted_service& candidate : route.services) {
        total += candidate.weight;
    }
    if (total == 0) {
        return route.services.empty() ? std::string() : route.services.front().service;
    }
    std::uint64_t drawn = random_below(random, total);
    for (const weighted_service& candidate : route.services) {
        if (drawn < candidate.weight) {
            return candidate.service;
        }
        drawn -= candidate.weight;
    }
    return route.services.back().service;
}

/** Cancels the call when its caller disconnects; then waits until it is cancelled itself, so that
 * it never completes before forward_call().
 */
asio::awaitable<void> cancel_on_disconnect(relayed_call& call)
{
    co_await call.exchange.wait_for_peer_close();
    if (call.end.outcome.empty()) { // The wait also ends when the call does.
        call.end.reason = "its connection ended while the call was in progress";
    }
    call.cancel->cancel();
    timer forever(co_await asio::this_coro::executor);
    forever.expires_at(time_point::max());
    co_await forever.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> forward_by_service(relayed_call& call)
{
    const backend_service* service = call.configuration->find_service(call.service);
    if (service != nullptr && service->engine) {
        co_await relay_stream(call);
    }
    else {
        co_await relay_plain_call(call);
    }
}

/** Forwards the call and answers it. What it throws is kept in `thrown`: the operator || would
 * otherwise wait for the other operation, which never completes.
 */
asio::awaitable<void> forward_call(relayed_call& call, std::exception_ptr& thrown)
{
    try {
        co_await forward_by_service(call);
    }
    catch (...) {
        thrown = std::current_exception();
    }
}

std::string to_text(const std::optional<duration>& span)
{
    return span ? to_ms_text(*span) : "none";
}

void log_call_end(const relayed_call& call)
{
    const duration took = monotonic_clock::now() - call.arrived_at;
    const std::string route = call.route == nullptr ? "none" : call.route->name;
    const std::string version =
        call.configuration ? std::to_string(call.configuration->version()) : std::string("none");
    const std::optional<duration> age = call.context.configuration_age();
    const duration first_target = call.route ? call.route->latency_target : duration::zero();
    const duration gap_target = call.route ? call.route->event_gap_target : duration::zero();
    call_log.write("call_ended", {{"request", call.parameters.id},
                                  {"route", route},
                                  {"team", call.team},
                                  {"service", call.service},
                                  {"model", call.parameters.model},
                                  {"tokens", std::to_string(call.parameters.prompt_tokens)},
                                  {"shared_parts", shared_parts_text(call, max_logged_parts)},
                                  {"configuration", version},
                                  {"configuration_age_ms", age ? to_ms_text(*age) : "never"},
                                  {"deadline_ms", to_ms_text(call.deadline - call.arrived_at)},
                                  {"backend", call.end.backend},
                                  {"sends", std::to_string(call.end.sends)},
                                  {"runs", std::to_string(call.end.runs)},
                                  {"events", std::to_string(call.end.events)},
                                  {"waited_ms", to_ms_text(call.end.waited)},
                                  {"first_event_ms", to_text(call.end.first_event)},
                                  {"predicted_ms", to_text(call.end.predicted_first)},
                                  {"first_target_ms", to_ms_text(first_target)},
                                  {"longest_gap_ms", to_ms_text(call.end.longest_gap)},
                                  {"gap_target_ms", to_ms_text(gap_target)},
                                  {"status", std::to_string(call.end.status)},
                                  {"outcome", call.end.outcome},
                                  {"reason", call.end.reason},
                                  {"took_ms", to_ms_text(took)}});
    metrics_registry& metrics = *call.context.metrics;
    const std::string& outcome = call.end.outcome;
    metrics.counter("chervil_calls_total", {{"route", route}, {"outcome", outcome}}) += 1;
    metrics.counter("chervil_team_calls_total", {{"team", call.team}, {"outcome", outcome}}) += 1;
    metrics.distribution("chervil_call_seconds", {{"route", route}}).observe(took);
    metrics.distribution("chervil_team_call_seconds", {{"team", call.team}}).observe(took);
}

} // namespace

asio::awaitable<void> serve_call(relay_context& context, http_exchange& exchange)
{
    using namespace asio::experimental::awaitable_operators;
    relayed_call call(context, exchange);
    call.arrived_at = monotonic_clock::now();
    call.deadline = call.arrived_at + call.parameters.time_left.value_or(default_time_left);
    if (exchange.peer_has_closed()) {
        call.end.outcome = "caller_left";
        call.end.reason = "its connection had ended before the call was handled";
        exchange.abort();
        log_call_end(call);
        co_return;
    }
    if (auto refused = route_call(call)) {
        call.end.status = refused->status;
        call.end.outcome = "refused";
        call.end.reason = refused->reason;
        http_reply reply =
            context.codec.write_refusal(refused->status, refused->reason, refused->retry_after);
        co_await exchange.respond(std::move(reply));
        log_call_end(call);
        co_return;
    }
    call.deadline = std::min(call.deadline, call.arrived_at + call.route->timeout);
    if (call.time_left() <= duration::zero()) {
        co_await refuse(call, 503, "the call arrived without time left", retry_elsewhere_delay);
        log_call_end(call);
        co_return;
    }
    if (!context.stopping.takes(call.arrived_at, call.deadline, call.route->retry)) {
        co_await refuse(call, 503, "this node stops before the call can end",
                        retry_elsewhere_delay);
        log_call_end(call);
        co_return;
    }
    call.deadline = std::min(call.deadline, context.stopping.calls_end());
    call.service = choose_service(*call.route, context.random);
    std::exception_ptr thrown;
    co_await (forward_call(call, thrown) || cancel_on_disconnect(call));
    if (thrown) {
        call.end.outcome = "failed";
        call.end.reason = "an exception ended the call";
    }
    log_call_end(call);
    if (thrown) {
        std::rethrow_exception(thrown); // The server replies.
    }
}

http_reply refuse_unread(const relay_context& context, bad_request kind)
{
    const bool no_memory = kind == bad_request::no_memory;
    if (!no_memory && kind != bad_request::too_many_connections) {
        return default_bad_request_reply(kind);
    }
    return context.codec.write_refusal(503,
                                       no_memory ? "this node has no memory left for requests"
                                                 : "this node has too many connections",
                                       retry_elsewhere_delay);
}

} // namespace chervildyke
