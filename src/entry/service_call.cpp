/** \file
 * Implements the calls on plain services.
 */
#include "entry/service_call.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "base/hash.h"
#include "base/scope_guard.h"
#include "entry/api_error.h"
#include "entry/order_call.h"
#include "external/json_message.h"
#include "platform.pb.h"
#include "routing/retry_policy.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

constexpr std::string_view services_prefix = "/v1/services/";
constexpr std::size_t max_key_bytes = 255;
constexpr std::uint32_t max_in_flight_per_backend = 256;
constexpr duration shortest_attempt = 5ms;
constexpr duration retry_after = 1s;

/** What one call asks for, checked. */
struct service_question {
    schema::service_view service;
    schema::service_operation operation;
    http_request request;
    call_identity identity;
};

/** How a call, or one attempt of it, ended. */
struct service_end {
    call_outcome outcome = call_outcome::not_run;
    http_reply reply; // When complete.
    std::string reason;
    unsigned status = 503; // When not complete.
};

service_end ended(call_outcome outcome, unsigned status, std::string reason)
{
    service_end end;
    end.outcome = outcome;
    end.status = status;
    end.reason = std::move(reason);
    return end;
}

api_error not_found(const std::string& message)
{
    api_error error = invalid_request(message, "not_found");
    error.status = 404;
    return error;
}

api_error to_error(const service_end& end)
{
    api_error error = unavailable(end.reason, "service_unavailable", retry_after);
    error.status = end.status;
    error.outcome = end.outcome;
    if (end.outcome == call_outcome::unknown) {
        error.code = "outcome_unknown";
        error.retry_after.reset();
    }
    return error;
}

/** Reads how a backend server answered. */
service_end judge_reply(http_reply reply)
{
    schema::refusal refusal;
    const bool is_refusal = reply.status >= 400 && from_json(reply.body, refusal);
    if (is_refusal && refusal.not_run()) {
        return ended(call_outcome::not_run, reply.status, refusal.reason());
    }
    if (reply.status >= 500) {
        return ended(call_outcome::unknown, 502,
                     "the backend server answered " + std::to_string(reply.status));
    }
    service_end end;
    end.outcome = call_outcome::complete;
    end.status = reply.status;
    end.reply.status = reply.status;
    end.reply.content_type = std::move(reply.content_type);
    end.reply.body = std::move(reply.body);
    return end;
}

service_end judge_failure(const http_failure& failure)
{
    if (failure.code == http_error::not_sent) {
        return ended(call_outcome::not_run, 503, failure.reason);
    }
    const unsigned status = failure.code == http_error::timed_out ? 504 : 502;
    return ended(call_outcome::unknown, status, failure.reason);
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

struct service_calls::state : std::enable_shared_from_this<service_calls::state> {
    state(service_call_context shared, service_call_settings given)
        : context(std::move(shared)), settings(std::move(given)),
          backends(settings.failure_domain, context.random)
    {
    }

    service_call_context context;
    service_call_settings settings;
    backend_balancer backends;
    retry_budget retries;
    std::map<std::string, std::uint32_t> in_flight_of_tenant;
    std::map<std::string, std::uint32_t> in_flight_of_service;

    api_result<service_question> read(const http_request& request, const caller& who,
                                      const schema::routing_view& view) const
    {
        const std::string path(request.path().substr(services_prefix.size()));
        const std::size_t slash = path.find('/');
        const std::string service = path.substr(0, slash);
        const std::string operation = slash == std::string::npos ? "" : path.substr(slash + 1);
        service_question question;
        for (const schema::service_view& candidate : view.services()) {
            if (candidate.name() == service) {
                question.service = candidate;
            }
        }
        for (const schema::service_operation& candidate : question.service.operations()) {
            if (candidate.name() == operation) {
                question.operation = candidate;
            }
        }
        if (question.operation.name().empty()) {
            return not_found("there is no service operation '" + path + "'");
        }
        question.identity.tenant = who.tenant;
        return fill_terms(std::move(question), request);
    }

    api_result<service_question> fill_terms(service_question question,
                                            const http_request& request) const
    {
        const std::uint32_t stated_ms = question.operation.timeout_ms();
        const duration fallback = stated_ms > 0 ? duration(std::chrono::milliseconds(stated_ms))
                                                : settings.default_timeout;
        const auto allowed = read_deadline(request, fallback);
        if (!allowed) {
            return invalid_request("X-Chervil-Deadline-Ms must be 1 to 3600000",
                                   "invalid_deadline");
        }
        call_identity& identity = question.identity;
        identity.attempt_id = random_id(context.random);
        identity.key = request.header("Idempotency-Key");
        if (identity.key.size() > max_key_bytes) {
            return invalid_request("Idempotency-Key must have at most 255 bytes", "invalid_key");
        }
        if (identity.key.empty()) {
            identity.key = identity.attempt_id;
        }
        const auto created = read_key_created(request);
        if (!created) {
            return invalid_request("X-Chervil-Key-Created-Ms must be milliseconds since 1970",
                                   "invalid_key_time");
        }
        identity.key_created_ms = *created;
        identity.body_digest = sha256_hex(request.target + "\n" + request.body);
        identity.deadline = monotonic_clock::now() + *allowed;
        question.request = make_backend_request(question, request);
        return question;
    }

    static http_request make_backend_request(const service_question& question,
                                             const http_request& request)
    {
        http_request made;
        made.method = "POST";
        made.target = "/operations/" + question.operation.name();
        made.headers = {{"Content-Type", "application/json"},
                        {"X-Attempt-Id", question.identity.attempt_id},
                        {"Idempotency-Key", question.identity.key},
                        {"X-Chervil-Tenant", question.identity.tenant}};
        made.body = request.body;
        return made;
    }

    /** One attempt at one backend server. */
    asio::awaitable<service_end> call_backend(std::string address, service_question question,
                                              duration timeout)
    {
        backends.note_start(address);
        http_call_options options;
        options.timeout = timeout;
        // A kept connection may have died unnoticed, which would leave the outcome unknown.
        options.fresh_connection = !question.operation.repeatable();
        auto reply = co_await context.http->call(address, std::move(question.request), options);
        service_end end =
            reply ? judge_reply(std::move(*reply)) : judge_failure(reply.last_reason());
        const bool answered =
            end.outcome == call_outcome::complete || (reply && reply->status < 500);
        backends.note_end(address, answered ? backend_result::answered : backend_result::failed,
                          monotonic_clock::now());
        co_return end;
    }

    duration attempt_timeout(const service_question& question, duration left) const
    {
        if (!question.operation.repeatable()) {
            return left;
        }
        const std::uint32_t stated_ms = question.operation.timeout_ms();
        return stated_ms > 0 ? std::min<duration>(left, std::chrono::milliseconds(stated_ms))
                             : std::max<duration>(left / 2, shortest_attempt);
    }

    /** Tries backend servers until one answers or the call may not be tried again. */
    asio::awaitable<service_end> run(service_question question)
    {
        std::set<std::string> tried;
        const std::vector<backend_candidate> candidates = healthy_backends(question.service);
        service_end end = ended(call_outcome::not_run, 503, "no backend server is healthy");
        retries.note_call();
        for (std::uint32_t attempt = 1;; ++attempt) {
            const duration left = question.identity.deadline - monotonic_clock::now();
            const auto address = backends.choose(candidates, tried, monotonic_clock::now());
            if (left <= duration::zero()) {
                end = ended(end.outcome, 504, "the deadline is over");
                break;
            }
            if (!address) {
                break;
            }
            tried.insert(*address);
            const service_question sent = question;
            const bool may_have_run = end.outcome == call_outcome::unknown;
            end = co_await call_backend(*address, sent, attempt_timeout(question, left));
            if (may_have_run && end.outcome == call_outcome::not_run) {
                end.outcome = call_outcome::unknown; // An earlier attempt may have run.
            }
            if (end.outcome == call_outcome::complete || !may_try_again(question, end, attempt)) {
                break;
            }
            context.metrics->counter("chervil_service_retries_total") += 1;
        }
        co_return end;
    }

    bool may_try_again(const service_question& question, const service_end& end,
                       std::uint32_t attempts)
    {
        const bool refused_for_good = end.status >= 400 && end.status < 500 && end.status != 429;
        if (refused_for_good || attempts >= settings.max_attempts) {
            return false;
        }
        const bool may_have_run = end.outcome == call_outcome::unknown;
        if (may_have_run && !question.operation.repeatable()) {
            return false;
        }
        return retries.take();
    }

    asio::awaitable<http_reply> run_once(service_question question)
    {
        const call_identity identity = question.identity;
        claim_decision decision = co_await context.guard.claim(identity);
        if (decision.result == schema::claim_settled && decision.settlement) {
            co_return replay_of(*decision.settlement);
        }
        if (decision.result != schema::claim_won) {
            co_return to_reply(not_claimed(decision));
        }
        service_end end = co_await run(std::move(question));
        co_await context.guard.settle(identity, end.outcome, end.status, end.reply.content_type,
                                      end.reply.body);
        co_return answer_of(std::move(end));
    }

    asio::awaitable<http_reply> run_repeatable(service_question question)
    {
        service_end end = co_await run(std::move(question));
        // What may be repeated has done no harm by running in vain.
        co_return answer_of(std::move(end));
    }

    static http_reply answer_of(service_end end)
    {
        if (end.outcome != call_outcome::complete) {
            return to_reply(to_error(end));
        }
        end.reply.headers.push_back({"X-Chervil-Outcome", to_text(end.outcome)});
        return std::move(end.reply);
    }

    /** Refuses early what the tenant's or the service's limit does not allow. */
    std::optional<api_error> over_limit(const service_question& question, const caller& who,
                                        const schema::routing_view& view)
    {
        const auto entries = static_cast<std::uint32_t>(std::max(1, view.entries_size()));
        const std::uint32_t of_tenant = (who.max_concurrent_calls + entries - 1) / entries;
        if (of_tenant > 0 && in_flight_of_tenant[who.tenant] >= of_tenant) {
            api_error error = unavailable("the tenant has too many calls in progress",
                                          "rate_limit_exceeded", retry_after);
            error.status = 429;
            error.type = "rate_limit_error";
            return error;
        }
        const auto servers = static_cast<std::uint32_t>(question.service.backends_size());
        if (in_flight_of_service[question.service.name()] >= servers * max_in_flight_per_backend) {
            return unavailable("the service has too many calls in progress", "overloaded",
                               retry_after);
        }
        return std::nullopt;
    }

    asio::awaitable<void> answer(http_exchange& exchange, caller who,
                                 const schema::routing_view& view)
    {
        const auto self = shared_from_this();
        auto question = read(exchange.request(), who, view);
        if (!question) {
            http_reply refusal = to_reply(question.error());
            co_await exchange.respond(std::move(refusal));
            co_return;
        }
        if (const auto error = over_limit(*question, who, view)) {
            http_reply refusal = to_reply(*error);
            co_await exchange.respond(std::move(refusal));
            co_return;
        }
        const std::string service = question->service.name();
        ++in_flight_of_tenant[who.tenant];
        ++in_flight_of_service[service];
        const scope_guard left([this, &who, &service] {
            --in_flight_of_tenant[who.tenant];
            --in_flight_of_service[service];
        });
        const time_point began = monotonic_clock::now();
        const bool repeatable = question->operation.repeatable();
        http_reply reply;
        if (repeatable) {
            reply = co_await run_repeatable(std::move(*question));
        }
        else {
            reply = co_await run_once(std::move(*question));
        }
        note(who, service, reply, monotonic_clock::now() - began);
        co_await exchange.respond(std::move(reply));
    }

    void note(const caller& who, const std::string& service, const http_reply& reply, duration span)
    {
        const std::string outcome(reply.header("X-Chervil-Outcome"));
        metric_labels labels{{"tenant", who.tenant}, {"service", service}};
        context.metrics->distribution("chervil_service_seconds", labels).note(span);
        labels.emplace_back("outcome", outcome);
        context.metrics->counter("chervil_service_calls_total", labels) += 1;
    }
};

service_calls::service_calls(service_call_context context, service_call_settings settings)
    : state_(std::make_shared<state>(std::move(context), std::move(settings)))
{
}

service_route service_calls::route() const
{
    return [self = state_](http_exchange& exchange, const caller& who,
                           const schema::routing_view& view) {
        return self->answer(exchange, who, view);
    };
}

} // namespace chervildyke
