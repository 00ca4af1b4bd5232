/** \file
 * Implements entry_node.
 */
#include "entry/entry_node.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "base/log.h"
#include "entry/addresses.h"
#include "entry/completion_call.h"
#include "external/http_external.h"
#include "external/json_message.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;

constexpr std::uint32_t default_max_body_bytes = 4U << 20U;
constexpr std::uint32_t default_max_header_bytes = 32U << 10U;
constexpr std::uint32_t default_request_read_timeout_ms = 10'000;
constexpr std::uint32_t default_address_validity_ms = 30'000;
constexpr std::uint32_t default_report_freshness_ms = 3'000;
constexpr std::uint32_t default_drain_timeout_ms = 120'000;
constexpr duration leave_list_span = 500ms; // In which callers learn that this entry leaves.
constexpr duration drain_poll = 20ms;
constexpr std::size_t kept_connections = 64; // For each engine.
const logger log("entry");

schema::entry_settings with_defaults(schema::entry_settings settings)
{
    const auto fill = [](std::uint32_t given, std::uint32_t fallback) {
        return given > 0 ? given : fallback;
    };
    settings.set_max_body_bytes(fill(settings.max_body_bytes(), default_max_body_bytes));
    settings.set_max_header_bytes(fill(settings.max_header_bytes(), default_max_header_bytes));
    settings.set_request_read_timeout_ms(
        fill(settings.request_read_timeout_ms(), default_request_read_timeout_ms));
    settings.set_address_validity_ms(
        fill(settings.address_validity_ms(), default_address_validity_ms));
    settings.set_report_freshness_ms(
        fill(settings.report_freshness_ms(), default_report_freshness_ms));
    settings.set_drain_timeout_ms(fill(settings.drain_timeout_ms(), default_drain_timeout_ms));
    return settings;
}

duration ms(std::uint32_t milliseconds)
{
    return std::chrono::milliseconds(milliseconds);
}

http_limits limits_of(const schema::entry_settings& settings)
{
    http_limits limits;
    limits.max_body_bytes = settings.max_body_bytes();
    limits.max_header_bytes = settings.max_header_bytes();
    limits.request_read_timeout = ms(settings.request_read_timeout_ms());
    return limits;
}

std::vector<std::string> control_addresses(const schema::entry_settings& settings)
{
    const std::string port = ":" + std::to_string(settings.control_port());
    std::vector<std::string> addresses{settings.node().address() + port};
    for (const std::string& other : settings.control_addresses()) {
        if (other != settings.node().address()) {
            addresses.push_back(other + port);
        }
    }
    return addresses;
}

std::shared_ptr<call_context> make_context(const asio::any_io_executor& executor,
                                           const schema::entry_settings& settings,
                                           const random_source& random)
{
    auto made = std::make_shared<call_context>();
    call_context& context = *made;
    context.executor = executor;
    context.random = random;
    context.http = std::make_shared<http_client>(executor, kept_connections);
    context.metrics = std::make_shared<metrics_registry>();
    context.router = std::make_shared<replica_router>(settings.node().failure_domain(),
                                                      ms(settings.report_freshness_ms()), random);
    const auto router = context.router;
    context.admissions = std::make_shared<admission>(executor, [router](const std::string& team) {
        return router->capacity(team, monotonic_clock::now());
    });
    return made;
}

api_error unknown_key()
{
    api_error error = invalid_request("the bearer key is not known", "invalid_api_key");
    error.status = 401;
    return error;
}

api_error no_route(const http_request& request)
{
    const bool known = request.path().starts_with("/v1/") && request.method != "POST";
    api_error error = invalid_request("there is nothing at " + std::string(request.path()),
                                      known ? "method_not_allowed" : "not_found");
    error.status = known ? 405 : 404;
    return error;
}

http_reply json_reply(std::string body)
{
    http_reply reply;
    reply.body = std::move(body);
    return reply;
}

} // namespace

entry_node::entry_node(asio::any_io_executor executor, const schema::entry_settings& settings,
                       const random_source& random)
    : executor_(executor), settings_(with_defaults(settings)), incarnation_(random_id(random)),
      address_(settings.node().address() + ":" + std::to_string(settings.http_port())),
      context_(make_context(executor, settings_, random)), keys_(random),
      link_(executor, control_addresses(settings_), incarnation_, [this] { return load(); }),
      follower_(link_.watch(), link_.size(), random),
      checks_(context_->router, http_engine_client(context_->http),
              [this] { return view_is_stale(); }),
      server_(
          executor, [this](http_exchange& exchange) { return serve(exchange); },
          limits_of(settings_), bad_request_reply)
{
    follower_.on_change = [this](const held_view& held) {
        context_->router->use_view(held.view, held.arrived_at);
        context_->admissions->capacity_changed();
    };
    checks_.view = [this] { return follower_.held().view; };
    add_gauges();
}

entry_node::~entry_node() = default;

void entry_node::add_gauges()
{
    metrics_registry& metrics = *context_->metrics;
    metrics.gauge("chervil_calls_in_progress",
                  [this] { return static_cast<double>(context_->admissions->admitted()); });
    metrics.gauge("chervil_calls_waiting",
                  [this] { return static_cast<double>(context_->admissions->waiting()); });
    metrics.gauge("chervil_connections",
                  [this] { return static_cast<double>(server_.connections()); });
    metrics.gauge("chervil_retry_budget", [this] { return context_->retries.left(); });
    metrics.gauge("chervil_view_configuration_version", [this] {
        const routing_view_ptr view = follower_.held().view;
        return view ? static_cast<double>(view->configuration_version()) : 0.0;
    });
}

bool entry_node::start()
{
    const auto port = static_cast<std::uint16_t>(settings_.http_port());
    if (!server_.listen(settings_.node().address(), port)) {
        return false;
    }
    asio::co_spawn(executor_, follower_.run(), asio::detached);
    asio::co_spawn(executor_, checks_.run(), asio::detached);
    log.info("listening on ", address_, " as ", settings_.node().vm());
    return true;
}

asio::awaitable<bool> entry_node::drain()
{
    draining_ = true;
    log.info("draining, calls in progress: ", server_.requests_in_progress());
    const time_point end = monotonic_clock::now() + ms(settings_.drain_timeout_ms());
    co_await sleep_for(leave_list_span);
    server_.stop_accepting();
    while (server_.requests_in_progress() > 0 && monotonic_clock::now() < end) {
        co_await sleep_for(drain_poll);
    }
    const bool quiet = server_.requests_in_progress() == 0;
    log.info(quiet ? "drained" : "the drain timeout passed");
    co_return quiet;
}

schema::entry_load entry_node::load() const
{
    schema::entry_load now;
    now.set_address(address_);
    now.set_failure_domain(settings_.node().failure_domain());
    now.set_draining(draining_);
    now.set_calls_in_flight(static_cast<std::uint32_t>(context_->admissions->admitted() +
                                                       context_->admissions->waiting()));
    return now;
}

schema::entry_status entry_node::status() const
{
    schema::entry_status now;
    now.set_incarnation(incarnation_);
    *now.mutable_load() = load();
    const routing_view_ptr view = follower_.held().view;
    now.set_configuration_version(view ? view->configuration_version() : 0);
    return now;
}

bool entry_node::ready() const
{
    return !draining_ && follower_.held().view != nullptr && follower_.held().view->ready();
}

bool entry_node::view_is_stale() const
{
    return follower_.age() > ms(settings_.report_freshness_ms()) / 2;
}

http_reply entry_node::list_models(const http_request& request)
{
    const routing_view_ptr view = follower_.held().view;
    if (!view) {
        return to_reply(unavailable("the entry has no view yet", "not_ready", 1s));
    }
    const auto who = keys_.identify(view, request.header("Authorization"));
    if (!who) {
        return to_reply(unknown_key());
    }
    nlohmann::json models = nlohmann::json::array();
    for (const schema::team_view& team : view->teams()) {
        if (who->may_call(team.name())) {
            models.push_back({{"id", team.name()},
                              {"object", "model"},
                              {"created", 0},
                              {"owned_by", "chervildyke"}});
        }
    }
    const nlohmann::json document = {{"object", "list"}, {"data", models}};
    return json_reply(document.dump());
}

http_reply entry_node::answer_get(const http_request& request)
{
    const std::string_view path = request.path();
    if (path == "/healthz") {
        return text_reply(200, "ok\n");
    }
    if (path == "/readyz") {
        return ready() ? text_reply(200, "ready\n") : text_reply(503, "not ready\n");
    }
    if (path == "/metrics") {
        http_reply reply = text_reply(200, context_->metrics->to_text());
        reply.content_type = "text/plain; version=0.0.4; charset=utf-8";
        return reply;
    }
    if (path == "/status") {
        return json_reply(to_json(status()));
    }
    if (path == "/v1/entries") {
        return json_reply(entries_document(follower_.held().view.get(), load(),
                                           ms(settings_.address_validity_ms()), context_->random));
    }
    if (path == "/v1/models") {
        return list_models(request);
    }
    return to_reply(no_route(request));
}

asio::awaitable<void> entry_node::serve_completion(http_exchange& exchange, call_kind kind,
                                                   caller who, routing_view_ptr view)
{
    const http_request& request = exchange.request();
    auto read = read_completion(kind, request);
    if (!read) {
        context_->metrics->counter("chervil_bad_requests_total") += 1;
        http_reply refusal = to_reply(read.error());
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    std::string digest = sha256_hex(request.target + "\n" + request.body);
    completion_call call(*context_, exchange, std::move(who), std::move(*read), std::move(view),
                         std::move(digest));
    co_await call.run();
}

asio::awaitable<void> entry_node::serve_call(http_exchange& exchange)
{
    const http_request& request = exchange.request();
    const std::string_view path = request.path();
    const bool chat = path == "/v1/chat/completions";
    const bool text = path == "/v1/completions";
    const bool service = path.starts_with("/v1/services/") && on_service_call != nullptr;
    http_reply refusal;
    const routing_view_ptr view = follower_.held().view;
    const auto who = view ? keys_.identify(view, request.header("Authorization")) : std::nullopt;
    if (!chat && !text && !service) {
        refusal = to_reply(no_route(request));
    }
    else if (!view) {
        refusal = to_reply(unavailable("the entry has no view yet", "not_ready", 1s));
    }
    else if (!who) {
        refusal = to_reply(unknown_key());
    }
    else if (service) {
        co_await on_service_call(exchange, *who, *view);
        co_return;
    }
    else {
        co_await serve_completion(exchange, chat ? call_kind::chat : call_kind::text, *who, view);
        co_return;
    }
    co_await exchange.respond(std::move(refusal));
}

asio::awaitable<void> entry_node::route(http_exchange& exchange)
{
    const std::string& method = exchange.request().method;
    if (method == "POST") {
        co_await serve_call(exchange);
        co_return;
    }
    http_reply reply =
        method == "GET" ? answer_get(exchange.request()) : to_reply(no_route(exchange.request()));
    co_await exchange.respond(std::move(reply));
}

asio::awaitable<void> entry_node::serve(http_exchange& exchange)
{
    std::string fault;
    try {
        co_await route(exchange);
    }
    catch (const std::exception& error) {
        fault = error.what();
    }
    if (!fault.empty()) {
        context_->metrics->counter("chervil_internal_errors_total") += 1;
        log.error("a call failed inside the entry: ", fault);
        exchange.abort();
    }
}

} // namespace chervildyke
