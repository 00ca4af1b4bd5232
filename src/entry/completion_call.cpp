/** \file
 * Implements completion_call.
 */
#include "entry/completion_call.h"

#include <algorithm>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <nlohmann/json.hpp>

#include "entry/order_client.h"
#include "routing/prefix_blocks.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;

constexpr duration default_timeout = 60s;
constexpr std::uint32_t default_max_tokens = 256;
constexpr std::uint32_t estimated_bytes_per_token = 4; // In the usage that callers receive.
constexpr duration retry_after = 1s;
// The engine priority orders calls by team priority, then by class, then by fair share.
constexpr std::uint32_t priority_levels_per_team = 4;
constexpr std::uint32_t interactive_priority = 2;
constexpr std::uint32_t within_share_priority = 1;

completion_encoder make_encoder(const completion_request& request, const random_source& random)
{
    const std::string id =
        (request.kind == completion_kind::chat ? "chatcmpl-" : "cmpl-") + random_id(random);
    return {request.kind, id, request.team, wall_clock_ms() / 1000};
}

api_error to_error(const admission_refusal& refusal)
{
    const bool is_tenant_limit = refusal.code == admission_error::tenant_rate ||
                                 refusal.code == admission_error::tenant_concurrency;
    api_error error = unavailable(refusal.reason, "overloaded", refusal.retry_after);
    if (is_tenant_limit) {
        error.status = 429;
        error.type = "rate_limit_error";
        error.code = "rate_limit_exceeded";
    }
    return error;
}

api_error to_error(const engine_call_result& result)
{
    api_error error =
        unavailable(result.reason, "no_replica", result.retry_after.value_or(duration(1s)));
    error.outcome = result.outcome;
    if (result.end == engine_call_end::deadline_exceeded) {
        error.status = 504;
        error.code = "deadline_exceeded";
    }
    else if (result.outcome == call_outcome::unknown) {
        error.status = 502;
        error.code = "replica_failed";
    }
    return error;
}

api_error model_not_found(const std::string& team)
{
    api_error error = invalid_request("there is no team '" + team + "'", "model_not_found");
    error.status = 404;
    return error;
}

} // namespace

completion_call::completion_call(call_context& context, http_exchange& exchange, caller_info caller,
                                 completion_request request, routing_view_ptr view,
                                 std::string body_digest)
    : context_(context), exchange_(exchange), caller_(std::move(caller)),
      request_(std::move(request)), view_(std::move(view)), body_digest_(std::move(body_digest)),
      writer_(exchange, make_encoder(request_, context.random), request_.stream,
              request_.include_usage)
{
}

std::optional<api_error> completion_call::validate()
{
    const auto found =
        std::find_if(view_->teams().begin(), view_->teams().end(),
                     [&](const schema::team_view& team) { return team.name() == request_.team; });
    if (found == view_->teams().end()) {
        return model_not_found(request_.team);
    }
    if (!caller_.may_call(request_.team)) {
        api_error error = invalid_request("this key may not call the team '" + request_.team + "'",
                                          "team_not_allowed");
        error.status = 403;
        error.type = "permission_error";
        return error;
    }
    team_ = &*found;
    const schema::team_parameters& parameters = team_->parameters();
    const auto& adapters = parameters.adapters();
    if (!request_.adapter.empty() &&
        std::find(adapters.begin(), adapters.end(), request_.adapter) == adapters.end()) {
        return model_not_found(request_.team + ":" + request_.adapter);
    }
    const std::uint32_t max_tokens_per_call = parameters.limits().max_tokens_per_call();
    if (max_tokens_per_call > 0 && request_.max_tokens > max_tokens_per_call) {
        return invalid_request("'max_tokens' must be at most " +
                                   std::to_string(max_tokens_per_call),
                               "max_tokens_too_large");
    }
    const std::uint32_t default_ms = parameters.limits().default_deadline_ms();
    const duration fallback =
        default_ms > 0 ? duration(std::chrono::milliseconds(default_ms)) : default_timeout;
    const auto timeout = read_call_timeout(exchange_.request(), fallback);
    if (!timeout) {
        return invalid_request("X-Chervil-Deadline-Ms must be 1 to 3600000", "invalid_deadline");
    }
    deadline_ = monotonic_clock::now() + *timeout;
    const auto& at_most_once_kinds = parameters.never_repeat();
    at_most_once_ = std::find(at_most_once_kinds.begin(), at_most_once_kinds.end(),
                              to_text(request_.kind)) != at_most_once_kinds.end();
    prefixes_ = prefix_block_hashes(request_.prompt, parameters.model() + ":" + request_.adapter);
    return std::nullopt;
}

admission_request completion_call::make_admission_request() const
{
    const auto entries = static_cast<std::uint32_t>(std::max(1, view_->entries_size()));
    const auto per_entry = [entries](std::uint32_t total) {
        return (total + entries - 1) / entries;
    };
    admission_request request;
    request.team = request_.team;
    request.tenant = caller_.tenant;
    request.share = caller_.share;
    request.priority = request_.batch ? 0 : 1;
    request.max_concurrent_calls = per_entry(caller_.max_concurrent_calls);
    request.max_calls_per_second = per_entry(caller_.max_calls_per_second);
    request.max_queued_calls = per_entry(team_->parameters().limits().max_queued_calls());
    request.deadline = deadline_;
    return request;
}

schema::engine_call completion_call::make_engine_call() const
{
    const schema::team_parameters& parameters = team_->parameters();
    const std::uint32_t max_tokens_per_call = parameters.limits().max_tokens_per_call();
    std::uint32_t max_tokens = request_.max_tokens;
    if (max_tokens == 0) {
        max_tokens = max_tokens_per_call > 0 ? std::min(max_tokens_per_call, default_max_tokens)
                                             : default_max_tokens;
    }
    schema::engine_call call;
    call.set_tenant(caller_.tenant);
    call.set_prompt(request_.prompt);
    call.mutable_prefix_hashes()->Add(prefixes_.begin(), prefixes_.end());
    call.set_max_tokens(max_tokens);
    call.set_priority(priority_levels_per_team * parameters.priority() +
                      (request_.batch ? 0U : interactive_priority) +
                      (within_share_ ? within_share_priority : 0U));
    call.set_adapter(request_.adapter);
    call.set_seed(request_.seed != 0 ? request_.seed : context_.random() >> 1U);
    return call;
}

asio::awaitable<engine_call_result> completion_call::run_on_engines()
{
    const metric_labels labels{{"tenant", caller_.tenant},
                               {"class", request_.batch ? "batch" : "interactive"}};
    engine_call_request request;
    request.routing.team = request_.team;
    request.routing.adapter = request_.adapter;
    request.routing.prefixes = prefixes_;
    request.call = make_engine_call();
    request.idempotent = !at_most_once_;
    request.deadline = deadline_;
    request.time_to_first_token =
        &context_.metrics->distribution("chervil_first_token_seconds", labels);
    request.inter_token_latency = &context_.metrics->distribution("chervil_token_seconds", labels);
    const chunk_hook on_chunks = [this](std::vector<schema::engine_chunk> chunks) {
        return writer_.write(std::move(chunks));
    };
    engine_call_runner runner(context_, std::move(request), on_chunks);
    engine_call_result result = co_await runner.run();
    co_return result;
}

token_usage completion_call::usage_of(const engine_call_result& result) const
{
    token_usage usage;
    usage.prompt_tokens =
        static_cast<std::uint32_t>((request_.prompt.size() + estimated_bytes_per_token - 1)) /
        estimated_bytes_per_token;
    usage.completion_tokens = result.tokens;
    usage.cached_tokens = result.cached_tokens;
    return usage;
}

void completion_call::count_outcome(call_outcome outcome)
{
    if (outcome_counted_) {
        return;
    }
    outcome_counted_ = true;
    const metric_labels labels{{"tenant", caller_.tenant},
                               {"class", request_.batch ? "batch" : "interactive"},
                               {"outcome", to_text(outcome)}};
    context_.metrics->counter("chervil_calls_total", labels) += 1;
}

asio::awaitable<void> completion_call::fail(api_error error)
{
    count_outcome(error.outcome);
    co_await writer_.fail(std::move(error));
}

asio::awaitable<void> completion_call::respond(engine_call_result result)
{
    if (result.end == engine_call_end::complete) {
        count_outcome(call_outcome::complete);
        co_await writer_.finish(result.finish_reason, usage_of(result));
    }
    else if (result.end == engine_call_end::caller_left) {
        count_outcome(call_outcome::unknown);
    }
    else {
        co_await fail(to_error(result));
    }
}

asio::awaitable<void> completion_call::replay_settlement(schema::order_settlement settlement)
{
    const bool complete = settlement.outcome() == schema::order_complete;
    count_outcome(complete ? call_outcome::complete : call_outcome::unknown);
    if (!complete || !request_.stream || settlement.confirmation().empty()) {
        http_reply reply = replay_reply(settlement);
        co_await exchange_.respond(std::move(reply));
        co_return;
    }
    const auto document = nlohmann::json::parse(settlement.confirmation(), nullptr, false);
    const auto choice = nlohmann::json::json_pointer("/choices/0");
    const auto text = nlohmann::json::json_pointer(
        request_.kind == completion_kind::chat ? "/choices/0/message/content" : "/choices/0/text");
    std::vector<schema::engine_chunk> chunks(1);
    std::string finish_reason = "stop";
    if (document.is_object() && document.contains(text) && document[text].is_string()) {
        chunks[0].set_text(document[text].get<std::string>());
        finish_reason = document[choice].value("finish_reason", finish_reason);
    }
    if (co_await writer_.write(std::move(chunks))) {
        co_await writer_.finish(finish_reason, token_usage());
    }
}

asio::awaitable<void> completion_call::claim_and_run()
{
    if (!context_.at_most_once.claim || !context_.at_most_once.settle) {
        co_await fail(unavailable("calls that run at most once are not served by this entry",
                                  "no_claims", retry_after));
        co_return;
    }
    call_identity identity;
    identity.tenant = caller_.tenant;
    identity.attempt_id = random_id(context_.random);
    identity.key =
        request_.idempotency_key.empty() ? identity.attempt_id : request_.idempotency_key;
    identity.body_digest = body_digest_;
    identity.deadline = deadline_;
    identity.key_created_ms = request_.key_created_ms;
    claim_decision decision = co_await context_.at_most_once.claim(identity);
    if (decision.result == schema::claim_settled && decision.settlement) {
        co_await replay_settlement(*decision.settlement);
        co_return;
    }
    if (decision.result != schema::claim_won) {
        api_error error = not_claimed_error(decision);
        co_await fail(std::move(error));
        co_return;
    }
    const engine_call_result result = co_await run_on_engines();
    std::string confirmation;
    if (result.outcome == call_outcome::complete) {
        confirmation =
            writer_.encoder().encode_body(writer_.text(), result.finish_reason, usage_of(result));
    }
    const std::string content_type = "application/json";
    co_await context_.at_most_once.settle(identity, result.outcome, 200, content_type,
                                          confirmation);
    co_await respond(result);
}

asio::awaitable<void> completion_call::admit_and_run()
{
    const metric_labels labels{{"tenant", caller_.tenant},
                               {"class", request_.batch ? "batch" : "interactive"}};
    admission_decision admitted = co_await context_.admissions->admit(make_admission_request());
    context_.metrics->distribution("chervil_queue_seconds", labels).observe(admitted.waited);
    if (!admitted.ticket) {
        co_await fail(to_error(admitted.refusal));
        co_return;
    }
    ticket_ = std::move(admitted.ticket);
    within_share_ = admitted.within_share;
    if (at_most_once_) {
        co_await claim_and_run();
        co_return;
    }
    const engine_call_result result = co_await run_on_engines();
    ticket_.reset();
    co_await respond(result);
}

asio::awaitable<void> completion_call::admit_and_run_without_throwing()
{
    try {
        co_await admit_and_run();
    }
    catch (...) {
        thrown_ = std::current_exception();
    }
}

asio::awaitable<void> completion_call::run()
{
    if (const auto error = validate()) {
        co_await fail(*error);
        co_return;
    }
    if (at_most_once_) {
        co_await admit_and_run();
        co_return;
    }
    // After an exception, the operator || would wait for the caller to leave.
    auto response = admit_and_run_without_throwing();
    auto disconnect = exchange_.wait_for_peer_close();
    auto first_to_end = std::move(response) || std::move(disconnect);
    constexpr std::size_t response_ended = 0;
    const auto ended = co_await std::move(first_to_end);
    if (ended.index() == response_ended && thrown_) {
        count_outcome(call_outcome::unknown);
        std::rethrow_exception(thrown_);
    }
    if (!outcome_counted_) {
        context_.metrics->counter("chervil_callers_left_total") += 1;
    }
}

} // namespace chervildyke
