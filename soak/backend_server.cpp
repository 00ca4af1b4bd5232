/** \file
 * Implements backend_server and order_server.
 */
#include "soak/backend_server.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chervildyke::soak {

namespace asio = boost::asio;

namespace {

constexpr std::size_t endless_piece_bytes = 16U << 10U;
constexpr duration endless_piece_interval = 1ms;
constexpr duration entry_ttl = 3600ms;           // From the end of a server's updates.
constexpr duration extra_listen_time = 1s;       // From the end of the drain period.
constexpr duration order_processing_time = 15ms; // Of one call to a server of orders.
constexpr std::uint32_t order_queue_limit = 4; // Calls that wait for a slot on a server of orders.
constexpr duration drain_timeout = 10s;        // For how long running calls may delay the end.
constexpr duration drain_poll_interval = 5ms;  // Between two checks of a leaving server for calls.
constexpr duration publish_retry_interval = 200ms;       // While the store is down.
constexpr duration min_silence_gap = 1s;                 // Between two silences of one server.
constexpr std::size_t seal_length = 12;                  // Characters.
constexpr double ends_with_connection_probability = 0.1; // Of each answer.

} // namespace

bool backend_server::start(const std::string& ip)
{
    ip_ = ip;
    environment_.newest_start_ms_by_id[entry_.id] = entry_.started_ms;
    const std::weak_ptr<backend_server> weak = weak_from_this();
    server_ = std::make_unique<http_server>(
        environment_.executor, [weak](http_exchange& exchange) -> asio::awaitable<void> {
            const auto self = weak.lock();
            if (!self || !self->alive_) {
                exchange.abort();
                co_return;
            }
            co_await self->wait_while_silent();
            co_await self->serve(exchange);
        });
    if (!server_->listen(ip, 0)) {
        return false;
    }
    publish();
    return true;
}

std::string backend_server::listening_address() const
{
    return ip_ + ":" + std::to_string(server_->port());
}

void backend_server::publish()
{
    if (!alive_ || !publishes_entry_) {
        return;
    }
    if (!environment_.store.faults().down && !silent()) {
        environment_.store.put(server_topic, entry_.id, write_server(entry_));
        return;
    }
    const auto self = shared_from_this();
    asio::co_spawn(
        environment_.executor,
        [self]() -> asio::awaitable<void> {
            co_await sleep_for(publish_retry_interval);
            self->publish();
        },
        asio::detached);
}

asio::awaitable<void> backend_server::expire_entry()
{
    const auto self = shared_from_this();
    co_await sleep_for(entry_ttl);
    if (environment_.newest_start_ms_by_id[entry_.id] != entry_.started_ms) {
        co_return; // A newer incarnation uses the id.
    }
    if (alive_ && publishes_entry_) {
        co_return; // It has reached the store again.
    }
    environment_.store.put(server_topic, entry_.id, "");
}

void backend_server::crash()
{
    if (!alive_) {
        return;
    }
    alive_ = false;
    server_->stop_accepting();
    if (publishes_entry_) {
        asio::co_spawn(environment_.executor, expire_entry(), asio::detached);
    }
}

void backend_server::fall_silent(duration span)
{
    const time_point now = monotonic_clock::now();
    if (now - silent_until_ > min_silence_gap) {
        silent_until_ = now + span;
    }
}

asio::awaitable<void> backend_server::wait_while_silent() const
{
    while (alive_ && silent()) {
        const duration span = silent_until_ - monotonic_clock::now();
        co_await sleep_for(span);
    }
}

asio::awaitable<void> backend_server::send(http_exchange& exchange, http_reply reply)
{
    co_await wait_while_silent();
    if (!alive_) {
        exchange.abort();
        co_return;
    }
    if (!reply.ends_with_connection) {
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    const std::string body = std::move(reply.body);
    co_await exchange.start_stream(std::move(reply));
    co_await exchange.write_chunk(body);
    co_await exchange.end_stream();
}

void backend_server::disconnect_from_store()
{
    if (publishes_entry_ && alive_) {
        publishes_entry_ = false;
        asio::co_spawn(environment_.executor, expire_entry(), asio::detached);
    }
}

void backend_server::reconnect_to_store()
{
    if (!publishes_entry_ && alive_) {
        publishes_entry_ = true;
        publish();
    }
}

asio::awaitable<void> backend_server::stop_after_drain()
{
    const auto self = shared_from_this();
    const duration span = drain_period + extra_listen_time;
    co_await sleep_for(span);
    const time_point deadline = monotonic_clock::now() + drain_timeout;
    while (has_running_calls() && monotonic_clock::now() < deadline) {
        co_await sleep_for(drain_poll_interval);
    }
    if (alive_) {
        environment_.store.put(server_topic, entry_.id, "");
        publishes_entry_ = false;
        crash();
    }
}

void backend_server::leave()
{
    if (!alive_ || entry_.leaving) {
        return;
    }
    entry_.leaving = true;
    publish();
    asio::co_spawn(environment_.executor, stop_after_drain(), asio::detached);
}

bool backend_server::draw_ends_with_connection() const
{
    return draw_with_probability(ends_with_connection_probability);
}

std::string backend_server::make_seal() const
{
    return random_id(environment_.random).substr(0, seal_length);
}

void backend_server::record_arrival(const call_arrival& arrival)
{
    const time_point now = monotonic_clock::now();
    environment_.checker.record_arrival(arrival, now);
    environment_.poison.record_arrival(arrival.id, now);
}

asio::awaitable<void> backend_server::send_without_end(http_exchange& exchange, http_reply start)
{
    const std::string piece(endless_piece_bytes, 'x');
    bool written = co_await exchange.start_stream(std::move(start));
    while (written && alive_ && faults_.sends_without_end) {
        written = co_await exchange.write_chunk(piece);
        co_await sleep_for(endless_piece_interval); // The other servers run on the same thread.
    }
    exchange.abort();
}

asio::awaitable<void> backend_server::refuse(http_exchange& exchange, unsigned status)
{
    http_reply reply = write_not_executed(read_arrival(exchange.request()).id, status);
    co_await send(exchange, std::move(reply));
}

asio::awaitable<void> backend_server::serve_command(http_exchange& exchange)
{
    return refuse(exchange, 400);
}

asio::awaitable<void> backend_server::serve(http_exchange& exchange)
{
    const http_request& request = exchange.request();
    const std::string target_id = target_server_id(request);
    const request_kind kind = read_request_kind(request);
    if (!target_id.empty() && target_id != entry_.id) {
        if (kind == request_kind::call) {
            record_arrival(read_arrival(request));
        }
        co_await refuse(exchange, 421);
        co_return;
    }
    if (faults_.sends_without_end && kind != request_kind::call) {
        http_reply start;
        co_await send_without_end(exchange, std::move(start));
        co_return;
    }
    switch (kind) {
    case request_kind::report: {
        http_reply reply = write_report(entry_, running_calls_, begun_commands_);
        co_await send(exchange, std::move(reply));
        break;
    }
    case request_kind::health: {
        http_reply reply;
        reply.status = entry_.leaving ? 503 : 200;
        co_await send(exchange, std::move(reply));
        break;
    }
    case request_kind::command:
        co_await serve_command(exchange);
        break;
    case request_kind::call:
        environment_.has_received_call = true;
        co_await serve_call(exchange);
        break;
    }
}

asio::awaitable<void> order_server::serve_call(http_exchange& exchange)
{
    call_arrival arrival = read_arrival(exchange.request());
    if (running_calls_ >= slots_per_order_server + order_queue_limit) {
        record_arrival(arrival);
        co_await refuse(exchange, 503);
        co_return;
    }
    arrival.started = true;
    record_arrival(arrival);
    ++running_calls_;
    const duration processing_time =
        std::chrono::duration_cast<duration>(order_processing_time * faults_.slowdown_factor);
    co_await sleep_for(processing_time);
    co_await wait_while_silent();
    --running_calls_;
    server_answer answer{200, make_seal(), "done " + arrival.id + " by " + entry_.id};
    if (draw_with_probability(faults_.failure_probability)) {
        answer.status = 500;
        answer.body = "failed " + arrival.id;
    }
    environment_.checker.record_server_answer(arrival.id, answer);
    if (!alive() || draw_with_probability(faults_.answer_loss_probability)) {
        exchange.abort();
        co_return;
    }
    http_reply reply = write_server_answer(arrival.id, answer);
    if (faults_.sends_without_end) {
        co_await send_without_end(exchange, std::move(reply));
        co_return;
    }
    if (draw_with_probability(faults_.truncation_probability)) {
        // Without a length, only the reset shows that the answer is not complete.
        reply.ends_with_connection = true;
        const std::string part = answer.body.substr(0, answer.body.size() / 2);
        co_await exchange.start_stream(std::move(reply));
        co_await exchange.write_chunk(part);
        exchange.abort();
        co_return;
    }
    reply.ends_with_connection = draw_ends_with_connection();
    co_await send(exchange, std::move(reply));
}

} // namespace chervildyke::soak
