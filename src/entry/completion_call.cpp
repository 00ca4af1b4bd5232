/** \file
 * Implements completion_call.
 */
#include "entry/completion_call.h"

#include <algorithm>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <nlohmann/json.hpp>

#include "entry/order_call.h"
#include "routing/prefix_blocks.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;

constexpr duration default_deadline = 60s;
constexpr std::uint32_t default_max_tokens = 256;
constexpr std::uint32_t bytes_per_token = 4; // For the usage that callers are told.
constexpr duration retry_after_held = 1s;

completion_format format_of(const completion_request& request, const random_source& random)
{
    const std::string id =
        (request.kind == call_kind::chat ? "chatcmpl-" : "cmpl-") + random_id(random);
    return {request.kind, id, request.team, wall_clock_ms() / 1000};
}

api_error to_error(const admission_refusal& refusal)
{
    const bool of_tenant = refusal.code == admission_error::tenant_rate ||
                           refusal.code == admission_error::tenant_concurrency;
    api_error error = unavailable(refusal.reason, "overloaded", refusal.retry_after);
    if (of_tenant) {
        error.status = 429;
        error.type = "rate_limit_error";
        error.code = "rate_limit_exceeded";
    }
    return error;
}

api_error to_error(const engine_run_result& result)
{
    api_error error =
        unavailable(result.reason, "no_replica", result.retry_after.value_or(duration(1s)));
    error.outcome = result.outcome;
    if (result.end == run_end::out_of_time) {
        error.status = 504;
        error.code = "deadline_exceeded";
    }
    else if (result.outcome == call_outcome::unknown) {
        error.status = 502;
        error.code = "replica_failed";
    }
    return error;
}

api_error not_found(const std::string& team)
{
    api_error error = invalid_request("there is no team '" + team + "'", "model_not_found");
    error.status = 404;
    return error;
}

} // namespace

completion_call::completion_call(call_context& context, http_exchange& exchange, caller who,
                                 completion_request request, routing_view_ptr view,
                                 std::string body_digest)
    : context_(context), exchange_(exchange), who_(std::move(who)), request_(std::move(request)),
      view_(std::move(view)), body_digest_(std::move(body_digest)),
      writer_(exchange, format_of(request_, context.random), request_.stream,
              request_.include_usage)
{
}

std::optional<api_error> completion_call::find_team()
{
    const auto found =
        std::find_if(view_->teams().begin(), view_->teams().end(),
                     [&](const schema::team_view& team) { return team.name() == request_.team; });
    if (found == view_->teams().end()) {
        return not_found(request_.team);
    }
    if (!who_.may_call(request_.team)) {
        api_error error = invalid_request("this key may not call the team", "team_not_allowed");
        error.status = 403;
        error.type = "permission_error";
        return error;
    }
    team_ = &*found;
    const schema::team_parameters& parameters = team_->parameters();
    const auto& adapters = parameters.adapters();
    if (!request_.adapter.empty() &&
        std::find(adapters.begin(), adapters.end(), request_.adapter) == adapters.end()) {
        return not_found(request_.team + ":" + request_.adapter);
    }
    const std::uint32_t most = parameters.limits().max_tokens_per_call();
    if (most > 0 && request_.max_tokens > most) {
        return invalid_request("'max_tokens' must be at most " + std::to_string(most),
                               "max_tokens_too_large");
    }
    const std::uint32_t default_ms = parameters.limits().default_deadline_ms();
    const duration fallback =
        default_ms > 0 ? duration(std::chrono::milliseconds(default_ms)) : default_deadline;
    const auto allowed = read_deadline(exchange_.request(), fallback);
    if (!allowed) {
        return invalid_request("X-Chervil-Deadline-Ms must be 1 to 3600000", "invalid_deadline");
    }
    deadline_ = monotonic_clock::now() + *allowed;
    const auto& once = parameters.never_repeat();
    never_repeat_ = std::find(once.begin(), once.end(), to_text(request_.kind)) != once.end();
    prefixes_ = prefix_block_hashes(request_.prompt, parameters.model() + ":" + request_.adapter);
    return std::nullopt;
}

admission_request completion_call::admission_terms() const
{
    const auto entries = static_cast<std::uint32_t>(std::max(1, view_->entries_size()));
    const auto part = [entries](std::uint32_t of_all) { return (of_all + entries - 1) / entries; };
    admission_request terms;
    terms.team = request_.team;
    terms.tenant = who_.tenant;
    terms.share = who_.share;
    terms.priority = request_.batch ? 0 : 1;
    terms.max_concurrent_calls = part(who_.max_concurrent_calls);
    terms.max_calls_per_second = part(who_.max_calls_per_second);
    terms.max_queued_calls = part(team_->parameters().limits().max_queued_calls());
    terms.deadline = deadline_;
    return terms;
}

schema::engine_call completion_call::engine_call_terms() const
{
    const schema::team_parameters& parameters = team_->parameters();
    const std::uint32_t most = parameters.limits().max_tokens_per_call();
    std::uint32_t max_tokens = request_.max_tokens;
    if (max_tokens == 0) {
        max_tokens = most > 0 ? std::min(most, default_max_tokens) : default_max_tokens;
    }
    schema::engine_call call;
    call.set_tenant(who_.tenant);
    call.set_prompt(request_.prompt);
    call.mutable_prefix_hashes()->Add(prefixes_.begin(), prefixes_.end());
    call.set_max_tokens(max_tokens);
    call.set_priority(4 * parameters.priority() + (request_.batch ? 0U : 2U) +
                      (within_share_ ? 1U : 0U));
    call.set_adapter(request_.adapter);
    call.set_seed(request_.seed != 0 ? request_.seed : context_.random() >> 1U);
    return call;
}

asio::awaitable<engine_run_result> completion_call::run_on_engines()
{
    const metric_labels labels{{"tenant", who_.tenant},
                               {"class", request_.batch ? "batch" : "interactive"}};
    engine_run_request terms;
    terms.question.team = request_.team;
    terms.question.adapter = request_.adapter;
    terms.question.prefixes = prefixes_;
    terms.call = engine_call_terms();
    terms.repeatable = !never_repeat_;
    terms.deadline = deadline_;
    terms.first_token = &context_.metrics->distribution("chervil_first_token_seconds", labels);
    terms.between_tokens = &context_.metrics->distribution("chervil_token_seconds", labels);
    const chunk_hook on_chunks = [this](std::vector<schema::engine_chunk> chunks) {
        return writer_.write(std::move(chunks));
    };
    engine_run run(context_, std::move(terms), on_chunks);
    engine_run_result result = co_await run.run();
    co_return result;
}

token_usage completion_call::usage_of(const engine_run_result& result) const
{
    token_usage usage;
    usage.prompt_tokens =
        static_cast<std::uint32_t>((request_.prompt.size() + bytes_per_token - 1)) /
        bytes_per_token;
    usage.completion_tokens = result.tokens;
    usage.cached_tokens = result.cached_tokens;
    return usage;
}

void completion_call::count(call_outcome outcome)
{
    if (counted_) {
        return;
    }
    counted_ = true;
    const metric_labels labels{{"tenant", who_.tenant},
                               {"class", request_.batch ? "batch" : "interactive"},
                               {"outcome", to_text(outcome)}};
    context_.metrics->counter("chervil_calls_total", labels) += 1;
}

asio::awaitable<void> completion_call::fail(api_error error)
{
    count(error.outcome);
    co_await writer_.fail(std::move(error));
}

asio::awaitable<void> completion_call::tell(engine_run_result result)
{
    if (result.end == run_end::complete) {
        count(call_outcome::complete);
        co_await writer_.finish(result.finish_reason, usage_of(result));
    }
    else if (result.end == run_end::caller_left) {
        count(call_outcome::unknown);
    }
    else {
        co_await fail(to_error(result));
    }
}

asio::awaitable<void> completion_call::repeat_settled(schema::order_settlement settlement)
{
    const bool complete = settlement.outcome() == schema::order_complete;
    count(complete ? call_outcome::complete : call_outcome::unknown);
    if (!complete || !request_.stream || settlement.confirmation().empty()) {
        http_reply reply = replay_of(settlement);
        co_await exchange_.respond(std::move(reply));
        co_return;
    }
    const auto document = nlohmann::json::parse(settlement.confirmation(), nullptr, false);
    const auto choice = nlohmann::json::json_pointer("/choices/0");
    const auto text = nlohmann::json::json_pointer(
        request_.kind == call_kind::chat ? "/choices/0/message/content" : "/choices/0/text");
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

asio::awaitable<void> completion_call::run_claimed()
{
    if (!context_.guard.claim || !context_.guard.settle) {
        co_await fail(unavailable("calls that run at most once are not served here", "no_claims",
                                  retry_after_held));
        co_return;
    }
    call_identity identity;
    identity.tenant = who_.tenant;
    identity.attempt_id = random_id(context_.random);
    identity.key =
        request_.idempotency_key.empty() ? identity.attempt_id : request_.idempotency_key;
    identity.body_digest = body_digest_;
    identity.deadline = deadline_;
    identity.key_created_ms = request_.key_created_ms;
    claim_decision decision = co_await context_.guard.claim(identity);
    if (decision.result == schema::claim_settled && decision.settlement) {
        co_await repeat_settled(*decision.settlement);
        co_return;
    }
    if (decision.result != schema::claim_won) {
        api_error error = not_claimed(decision);
        co_await fail(std::move(error));
        co_return;
    }
    const engine_run_result result = co_await run_on_engines();
    std::string confirmation;
    if (result.outcome == call_outcome::complete) {
        confirmation =
            writer_.format().whole(writer_.text(), result.finish_reason, usage_of(result));
    }
    const std::string content_type = "application/json";
    co_await context_.guard.settle(identity, result.outcome, 200, content_type, confirmation);
    co_await tell(result);
}

asio::awaitable<void> completion_call::run_admitted()
{
    const metric_labels labels{{"tenant", who_.tenant},
                               {"class", request_.batch ? "batch" : "interactive"}};
    admission_decision verdict = co_await context_.admissions->admit(admission_terms());
    context_.metrics->distribution("chervil_queue_seconds", labels).note(verdict.waited);
    if (!verdict.ticket) {
        co_await fail(to_error(verdict.refusal));
        co_return;
    }
    ticket_ = std::move(verdict.ticket);
    within_share_ = verdict.within_share;
    if (never_repeat_) {
        co_await run_claimed();
        co_return;
    }
    const engine_run_result result = co_await run_on_engines();
    ticket_.reset();
    co_await tell(result);
}

asio::awaitable<void> completion_call::run()
{
    if (const auto error = find_team()) {
        co_await fail(*error);
        co_return;
    }
    if (never_repeat_) {
        co_await run_admitted();
        co_return;
    }
    auto answering = run_admitted();
    auto leaving = exchange_.wait_for_peer_close();
    auto either = std::move(answering) || std::move(leaving);
    co_await std::move(either);
    if (!counted_) {
        context_.metrics->counter("chervil_callers_left_total") += 1;
    }
}

} // namespace chervildyke
