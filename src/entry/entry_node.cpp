/** \file
 * Implements entry_node.
 */
#include "entry/entry_node.h"

#include <exception>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "base/connection_limit.h"
#include "base/hash.h"
#include "base/log.h"
#include "entry/completion_call.h"
#include "entry/entry_list.h"
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
// In which callers can read a list of entries without this one.
constexpr duration drain_notice_period = 500ms;
constexpr duration drain_poll_interval = 20ms;
constexpr std::size_t max_idle_connections_per_engine = 64;
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
    limits.header_read_timeout = ms(settings.request_read_timeout_ms());
    limits.body_read_timeout = limits.header_read_timeout;
    limits.max_connections = max_accepted_connections();
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
    auto result = std::make_shared<call_context>();
    call_context& context = *result;
    context.executor = executor;
    context.random = random;
    context.http = std::make_shared<http_client>(executor, max_idle_connections_per_engine);
    context.metrics = std::make_shared<metrics_registry>();
    context.router = std::make_shared<replica_router>(settings.node().failure_domain(),
                                                      ms(settings.report_freshness_ms()), random);
    const auto router = context.router;
    context.admissions = std::make_shared<admission>(executor, [router](const std::string& team) {
        return router->capacity(team, monotonic_clock::now());
    });
    return result;
}

api_error invalid_api_key()
{
    api_error error = invalid_request("the bearer key is unknown", "invalid_api_key");
    error.status = 401;
    return error;
}

/** \return an error of a call that may have run. */
api_error internal_error()
{
    api_error error;
    error.message = "the entry failed while it handled the call";
    error.type = "server_error";
    error.code = "internal_error";
    error.outcome = call_outcome::unknown;
    return error;
}

api_error route_not_found(const http_request& request)
{
    const bool wrong_method = request.path().starts_with("/v1/") && request.method != "POST";
    api_error error = invalid_request("there is no resource at " + std::string(request.path()),
                                      wrong_method ? "method_not_allowed" : "not_found");
    error.status = wrong_method ? 405 : 404;
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
      context_(make_context(executor, settings_, random)), authenticator_(random),
      controls_(executor, control_addresses(settings_), incarnation_, [this] { return load(); }),
      view_watcher_(controls_.make_watch_hook(), controls_.control_count(), random),
      health_checker_(context_->router, http_engine_client(context_->http),
                      [this] { return view_is_stale(); }),
      server_(
          executor, [this](http_exchange& exchange) { return handle_request(exchange); },
          limits_of(settings_), bad_request_reply)
{
    view_watcher_.on_change = [this](const received_view& current) {
        context_->router->use_view(current.view, current.arrived_at);
        context_->admissions->capacity_changed();
    };
    health_checker_.current_view = [this] { return view_watcher_.current().view; };
    register_gauges();
}

entry_node::~entry_node() = default;

void entry_node::register_gauges()
{
    metrics_registry& metrics = *context_->metrics;
    metrics.add_gauge("chervil_calls_in_progress",
                      [this] { return static_cast<double>(context_->admissions->admitted()); });
    metrics.add_gauge("chervil_calls_waiting",
                      [this] { return static_cast<double>(context_->admissions->waiting()); });
    metrics.add_gauge("chervil_connections",
                      [this] { return static_cast<double>(server_.connections()); });
    metrics.add_gauge("chervil_request_bytes_available",
                      [this] { return static_cast<double>(server_.request_bytes_available()); });
    server_.set_refusal_hook([this](bad_request kind) {
        context_->metrics->counter("chervil_requests_refused_unread_total",
                                   {{"reason", to_text(kind)}}) += 1;
    });
    metrics.add_gauge("chervil_retry_budget", [this] { return context_->retries.left(); });
    metrics.add_gauge("chervil_view_configuration_version", [this] {
        const routing_view_ptr view = view_watcher_.current().view;
        return view ? static_cast<double>(view->configuration_version()) : 0.0;
    });
}

bool entry_node::start()
{
    const auto port = static_cast<std::uint16_t>(settings_.http_port());
    if (!server_.listen(settings_.node().address(), port)) {
        return false;
    }
    asio::co_spawn(executor_, view_watcher_.run(), asio::detached);
    asio::co_spawn(executor_, health_checker_.run(), asio::detached);
    log.info("listening on ", address_, " as ", settings_.node().vm());
    return true;
}

asio::awaitable<bool> entry_node::drain()
{
    draining_ = true;
    log.info("draining, calls in progress: ", server_.requests_in_progress());
    const time_point end = monotonic_clock::now() + ms(settings_.drain_timeout_ms());
    co_await sleep_for(drain_notice_period);
    server_.stop_accepting();
    // Connections that were just accepted may still send their first request. They are open from
    // the next turn of the event loop on.
    do {
        co_await sleep_for(drain_poll_interval);
    } while (server_.connections() > 0 && monotonic_clock::now() < end);
    const bool drained = server_.requests_in_progress() == 0;
    log.info(drained ? "drained" : "drain timeout passed with calls in progress");
    co_return drained;
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
    const routing_view_ptr view = view_watcher_.current().view;
    now.set_configuration_version(view ? view->configuration_version() : 0);
    return now;
}

bool entry_node::ready() const
{
    return !draining_ && view_watcher_.current().view != nullptr &&
           view_watcher_.current().view->ready();
}

bool entry_node::view_is_stale() const
{
    return view_watcher_.age() > ms(settings_.report_freshness_ms()) / 2;
}

http_reply entry_node::list_models(const http_request& request)
{
    const routing_view_ptr view = view_watcher_.current().view;
    if (!view) {
        return to_reply(
            unavailable("the entry has not received a routing view yet", "not_ready", 1s));
    }
    const auto caller = authenticator_.authenticate(view, request.header("Authorization"));
    if (!caller) {
        return to_reply(invalid_api_key());
    }
    nlohmann::json models = nlohmann::json::array();
    for (const schema::team_view& team : view->teams()) {
        if (caller->may_call(team.name())) {
            models.push_back({{"id", team.name()},
                              {"object", "model"},
                              {"created", 0},
                              {"owned_by", "chervildyke"}});
        }
    }
    const nlohmann::json document = {{"object", "list"}, {"data", models}};
    return json_reply(document.dump());
}

http_reply entry_node::handle_get(const http_request& request)
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
        return json_reply(entry_list_json(view_watcher_.current().view.get(), load(),
                                          ms(settings_.address_validity_ms()), context_->random));
    }
    if (path == "/v1/models") {
        return list_models(request);
    }
    return to_reply(route_not_found(request));
}

asio::awaitable<void> entry_node::handle_completion(http_exchange& exchange, completion_kind kind,
                                                    caller_info caller, routing_view_ptr view)
{
    const http_request& request = exchange.request();
    auto read = parse_completion_request(kind, request);
    if (!read) {
        context_->metrics->counter("chervil_bad_requests_total") += 1;
        http_reply refusal = to_reply(read.error());
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    std::string digest = sha256_hex(request.target + "\n" + request.body);
    completion_call call(*context_, exchange, std::move(caller), std::move(*read), std::move(view),
                         std::move(digest));
    co_await call.run();
}

asio::awaitable<void> entry_node::handle_post(http_exchange& exchange)
{
    const http_request& request = exchange.request();
    const std::string_view path = request.path();
    const bool chat = path == "/v1/chat/completions";
    const bool text = path == "/v1/completions";
    const bool service = path.starts_with("/v1/services/") && on_service_call != nullptr;
    http_reply refusal;
    const routing_view_ptr view = view_watcher_.current().view;
    const auto caller =
        view ? authenticator_.authenticate(view, request.header("Authorization")) : std::nullopt;
    if (!chat && !text && !service) {
        refusal = to_reply(route_not_found(request));
    }
    else if (!view) {
        refusal =
            to_reply(unavailable("the entry has not received a routing view yet", "not_ready", 1s));
    }
    else if (!caller) {
        refusal = to_reply(invalid_api_key());
    }
    else if (service) {
        co_await on_service_call(exchange, *caller, *view);
        co_return;
    }
    else {
        co_await handle_completion(exchange, chat ? completion_kind::chat : completion_kind::text,
                                   *caller, view);
        co_return;
    }
    co_await exchange.respond(std::move(refusal));
}

asio::awaitable<void> entry_node::route(http_exchange& exchange)
{
    const std::string& method = exchange.request().method;
    if (method == "POST") {
        co_await handle_post(exchange);
        co_return;
    }
    http_reply reply = method == "GET" ? handle_get(exchange.request())
                                       : to_reply(route_not_found(exchange.request()));
    co_await exchange.respond(std::move(reply));
}

asio::awaitable<void> entry_node::handle_request(http_exchange& exchange)
{
    std::exception_ptr thrown;
    std::string failure;
    try {
        co_await route(exchange);
    }
    catch (const std::exception& error) {
        thrown = std::current_exception();
        failure = error.what();
    }
    if (!thrown) {
        co_return;
    }
    context_->metrics->counter("chervil_internal_errors_total") += 1;
    log.error("internal error while serving a call: ", failure);
    if (exchange.answered()) {
        std::rethrow_exception(thrown); // The server breaks off an incomplete reply.
    }
    http_reply reply = to_reply(internal_error());
    co_await exchange.respond(std::move(reply));
}

} // namespace chervildyke
