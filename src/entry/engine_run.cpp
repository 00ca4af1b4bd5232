/** \file
 * Implements engine_run.
 */
#include "entry/engine_run.h"

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
constexpr duration wait_for_room = 500ms;   // Of a call that was let in and finds no room.
constexpr duration wait_for_capacity = 10s; // Of a call that was sent before.
constexpr duration expected_attempt_time = 50ms;
constexpr duration same_replica_pause =
    200ms; // Doubles; five attempts outlast the detection bound.
constexpr std::uint32_t max_resumes = 3;
constexpr duration default_retry_after = 1s;

} // namespace

engine_run::engine_run(call_context& context, engine_run_request request, chunk_hook on_chunks)
    : context_(context.shared_from_this()), request_(std::move(request)),
      on_chunks_(std::move(on_chunks))
{
}

engine_run::~engine_run()
{
    drop_current();
}

duration engine_run::time_left() const
{
    return request_.deadline - monotonic_clock::now();
}

void engine_run::drop_current()
{
    if (current_attempt_.empty()) {
        return;
    }
    asio::co_spawn(context_->executor,
                   cancel_attempt(context_->http, current_address_, current_attempt_),
                   asio::detached);
    current_attempt_.clear();
}

schema::engine_call engine_run::call_for(const chosen_replica& chosen) const
{
    schema::engine_call call = request_.call;
    call.set_attempt_id(random_id(context_->random));
    call.set_replica_id(chosen.replica);
    call.set_fencing(chosen.replica);
    call.set_prior_text(text_);
    call.set_prior_tokens(tokens_);
    return call;
}

asio::awaitable<std::optional<chosen_replica>> engine_run::choose()
{
    const bool begun = attempts_ > 0;
    const duration patience = begun ? wait_for_capacity : wait_for_room;
    const time_point until = std::min(monotonic_clock::now() + patience, request_.deadline);
    while (true) {
        const time_point now = monotonic_clock::now();
        auto chosen = context_->router->choose(request_.question, now);
        if (!chosen && !request_.question.avoid.empty() && now >= again_at_) {
            request_.question.avoid.clear(); // One that failed is better than none.
            chosen = context_->router->choose(request_.question, now);
        }
        const bool none_whole =
            context_->router->capacity(request_.question.team, now) == 0 ||
            !context_->router->has_adapter(request_.question.team, request_.question.adapter, now);
        if (chosen || now >= until || (none_whole && !begun)) {
            co_return chosen;
        }
        co_await sleep_for(poll_interval);
    }
}

void engine_run::note_chunks(const std::vector<schema::engine_chunk>& chunks, std::uint64_t replica)
{
    const time_point now = monotonic_clock::now();
    std::uint32_t brought = 0;
    for (const schema::engine_chunk& chunk : chunks) {
        text_ += chunk.text();
        brought += chunk.tokens();
        cached_tokens_ = std::max(cached_tokens_, chunk.cached_tokens());
        if (chunk.last()) {
            finish_reason_ = chunk.finish_reason();
        }
    }
    if (!first_chunk_seen_) {
        first_chunk_seen_ = true;
        context_->router->first_token(replica, now - sent_at_, now);
        if (request_.first_token != nullptr && tokens_ == 0) {
            request_.first_token->note(now - sent_at_);
        }
    }
    else if (brought > 0) {
        const duration each = (now - last_chunk_at_) / brought;
        context_->router->token(replica, each);
        if (request_.between_tokens != nullptr) {
            request_.between_tokens->note(each);
        }
    }
    tokens_ += brought;
    last_chunk_at_ = now;
}

asio::awaitable<attempt_step> engine_run::read_to_end(engine_attempt& attempt)
{
    while (true) {
        const duration patience = first_chunk_seen_ ? next_chunk_timeout : first_chunk_timeout;
        const duration timeout =
            request_.repeatable ? std::min(patience, time_left()) : time_left();
        if (timeout <= duration::zero()) {
            attempt_step late;
            late.state = attempt_state::stalled;
            late.reason = "the deadline passed";
            co_return late;
        }
        attempt_step step = co_await attempt.next(timeout);
        if (!step.chunks.empty()) {
            note_chunks(step.chunks, attempt.call().replica_id());
            auto delivery = on_chunks_(std::move(step.chunks));
            step.chunks.clear();
            if (!co_await std::move(delivery)) {
                caller_left_ = true;
                co_return step;
            }
        }
        if (step.state != attempt_state::running) {
            co_return step;
        }
    }
}

asio::awaitable<attempt_step> engine_run::resume(const engine_attempt& broken)
{
    schema::engine_call call = broken.call();
    call.set_resume_only(true);
    call.set_resume_from(broken.next_sequence());
    engine_attempt again(context_->http, broken.address(), std::move(call));
    attempt_step step = co_await again.open(std::min(resume_timeout, time_left()), true);
    if (step.state != attempt_state::running) {
        step.state = attempt_state::stalled; // Not resumed here; the attempt itself may have run.
        co_return step;
    }
    step = co_await read_to_end(again);
    if (step.state == attempt_state::broken && !caller_left_ && resumes_ < max_resumes &&
        time_left() > duration::zero()) {
        ++resumes_;
        co_return co_await resume(again);
    }
    co_return step;
}

asio::awaitable<attempt_step> engine_run::make_attempt(chosen_replica chosen)
{
    engine_attempt attempt(context_->http, chosen.address, call_for(chosen));
    context_->router->sent(chosen.replica, request_.question.prefixes);
    const scope_guard ended([this, chosen] { context_->router->ended(chosen.replica); });
    sent_at_ = monotonic_clock::now();
    first_chunk_seen_ = false;
    current_address_ = chosen.address;
    current_attempt_ = attempt.call().attempt_id();
    const duration timeout =
        request_.repeatable ? std::min(first_chunk_timeout, time_left()) : time_left();
    attempt_step step = co_await attempt.open(timeout, !request_.repeatable);
    if (step.state == attempt_state::running) {
        step = co_await read_to_end(attempt);
    }
    context_->metrics->counter("chervil_dropped_chunks_total") += attempt.dropped_chunks();
    if (step.state == attempt_state::complete) {
        co_await attempt.finish();
        co_return step;
    }
    if (step.state == attempt_state::broken && !caller_left_ && resumes_ < max_resumes &&
        time_left() > duration::zero()) {
        ++resumes_;
        context_->metrics->counter("chervil_resumes_total") += 1;
        may_have_run_ = true;
        step = co_await resume(attempt);
    }
    co_return step;
}

void engine_run::note_failure(const attempt_step& failed, std::uint64_t replica)
{
    const time_point now = monotonic_clock::now();
    if (failed.state == attempt_state::refused) {
        context_->router->refused(replica, now);
    }
    else if (time_left() > duration::zero()) {
        context_->router->failed(replica, now);
    }
    request_.question.avoid.push_back(replica);
    if (may_have_run_) {
        again_at_ = now + same_replica_pause * (1U << (attempts_ - 1));
    }
}

bool engine_run::may_try_again(const attempt_step& failed)
{
    const bool ran_nothing =
        failed.state == attempt_state::refused || failed.state == attempt_state::not_sent;
    failed_attempt question;
    question.failure = ran_nothing ? attempt_failure::not_run : attempt_failure::may_have_run;
    question.idempotent = request_.repeatable;
    question.attempts = attempts_;
    question.time_left = time_left();
    question.expected_time = expected_attempt_time;
    return may_retry(question) && context_->retries.take();
}

engine_run_result engine_run::give_up(run_end end, std::string reason) const
{
    engine_run_result result;
    result.end = end;
    result.outcome = may_have_run_ ? call_outcome::unknown : call_outcome::not_run;
    result.reason = std::move(reason);
    result.tokens = tokens_;
    result.retry_after = default_retry_after;
    return result;
}

asio::awaitable<engine_run_result> engine_run::run()
{
    context_->retries.note_call();
    while (true) {
        const auto chosen = co_await choose();
        if (!chosen) {
            co_return give_up(run_end::no_replica, "no replica of the team can take the call");
        }
        ++attempts_;
        const attempt_step step = co_await make_attempt(*chosen);
        if (step.state == attempt_state::complete && !caller_left_) {
            current_attempt_.clear();
            engine_run_result result = give_up(run_end::complete, "");
            result.outcome = call_outcome::complete;
            result.finish_reason = finish_reason_;
            result.cached_tokens = cached_tokens_;
            co_return result;
        }
        const bool ran_nothing =
            step.state == attempt_state::refused || step.state == attempt_state::not_sent;
        may_have_run_ = may_have_run_ || !ran_nothing;
        if (ran_nothing) {
            current_attempt_.clear();
        }
        if (caller_left_) {
            co_return give_up(run_end::caller_left, "the caller left");
        }
        drop_current();
        note_failure(step, chosen->replica);
        if (time_left() <= duration::zero()) {
            co_return give_up(run_end::out_of_time, "the deadline passed");
        }
        if (!may_try_again(step)) {
            engine_run_result result =
                give_up(ran_nothing ? run_end::refused : run_end::broken, step.reason);
            result.retry_after = step.retry_after.value_or(default_retry_after);
            co_return result;
        }
        context_->metrics->counter("chervil_retries_total") += 1;
    }
}

} // namespace chervildyke
