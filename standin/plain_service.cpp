/** \file
 * Implements the stand-in of the plain services.
 */
#include "standin/plain_service.h"

#include "base/hash.h"
#include "standin/http_replies.h"

namespace chervildyke::standin {

namespace asio = boost::asio;

namespace {
constexpr std::string_view operations_prefix = "/operations/";
} // namespace

plain_service::plain_service(asio::any_io_executor executor,
                             schema::standin_service_settings settings)
    : executor_(executor), settings_(std::move(settings)),
      fault_server_(executor, [this](http_exchange& exchange) { return serve_faults(exchange); })
{
    for (const schema::standin_vm& vm : settings_.vms()) {
        auto made = std::make_unique<node>();
        made->vm = vm;
        nodes_[vm.vm()] = std::move(made);
    }
}

bool plain_service::listen()
{
    bool good = listen_on(fault_server_, settings_.fault_listen());
    for (auto& [name, on] : nodes_) {
        good = good && start(*on);
    }
    return good;
}

std::uint16_t plain_service::port(const std::string& vm) const
{
    return nodes_.at(vm)->server->port();
}

bool plain_service::start(node& on)
{
    on.server = std::make_unique<http_server>(
        executor_, [this, &on](http_exchange& exchange) { return serve(on, exchange); });
    return listen_on(*on.server, on.vm.address());
}

schema::service_truth plain_service::truth() const
{
    schema::service_truth all;
    for (const auto& [key, run] : runs_) {
        *all.add_runs() = run;
    }
    return all;
}

bool plain_service::apply(const schema::fault_request& request)
{
    const auto found = nodes_.find(request.vm());
    if (found == nodes_.end()) {
        return false;
    }
    node& on = *found->second;
    if (request.fault() == "die") {
        on.server.reset();
        return true;
    }
    if (request.fault() == "restart") {
        on.faults.clear();
        on.leaving = false;
        return on.server != nullptr || start(on);
    }
    if (request.fault() == "leave") {
        on.leaving = true;
        return true;
    }
    return on.faults.apply(request);
}

asio::awaitable<void> plain_service::serve(node& on, http_exchange& exchange)
{
    if (!co_await on.faults.admit(exchange)) {
        co_return;
    }
    if (!on.server) {
        exchange.abort(); // Dead; an older connection reached it.
        co_return;
    }
    const std::string path(exchange.request().path());
    if (path.starts_with(operations_prefix) && exchange.request().method == "POST") {
        co_await run_operation(on, exchange);
        co_return;
    }
    const std::string health = on.leaving ? R"({"leaving":true})" : R"({"leaving":false})";
    http_reply reply = path == "/health" ? status_reply(200, health) : status_reply(404);
    co_await exchange.respond(std::move(reply));
}

asio::awaitable<void> plain_service::run_operation(node& on, http_exchange& exchange)
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
    const std::string confirmation = sha256_hex(key + "\n" + exchange.request().body).substr(0, 16);
    const auto span = std::chrono::duration<double, std::milli>(settings_.service_time_ms() *
                                                                on.faults.slowdown());
    co_await sleep_for(std::chrono::duration_cast<duration>(span));
    co_await on.faults.wait_while_paused();
    if (!on.server || on.faults.take_reply_drop()) {
        exchange.abort();
        co_return;
    }
    http_reply reply = status_reply(200, "{\"confirmation\":\"" + confirmation + "\"}");
    co_await exchange.respond(std::move(reply));
}

asio::awaitable<void> plain_service::serve_faults(http_exchange& exchange)
{
    if (exchange.request().path() == "/truth") {
        http_reply reply = json_reply(truth());
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    const auto hook = [this](const schema::fault_request& request) { return apply(request); };
    co_await serve_fault(exchange, hook);
}

} // namespace chervildyke::standin
