/** \file
 * Implements weight_store.
 */
#include "standin/weight_store.h"

#include "base/scope_guard.h"
#include "platform.pb.h"
#include "standin/http_replies.h"

namespace chervildyke::standin {

namespace asio = boost::asio;

namespace {
constexpr duration progress_interval = 20ms;
} // namespace

weight_store::weight_store(asio::any_io_executor executor,
                           schema::standin_weights_settings settings)
    : settings_(std::move(settings)),
      server_(executor, [this](http_exchange& exchange) { return serve(exchange); })
{
}

bool weight_store::listen()
{
    return listen_on(server_, settings_.listen());
}

asio::awaitable<void> weight_store::serve(http_exchange& exchange)
{
    const std::string path(exchange.request().path());
    if (path == "/faults") {
        const auto apply = [this](const schema::fault_request& request) {
            return faults_.apply(request);
        };
        co_await serve_fault_request(exchange, apply);
        co_return;
    }
    if (!co_await faults_.allow_request(exchange)) {
        co_return;
    }
    if (path == "/weights") {
        co_await stream_load(exchange);
        co_return;
    }
    schema::weight_store_status status;
    status.set_bytes_per_second(settings_.bytes_per_second());
    status.set_active_loads(*active_loads_);
    http_reply reply = path == "/status" ? json_reply(status) : status_reply(404);
    co_await exchange.respond(std::move(reply));
}

asio::awaitable<void> weight_store::stream_load(http_exchange& exchange)
{
    const auto total_bytes = static_cast<double>(query_number(exchange.request(), "bytes"));
    const auto active_loads = active_loads_;
    ++*active_loads;
    const scope_guard load_ended([active_loads] { --*active_loads; });
    const http_reply head = status_reply(200);
    bool connected = co_await exchange.start_stream(head);
    double loaded_bytes = 0;
    time_point last_step_at = monotonic_clock::now();
    while (connected && loaded_bytes < total_bytes && settings_.bytes_per_second() > 0) {
        co_await sleep_for(progress_interval);
        co_await faults_.wait_while_paused();
        if (faults_.in_outage()) {
            exchange.abort();
            co_return;
        }
        const time_point now = monotonic_clock::now();
        const double seconds = std::chrono::duration<double>(now - last_step_at).count();
        last_step_at = now;
        const auto rate = static_cast<double>(settings_.bytes_per_second());
        loaded_bytes += seconds * rate / (*active_loads * faults_.slowdown_factor());
        const std::string progress =
            std::to_string(std::min(loaded_bytes / total_bytes, 1.0)) + "\n";
        connected = co_await exchange.write_chunk(progress);
    }
    if (connected) {
        co_await exchange.end_stream();
    }
}

} // namespace chervildyke::standin
