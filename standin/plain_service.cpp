/** \file
 * Implements plain_service.
 */
#include "standin/plain_service.h"

#include "base/hash.h"
#include "standin/http_replies.h"

namespace chervildyke::standin {

namespace asio = boost::asio;

namespace {
constexpr std::string_view operations_prefix = "/operations/";
constexpr std::size_t confirmation_digits = 16;
} // namespace

plain_service::plain_service(asio::any_io_executor executor,
                             schema::standin_service_settings settings)
    : executor_(executor), settings_(std::move(settings)),
      fault_server_(executor, [this](http_exchange& exchange) { return serve_faults(exchange); })
{
    for (const schema::standin_vm& vm : settings_.vms()) {
        auto created = std::make_unique<backend_server>();
        created->vm = vm;
        backends_[vm.vm()] = std::move(created);
    }
}

bool plain_service::listen()
{
    bool listening = listen_on(fault_server_, settings_.fault_listen());
    for (auto& [name, backend] : backends_) {
        listening = listening && start_backend(*backend);
    }
    return listening;
}

std::uint16_t plain_service::port(const std::string& vm) const
{
    return backends_.at(vm)->server->port();
}

bool plain_service::start_backend(backend_server& backend)
{
    backend.server = std::make_unique<http_server>(
        executor_, [this, &backend](http_exchange& exchange) { return serve(backend, exchange); });
    return listen_on(*backend.server, backend.vm.address());
}

schema::service_truth plain_service::ground_truth() const
{
    schema::service_truth result;
    for (const auto& [key, run] : runs_) {
        *result.add_runs() = run;
    }
    return result;
}

bool plain_service::apply(const schema::fault_request& request)
{
    const auto found = backends_.find(request.vm());
    if (found == backends_.end()) {
        return false;
    }
    backend_server& backend = *found->second;
    if (request.fault() == "die") {
        backend.server.reset();
        return true;
    }
    if (request.fault() == "restart") {
        backend.faults.clear();
        backend.leaving = false;
        return backend.server != nullptr || start_backend(backend);
    }
    if (request.fault() == "leave") {
        backend.leaving = true;
        return true;
    }
    return backend.faults.apply(request);
}

asio::awaitable<void> plain_service::serve(backend_server& backend, http_exchange& exchange)
{
    if (!co_await backend.faults.allow_request(exchange)) {
        co_return;
    }
    if (!backend.server) {
        exchange.abort(); // The VM died; the request came over an older connection.
        co_return;
    }
    const std::string path(exchange.request().path());
    if (path.starts_with(operations_prefix) && exchange.request().method == "POST") {
        co_await run_operation(backend, exchange);
        co_return;
    }
    const std::string health = backend.leaving ? R"({"leaving":true})" : R"({"leaving":false})";
    http_reply reply = path == "/health" ? status_reply(200, health) : status_reply(404);
    co_await exchange.respond(std::move(reply));
}

asio::awaitable<void> plain_service::run_operation(backend_server& backend, http_exchange& exchange)
{
    const std::string attempt(exchange.request().header("X-Attempt-Id"));
    std::string key(exchange.request().header("Idempotency-Key"));
    if (key.empty()) {
        key = attempt;
    }
    schema::service_run& run = runs_[key];
    run.set_key(key);
    run.set_attempt_id(attempt);
    run.set_times(run.times() + 1);
    const std::string confirmation =
        sha256_hex(key + "\n" + exchange.request().body).substr(0, confirmation_digits);
    const auto service_time = std::chrono::duration<double, std::milli>(
        settings_.service_time_ms() * backend.faults.slowdown_factor());
    co_await sleep_for(std::chrono::duration_cast<duration>(service_time));
    co_await backend.faults.wait_while_paused();
    if (!backend.server || backend.faults.consume_reply_drop()) {
        exchange.abort();
        co_return;
    }
    http_reply reply = status_reply(200, "{\"confirmation\":\"" + confirmation + "\"}");
    co_await exchange.respond(std::move(reply));
}

asio::awaitable<void> plain_service::serve_faults(http_exchange& exchange)
{
    if (exchange.request().path() == "/truth") {
        http_reply reply = json_reply(ground_truth());
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    const auto hook = [this](const schema::fault_request& request) { return apply(request); };
    co_await serve_fault_request(exchange, hook);
}

} // namespace chervildyke::standin
