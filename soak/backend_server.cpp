/** \file
 * Implements what backend servers share, and the server of orders.
 */
#include "soak/backend_server.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chervildyke::soak {

namespace asio = boost::asio;

namespace {

constexpr duration entry_lapse = 3600ms;  // From a server's last word to its entry's removal.
constexpr duration drain_beyond = 1s;     // How long a leaving server still listens after its time.
constexpr duration order_work = 15ms;     // What one call to a server of orders takes.
constexpr std::uint32_t order_queue = 4;  // Calls that wait for a slot on a server of orders.
constexpr duration drain_at_most = 10s;   // How long calls in progress hold up its end.
constexpr duration work_poll = 5ms;       // How often a leaving server looks for its last call.
constexpr duration publish_retry = 200ms; // Until a server tells a store that was down.

} // namespace

bool backend_server::start(const std::string& ip)
{
    ip_ = ip;
    around_.newest_lives[entry_.id] = entry_.started_ms;
    const std::weak_ptr<backend_server> weak = weak_from_this();
    server_ = std::make_unique<http_server>(
        around_.executor, [weak](http_exchange& exchange) -> asio::awaitable<void> {
            const auto self = weak.lock();
            if (!self || !self->lives_) {
                exchange.abort();
                co_return;
            }
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
    if (!lives_ || !listed_) {
        return;
    }
    if (!around_.store.faults().down) {
        around_.store.put(server_topic, entry_.id, write_server(entry_));
        return;
    }
    const auto self = shared_from_this();
    asio::co_spawn(
        around_.executor,
        [self]() -> asio::awaitable<void> {
            co_await sleep_for(publish_retry);
            self->publish();
        },
        asio::detached);
}

asio::awaitable<void> backend_server::lapse()
{
    const auto self = shared_from_this();
    co_await sleep_for(entry_lapse);
    if (around_.newest_lives[entry_.id] != entry_.started_ms) {
        co_return; // A newer life writes under the id.
    }
    around_.store.put(server_topic, entry_.id, "");
}

void backend_server::crash()
{
    if (!lives_) {
        return;
    }
    lives_ = false;
    server_->stop_accepting();
    if (listed_) {
        asio::co_spawn(around_.executor, lapse(), asio::detached);
    }
}

void backend_server::cut_from_store()
{
    if (listed_ && lives_) {
        listed_ = false;
        asio::co_spawn(around_.executor, lapse(), asio::detached);
    }
}

asio::awaitable<void> backend_server::end_after_drain()
{
    const auto self = shared_from_this();
    const duration span = drain_time + drain_beyond;
    co_await sleep_for(span);
    const time_point until = monotonic_clock::now() + drain_at_most;
    while (has_work() && monotonic_clock::now() < until) {
        co_await sleep_for(work_poll);
    }
    if (lives_) {
        around_.store.put(server_topic, entry_.id, "");
        listed_ = false;
        crash();
    }
}

void backend_server::leave()
{
    if (!lives_ || entry_.leaving) {
        return;
    }
    entry_.leaving = true;
    publish();
    asio::co_spawn(around_.executor, end_after_drain(), asio::detached);
}

std::string backend_server::make_seal() const
{
    return random_id(around_.random).substr(0, 12);
}

void backend_server::note_refused(const http_request& request)
{
    around_.book.arrived(read_run(request), monotonic_clock::now());
}

asio::awaitable<void> backend_server::refuse(http_exchange& exchange, unsigned status)
{
    http_reply reply = write_not_run(read_run(exchange.request()).id, status);
    co_await exchange.respond(std::move(reply));
}

asio::awaitable<void> backend_server::take_order(http_exchange& exchange)
{
    return refuse(exchange, 400);
}

asio::awaitable<void> backend_server::serve(http_exchange& exchange)
{
    const http_request& request = exchange.request();
    const std::string wanted = wanted_server(request);
    const server_path path = read_path(request);
    if (!wanted.empty() && wanted != entry_.id) {
        if (path == server_path::call) {
            note_refused(request);
        }
        co_await refuse(exchange, 421);
        co_return;
    }
    switch (path) {
    case server_path::report: {
        http_reply reply = write_report(entry_, running_);
        co_await exchange.respond(std::move(reply));
        break;
    }
    case server_path::health: {
        http_reply reply;
        reply.status = entry_.leaving ? 503 : 200;
        co_await exchange.respond(std::move(reply));
        break;
    }
    case server_path::order:
        co_await take_order(exchange);
        break;
    case server_path::call:
        around_.calls_began = true;
        co_await serve_call(exchange);
        break;
    }
}

asio::awaitable<void> order_server::serve_call(http_exchange& exchange)
{
    seen_run run = read_run(exchange.request());
    if (running_ >= order_slots + order_queue) {
        around_.book.arrived(run, monotonic_clock::now());
        co_await refuse(exchange, 503);
        co_return;
    }
    run.began = true;
    around_.book.arrived(run, monotonic_clock::now());
    ++running_;
    const duration work = std::chrono::duration_cast<duration>(order_work * faults_.slowness);
    co_await sleep_for(work);
    --running_;
    made_answer answer{200, make_seal(), "done " + run.id + " by " + entry_.id};
    if (happens(faults_.fails)) {
        answer.status = 500;
        answer.body = "failed " + run.id;
    }
    around_.book.answered(run.id, answer);
    if (!lives() || happens(faults_.loses_answers)) {
        exchange.abort();
        co_return;
    }
    http_reply reply = write_made_answer(run.id, answer);
    co_await exchange.respond(std::move(reply));
}

} // namespace chervildyke::soak
