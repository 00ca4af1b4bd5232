/** \file
 * Implements engine_call_runner.
 */
#include "entry/engine_call_runner.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/scope_guard.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;

constexpr duration first_chunk_timeout = 5s;
constexpr duration next_chunk_timeout = 3s;
constexpr duration resume_timeout = 1s;
constexpr duration poll_interval = 20ms;
constexpr duration max_wait_for_first_attempt = 500ms; // For capacity, after admission.
constexpr duration max_wait_for_next_attempt = 10s;    // For capacity, after a failed attempt.
constexpr duration expected_attempt_time = 50ms;
// Doubles with each attempt, so that five attempts last longer than the detection of a failure.
constexpr duration replica_retry_backoff = 200ms;
constexpr std::uint32_t max_resumes = 3;
constexpr duration default_retry_after = 1s;

} // namespace

engine_call_runner::engine_call_runner(call_context& context, engine_call_request request,
                                       chunk_hook on_chunks)
    : context_(context.shared_from_this()), request_(std::move(request)),
      on_chunks_(std::move(on_chunks))
{
}

engine_call_runner::~engine_call_runner()
{
    cancel_current_attempt();
}

duration engine_call_runner::time_left() const
{
    return request_.deadline - monotonic_clock::now();
}

void engine_call_runner::cancel_current_attempt()
{
    if (current_attempt_id_.empty()) {
        return;
    }
    asio::co_spawn(context_->executor,
                   cancel_attempt(context_->http, current_address_, current_attempt_id_),
                   asio::detached);
    current_attempt_id_.clear();
}

schema::engine_call engine_call_runner::make_attempt_call(const chosen_replica& chosen) const
{
    schema::engine_call call = request_.call;
    call.set_attempt_id(random_id(context_->random));
    call.set_replica_id(chosen.replica);
    call.set_fencing(chosen.replica);
    call.set_prior_text(text_);
    call.set_prior_tokens(tokens_);
    return call;
}

asio::awaitable<std::optional<chosen_replica>> engine_call_runner::choose_replica()
{
    const bool was_sent = attempt_count_ > 0;
    const duration max_wait = was_sent ? max_wait_for_next_attempt : max_wait_for_first_attempt;
    const time_point wait_until = std::min(monotonic_clock::now() + max_wait, request_.deadline);
    while (true) {
        const time_point now = monotonic_clock::now();
        auto chosen = context_->router->choose(request_.routing, now);
        if (!chosen && !request_.routing.avoid.empty() && now >= failed_replicas_retry_at_) {
            request_.routing.avoid.clear(); // A replica that failed is better than none.
            chosen = context_->router->choose(request_.routing, now);
        }
        const bool none_available =
            context_->router->capacity(request_.routing.team, now) == 0 ||
            !context_->router->has_adapter(request_.routing.team, request_.routing.adapter, now);
        if (chosen || now >= wait_until || (none_available && !was_sent)) {
            co_return chosen;
        }
        co_await sleep_for(poll_interval);
    }
}

void engine_call_runner::note_chunks(const std::vector<schema::engine_chunk>& chunks,
                                     std::uint64_t replica)
{
    const time_point now = monotonic_clock::now();
    std::uint32_t received_tokens = 0;
    for (const schema::engine_chunk& chunk : chunks) {
        text_ += chunk.text();
        received_tokens += chunk.tokens();
        cached_tokens_ = std::max(cached_tokens_, chunk.cached_tokens());
        if (chunk.last()) {
            finish_reason_ = chunk.finish_reason();
        }
    }
    if (!first_chunk_received_) {
        first_chunk_received_ = true;
        context_->router->first_token(replica, now - sent_at_, now);
        if (request_.time_to_first_token != nullptr && tokens_ == 0) {
            request_.time_to_first_token->observe(now - sent_at_);
        }
    }
    else if (received_tokens > 0) {
        const duration time_per_token = (now - last_chunk_at_) / received_tokens;
        context_->router->token(replica, time_per_token);
        if (request_.inter_token_latency != nullptr) {
            request_.inter_token_latency->observe(time_per_token);
        }
    }
    tokens_ += received_tokens;
    last_chunk_at_ = now;
}

asio::awaitable<attempt_progress> engine_call_runner::read_stream(engine_attempt& attempt)
{
    while (true) {
        const duration max_wait = first_chunk_received_ ? next_chunk_timeout : first_chunk_timeout;
        const duration timeout =
            request_.idempotent ? std::min(max_wait, time_left()) : time_left();
        if (timeout <= duration::zero()) {
            attempt_progress expired;
            expired.state = engine_attempt_state::stalled;
            expired.reason = "the deadline passed";
            co_return expired;
        }
        attempt_progress progress = co_await attempt.next_chunks(timeout);
        if (!progress.chunks.empty()) {
            note_chunks(progress.chunks, attempt.call().replica_id());
            auto delivery = on_chunks_(std::move(progress.chunks));
            progress.chunks.clear();
            if (!co_await std::move(delivery)) {
                caller_left_ = true;
                co_return progress;
            }
        }
        if (progress.state != engine_attempt_state::running) {
            co_return progress;
        }
    }
}

asio::awaitable<attempt_progress> engine_call_runner::resume(const engine_attempt& broken)
{
    schema::engine_call call = broken.call();
    call.set_resume_only(true);
    call.set_resume_from(broken.next_sequence());
    engine_attempt resumed(context_->http, broken.address(), std::move(call));
    attempt_progress progress = co_await resumed.open(std::min(resume_timeout, time_left()), true);
    if (progress.state != engine_attempt_state::running) {
        // No resume is attempted after this state, but the attempt may have run.
        progress.state = engine_attempt_state::stalled;
        co_return progress;
    }
    progress = co_await read_stream(resumed);
    if (progress.state == engine_attempt_state::broken && !caller_left_ &&
        resume_count_ < max_resumes && time_left() > duration::zero()) {
        ++resume_count_;
        co_return co_await resume(resumed);
    }
    co_return progress;
}

asio::awaitable<attempt_progress> engine_call_runner::run_attempt(chosen_replica chosen)
{
    engine_attempt attempt(context_->http, chosen.address, make_attempt_call(chosen));
    context_->router->sent(chosen.replica, request_.routing.prefixes);
    const scope_guard ended([this, chosen] { context_->router->ended(chosen.replica); });
    sent_at_ = monotonic_clock::now();
    first_chunk_received_ = false;
    current_address_ = chosen.address;
    current_attempt_id_ = attempt.call().attempt_id();
    const duration timeout =
        request_.idempotent ? std::min(first_chunk_timeout, time_left()) : time_left();
    attempt_progress progress = co_await attempt.open(timeout, !request_.idempotent);
    if (progress.state == engine_attempt_state::running) {
        progress = co_await read_stream(attempt);
    }
    context_->metrics->counter("chervil_dropped_chunks_total") += attempt.dropped_chunks();
    if (progress.state == engine_attempt_state::complete) {
        co_await attempt.finish();
        co_return progress;
    }
    if (progress.state == engine_attempt_state::broken && !caller_left_ &&
        resume_count_ < max_resumes && time_left() > duration::zero()) {
        ++resume_count_;
        context_->metrics->counter("chervil_resumes_total") += 1;
        may_have_run_ = true;
        progress = co_await resume(attempt);
    }
    co_return progress;
}

void engine_call_runner::note_failure(const attempt_progress& failed, std::uint64_t replica)
{
    const time_point now = monotonic_clock::now();
    if (failed.state == engine_attempt_state::refused) {
        context_->router->refused(replica, now);
    }
    else if (time_left() > duration::zero()) {
        context_->router->failed(replica, now);
    }
    request_.routing.avoid.push_back(replica);
    if (may_have_run_) {
        failed_replicas_retry_at_ = now + replica_retry_backoff * (1U << (attempt_count_ - 1));
    }
}

bool engine_call_runner::take_retry(const attempt_progress& failed)
{
    const bool not_run = failed.state == engine_attempt_state::refused ||
                         failed.state == engine_attempt_state::not_sent;
    failed_attempt attempt;
    attempt.failure = not_run ? attempt_failure::not_run : attempt_failure::may_have_run;
    attempt.idempotent = request_.idempotent;
    attempt.attempts = attempt_count_;
    attempt.time_left = time_left();
    attempt.expected_time = expected_attempt_time;
    return may_retry(attempt) && context_->retries.take();
}

engine_call_result engine_call_runner::make_result(engine_call_end end, std::string reason) const
{
    engine_call_result result;
    result.end = end;
    result.outcome = may_have_run_ ? call_outcome::unknown : call_outcome::not_run;
    result.reason = std::move(reason);
    result.tokens = tokens_;
    result.retry_after = default_retry_after;
    return result;
}

asio::awaitable<engine_call_result> engine_call_runner::run()
{
    context_->retries.note_call();
    while (true) {
        const auto chosen = co_await choose_replica();
        if (!chosen) {
            co_return make_result(engine_call_end::no_replica,
                                  "no replica of the team has capacity for the call");
        }
        ++attempt_count_;
        const attempt_progress progress = co_await run_attempt(*chosen);
        if (progress.state == engine_attempt_state::complete && !caller_left_) {
            current_attempt_id_.clear();
            engine_call_result result = make_result(engine_call_end::complete, "");
            result.outcome = call_outcome::complete;
            result.finish_reason = finish_reason_;
            result.cached_tokens = cached_tokens_;
            co_return result;
        }
        const bool not_run = progress.state == engine_attempt_state::refused ||
                             progress.state == engine_attempt_state::not_sent;
        may_have_run_ = may_have_run_ || !not_run;
        if (not_run) {
            current_attempt_id_.clear();
        }
        if (caller_left_) {
            co_return make_result(engine_call_end::caller_left, "the caller left");
        }
        cancel_current_attempt();
        note_failure(progress, chosen->replica);
        if (time_left() <= duration::zero()) {
            co_return make_result(engine_call_end::deadline_exceeded, "the deadline passed");
        }
        if (!take_retry(progress)) {
            engine_call_result result = make_result(
                not_run ? engine_call_end::refused : engine_call_end::broken, progress.reason);
            result.retry_after = progress.retry_after.value_or(default_retry_after);
            co_return result;
        }
        context_->metrics->counter("chervil_retries_total") += 1;
    }
}

} // namespace chervildyke
