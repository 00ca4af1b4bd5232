/** \file
 * Implements service_proxy.
 */
#include "entry/service_proxy.h"

#include <algorithm>
#include <exception>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/hash.h"
#include "base/scope_guard.h"
#include "entry/api_error.h"
#include "entry/order_client.h"
#include "entry/service_result.h"
#include "routing/retry_policy.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

constexpr std::string_view services_prefix = "/v1/services/";
constexpr std::size_t max_key_bytes = 255;
constexpr std::uint32_t max_in_flight_per_backend = 256;
constexpr duration min_attempt_timeout = 5ms;
constexpr duration retry_after = 1s;
constexpr std::size_t max_attempts_at_once = 2;
constexpr duration silence_check_interval = 20ms; // While an attempt is silent for too long.

/** A parsed and validated call. */
struct service_request {
    schema::service_view service;
    schema::service_operation operation;
    http_request request;
    call_identity identity;
};

/** One attempt in progress. */
struct running_attempt {
    time_point silent_at{}; // From then on another attempt may run beside it.
    std::shared_ptr<http_cancel> cancel = std::make_shared<http_cancel>();
    std::optional<service_result> end; // Set once the attempt has ended.
};

/** The attempts of one call. */
struct call_attempts {
    call_attempts(const asio::any_io_executor& executor, service_request request)
        : call(std::move(request)), ended(executor)
    {
    }

    service_request call;
    std::set<std::string> tried;
    std::uint32_t count = 0; // Started so far.
    std::vector<std::shared_ptr<running_attempt>> running;
    timer ended; // Cancelled when an attempt ends.
};

api_error not_found(const std::string& message)
{
    api_error error = invalid_request(message, "not_found");
    error.status = 404;
    return error;
}

std::vector<backend_candidate> healthy_backends(const schema::service_view& service)
{
    std::vector<backend_candidate> healthy;
    for (const schema::backend_view& backend : service.backends()) {
        if (backend.healthy()) {
            healthy.push_back({backend.address(), backend.failure_domain()});
        }
    }
    return healthy;
}

} // namespace

struct service_proxy::state : std::enable_shared_from_this<service_proxy::state> {
    state(service_proxy_context shared, service_proxy_settings options)
        : context(std::move(shared)), settings(std::move(options)),
          backends(settings.failure_domain, context.random)
    {
    }

    service_proxy_context context;
    service_proxy_settings settings;
    backend_balancer backends;
    retry_budget retries;
    std::map<std::string, std::uint32_t> in_flight_by_tenant;
    std::map<std::string, std::uint32_t> in_flight_by_service;

    /** Finds the operation that is called, and parses the headers. */
    api_result<service_request> parse_request(const http_request& request,
                                              const caller_info& caller,
                                              const schema::routing_view& view) const
    {
        const std::string path(request.path().substr(services_prefix.size()));
        const std::size_t slash = path.find('/');
        const std::string service = path.substr(0, slash);
        const std::string operation = slash == std::string::npos ? "" : path.substr(slash + 1);
        service_request call;
        for (const schema::service_view& candidate : view.services()) {
            if (candidate.name() == service) {
                call.service = candidate;
            }
        }
        for (const schema::service_operation& candidate : call.service.operations()) {
            if (candidate.name() == operation) {
                call.operation = candidate;
            }
        }
        if (call.operation.name().empty()) {
            return not_found("there is no service operation '" + path + "'");
        }
        call.identity.tenant = caller.tenant;
        return fill_request(std::move(call), request);
    }

    /** Sets the identity of the call and the request to the backend server. */
    api_result<service_request> fill_request(service_request call,
                                             const http_request& request) const
    {
        const std::uint32_t configured_timeout_ms = call.operation.timeout_ms();
        const duration fallback = configured_timeout_ms > 0
                                      ? duration(std::chrono::milliseconds(configured_timeout_ms))
                                      : settings.default_timeout;
        const auto timeout = read_call_timeout(request, fallback);
        if (!timeout) {
            return invalid_request("X-Chervil-Deadline-Ms must be 1 to 3600000",
                                   "invalid_deadline");
        }
        call_identity& identity = call.identity;
        identity.attempt_id = random_id(context.random);
        identity.key = request.header("Idempotency-Key");
        if (identity.key.size() > max_key_bytes) {
            return invalid_request("Idempotency-Key must have at most 255 bytes", "invalid_key");
        }
        if (identity.key.empty()) {
            identity.key = identity.attempt_id;
        }
        const auto created = read_key_creation_time_ms(request);
        if (!created) {
            return invalid_request("X-Chervil-Key-Created-Ms must be milliseconds since 1970",
                                   "invalid_key_time");
        }
        identity.key_created_ms = *created;
        identity.body_digest = sha256_hex(request.target + "\n" + request.body);
        identity.deadline = monotonic_clock::now() + *timeout;
        call.request = make_backend_request(call, request);
        return call;
    }

    static http_request make_backend_request(const service_request& call,
                                             const http_request& request)
    {
        http_request result;
        result.method = "POST";
        result.target = "/operations/" + call.operation.name();
        result.headers = {{"Content-Type", "application/json"},
                          {"X-Attempt-Id", call.identity.attempt_id},
                          {"Idempotency-Key", call.identity.key},
                          {"X-Chervil-Tenant", call.identity.tenant}};
        result.body = request.body;
        return result;
    }

    /** Makes one attempt at one backend server. */
    asio::awaitable<service_result> call_backend(std::string address, service_request call,
                                                 std::shared_ptr<running_attempt> running)
    {
        backends.note_start(address);
        http_call_options options;
        options.timeout = call.identity.deadline - monotonic_clock::now();
        options.cancel = running->cancel;
        // A reply does not name its call. On a reused connection, a reply to an earlier call that
        // is sent again would be taken for it.
        options.fresh_connection = true;
        auto reply = co_await context.http->call(address, std::move(call.request), options);
        service_result result =
            reply ? classify_reply(std::move(*reply)) : classify_failure(reply.failure());
        const time_point now = monotonic_clock::now();
        const bool refused =
            reply && reply->status < 500 && result.outcome == call_outcome::not_run;
        const bool answered = refused || result.outcome == call_outcome::complete;
        const bool cancelled = running->cancel->cancelled() && now < running->silent_at;
        backends.note_end(address,
                          answered    ? backend_result::answered
                          : cancelled ? backend_result::cancelled
                                      : backend_result::failed,
                          now);
        co_return result;
    }

    /** \return the silence after which another attempt may begin beside one. */
    static duration tolerated_silence(const service_request& call, duration time_left)
    {
        if (!call.operation.repeatable()) {
            return time_left;
        }
        const std::uint32_t configured_timeout_ms = call.operation.timeout_ms();
        return configured_timeout_ms > 0
                   ? std::min<duration>(time_left, std::chrono::milliseconds(configured_timeout_ms))
                   : std::max<duration>(time_left / 2, min_attempt_timeout);
    }

    /** Starts an attempt at a backend server that was not tried yet.
     * \param address the backend server, from choose_backend().
     */
    void start_attempt(const std::shared_ptr<call_attempts>& attempts, const std::string& address)
    {
        const service_request& call = attempts->call;
        const time_point now = monotonic_clock::now();
        const auto running = std::make_shared<running_attempt>();
        running->silent_at = now + tolerated_silence(call, call.identity.deadline - now);
        attempts->tried.insert(address);
        ++attempts->count;
        attempts->running.push_back(running);
        asio::co_spawn(context.executor, call_backend(address, call, running),
                       [self = shared_from_this(), attempts,
                        running](const std::exception_ptr& thrown, service_result end) {
                           running->end = thrown ? failed_result(call_outcome::unknown, 502,
                                                                 "the attempt threw an exception")
                                                 : std::move(end);
                           attempts->ended.cancel();
                       });
    }

    std::optional<std::string> choose_backend(const call_attempts& attempts)
    {
        const std::vector<backend_candidate> healthy = healthy_backends(attempts.call.service);
        return backends.choose(healthy, attempts.tried, monotonic_clock::now());
    }

    /** Starts another attempt beside one that is silent for too long, if a backend server can take
     * it. The silent one goes on, since it may still be answered.
     */
    void start_beside_silent(const std::shared_ptr<call_attempts>& attempts)
    {
        const time_point now = monotonic_clock::now();
        running_attempt& silent = *attempts->running.front();
        const bool may_start = attempts->call.operation.repeatable() &&
                               attempts->running.size() < max_attempts_at_once &&
                               now >= silent.silent_at && now < attempts->call.identity.deadline;
        if (!may_start) {
            return;
        }
        const auto address = choose_backend(*attempts);
        const service_result silence = failed_result(call_outcome::unknown, 504, "silent");
        if (address && take_retry(attempts->call, silence, attempts->count)) {
            context.metrics->counter("chervil_service_retries_total") += 1;
            start_attempt(attempts, *address);
        }
    }

    /** Waits until an attempt has ended, and starts another one beside a silent one.
     * \return how the attempt ended, which runs no more.
     */
    asio::awaitable<service_result> wait_for_end(std::shared_ptr<call_attempts> attempts)
    {
        const auto as_tuple = asio::as_tuple(asio::use_awaitable);
        auto& running = attempts->running;
        while (true) {
            const auto found = std::find_if(running.begin(), running.end(),
                                            [](const auto& one) { return one->end.has_value(); });
            if (found != running.end()) {
                service_result end = std::move(*(*found)->end);
                running.erase(found);
                co_return end;
            }
            start_beside_silent(attempts);
            const time_point now = monotonic_clock::now();
            attempts->ended.expires_at(
                std::max(running.front()->silent_at, now + silence_check_interval));
            co_await attempts->ended.async_wait(as_tuple);
        }
    }

    /** Makes attempts at different backend servers until one completes or no retry is allowed. An
     * attempt that is silent for long is kept beside the next one until either completes.
     * \return how the last attempt ended; its outcome is unknown if no attempt completed and one
     * may have run.
     */
    asio::awaitable<service_result> run_attempts(service_request call)
    {
        const auto attempts = std::make_shared<call_attempts>(context.executor, std::move(call));
        const scope_guard cancel_rest([attempts] {
            for (const auto& running : attempts->running) {
                running->cancel->cancel();
            }
        });
        service_result result =
            failed_result(call_outcome::not_run, 503, "the service has no healthy backend server");
        bool may_start = true;
        retries.note_call();
        while (true) {
            const auto address = may_start ? choose_backend(*attempts) : std::nullopt;
            const bool expired = monotonic_clock::now() >= attempts->call.identity.deadline;
            if (may_start && expired) {
                result = failed_result(result.outcome, 504, "the deadline passed");
            }
            else if (address) {
                start_attempt(attempts, *address);
            }
            if (attempts->running.empty()) {
                break;
            }
            const bool may_have_run = result.outcome == call_outcome::unknown;
            result = co_await wait_for_end(attempts);
            if (result.outcome == call_outcome::complete) {
                break;
            }
            if (may_have_run) {
                // An earlier attempt may have run, whatever the last one promises.
                result.outcome = call_outcome::unknown;
                result.status = promises_not_run(result.status) ? 502 : result.status;
            }
            may_start = take_retry(attempts->call, result, attempts->count);
            if (may_start) {
                context.metrics->counter("chervil_service_retries_total") += 1;
            }
        }
        co_return result;
    }

    /** Takes a retry from the retry budget, if the call may be retried.
     * \return true if the call may be retried.
     */
    bool take_retry(const service_request& call, const service_result& result,
                    std::uint32_t attempts)
    {
        const bool is_final_refusal =
            result.status >= 400 && result.status < 500 && result.status != 429;
        if (is_final_refusal || attempts >= settings.max_attempts) {
            return false;
        }
        const bool may_have_run = result.outcome == call_outcome::unknown;
        if (may_have_run && !call.operation.repeatable()) {
            return false;
        }
        return retries.take();
    }

    asio::awaitable<http_reply> run_at_most_once(service_request call)
    {
        const call_identity identity = call.identity;
        claim_decision decision = co_await context.at_most_once.claim(identity);
        if (decision.result == schema::claim_settled && decision.settlement) {
            co_return replay_reply(*decision.settlement);
        }
        if (decision.result != schema::claim_won) {
            co_return to_reply(not_claimed_error(decision));
        }
        service_result result = co_await run_attempts(std::move(call));
        co_await context.at_most_once.settle(identity, result.outcome, result.status,
                                             result.reply.content_type, result.reply.body);
        co_return make_reply(std::move(result));
    }

    asio::awaitable<http_reply> run_idempotent(service_request call)
    {
        // Nothing is claimed or settled: a repeated run of an idempotent call does no harm.
        service_result result = co_await run_attempts(std::move(call));
        co_return make_reply(std::move(result));
    }

    static http_reply make_reply(service_result result)
    {
        if (result.outcome != call_outcome::complete) {
            return to_reply(to_error(result));
        }
        result.reply.headers.push_back({"X-Chervil-Outcome", to_text(result.outcome)});
        return std::move(result.reply);
    }

    /** Checks the concurrency limits of the tenant and of the service.
     * \return the error with which the call is refused, if any.
     */
    std::optional<api_error> check_limits(const service_request& call, const caller_info& caller,
                                          const schema::routing_view& view)
    {
        const auto entries = static_cast<std::uint32_t>(std::max(1, view.entries_size()));
        const std::uint32_t tenant_limit = (caller.max_concurrent_calls + entries - 1) / entries;
        if (tenant_limit > 0 && in_flight_by_tenant[caller.tenant] >= tenant_limit) {
            api_error error = unavailable("the tenant has reached its limit of concurrent calls",
                                          "rate_limit_exceeded", retry_after);
            error.status = 429;
            error.type = "rate_limit_error";
            return error;
        }
        const auto servers = static_cast<std::uint32_t>(call.service.backends_size());
        if (in_flight_by_service[call.service.name()] >= servers * max_in_flight_per_backend) {
            return unavailable("the service has reached its limit of concurrent calls",
                               "overloaded", retry_after);
        }
        return std::nullopt;
    }

    asio::awaitable<void> handle(http_exchange& exchange, caller_info caller,
                                 const schema::routing_view& view)
    {
        const auto self = shared_from_this();
        auto call = parse_request(exchange.request(), caller, view);
        if (!call) {
            http_reply refusal = to_reply(call.error());
            co_await exchange.respond(std::move(refusal));
            co_return;
        }
        if (const auto error = check_limits(*call, caller, view)) {
            http_reply refusal = to_reply(*error);
            co_await exchange.respond(std::move(refusal));
            co_return;
        }
        const std::string service = call->service.name();
        ++in_flight_by_tenant[caller.tenant];
        ++in_flight_by_service[service];
        const scope_guard release([this, &caller, &service] {
            --in_flight_by_tenant[caller.tenant];
            --in_flight_by_service[service];
        });
        const time_point started_at = monotonic_clock::now();
        const bool idempotent = call->operation.repeatable();
        http_reply reply;
        if (idempotent) {
            reply = co_await run_idempotent(std::move(*call));
        }
        else {
            reply = co_await run_at_most_once(std::move(*call));
        }
        record_metrics(caller, service, reply, monotonic_clock::now() - started_at);
        co_await exchange.respond(std::move(reply));
    }

    void record_metrics(const caller_info& caller, const std::string& service,
                        const http_reply& reply, duration span)
    {
        const std::string outcome(reply.header("X-Chervil-Outcome"));
        metric_labels labels{{"tenant", caller.tenant}, {"service", service}};
        context.metrics->distribution("chervil_service_seconds", labels).observe(span);
        labels.emplace_back("outcome", outcome);
        context.metrics->counter("chervil_service_calls_total", labels) += 1;
    }
};

service_proxy::service_proxy(service_proxy_context context, service_proxy_settings settings)
    : state_(std::make_shared<state>(std::move(context), std::move(settings)))
{
}

service_call_handler service_proxy::handler() const
{
    return [self = state_](http_exchange& exchange, const caller_info& caller,
                           const schema::routing_view& view) {
        return self->handle(exchange, caller, view);
    };
}

} // namespace chervildyke
