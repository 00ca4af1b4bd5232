/** \file
 * Implements relay_stream.
 */
#include "relay/stream_relay.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/scope_guard.h"
#include "relay/call_demand.h"
#include "relay/event_splitter.h"
#include "relay/stall_detector.h"
#include "relay/whole_body.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log call_log("call");

constexpr std::uint32_t max_sends = 4;    // Attempts of one call, including refused ones.
constexpr duration deadline_margin = 5ms; // Reserved for sending the end before the deadline.

// How long a replica is excluded after a failed attempt; the assembly detects a lost member in this
// time.
constexpr duration exclusion_after_failure = 1500ms;

constexpr std::size_t max_error_body_bytes = 1U << 20U; // Bytes of an answer that is not a stream.
constexpr std::size_t max_event_bytes = 1U << 20U;      // Of one event; a token takes a few bytes.

// The Retry-After of refusals is drawn at random, so that the calls of a burst return spread out.
constexpr duration min_retry_after = 800ms;
constexpr duration retry_after_spread = 1200ms;

enum class attempt_result { complete, answered, not_run, broken, caller_left };

struct attempt_end {
    attempt_result result = attempt_result::not_run;
    std::string reason;
    http_reply reply; // Set if the answer is not a stream.
};

/** One call with its attempts at replicas. */
class streaming_call {
  public:
    explicit streaming_call(relayed_call& call)
        : call_(call), last_event_(call.parameters.last_event)
    {
    }

    asio::awaitable<void> run();

  private:
    /** One attempt in progress. */
    struct attempt_state {
        const selected_replica& selected;
        replica_balancer::call& slot;
        stall_detector& detector;
        time_point sent_at{};
    };

    asio::awaitable<replica_queue_result> wait_for_slot();
    asio::awaitable<attempt_end> attempt(const selected_replica& selected,
                                         replica_balancer::call& slot);
    asio::awaitable<attempt_end> read_answer(http_stream& answer, attempt_state& state);
    asio::awaitable<attempt_end> read_error(http_stream& answer);
    asio::awaitable<attempt_end> forward_events(http_stream& answer, attempt_state& state);
    void note_event_time();
    asio::awaitable<bool> forward_event(const raw_event& event,
                                        const std::vector<http_header>& headers);
    asio::awaitable<void> finish(attempt_end last);
    bool may_retry(const attempt_end& ended);
    bool may_fail_over() const;
    bool should_end(const selected_replica& selected, silent_attempt attempt);
    void log_silence(const selected_replica& selected, const silent_attempt& attempt,
                     std::string_view decision) const;
    duration usable_time_left() const;
    duration retry_after() const;

    relayed_call& call_;
    std::optional<std::uint64_t> last_event_; // Id of the last event forwarded to the caller.
    bool started_ = false;                    // The head of the answer was forwarded.
    time_point last_event_at_{};
    std::set<std::uint64_t> tried_;
    std::optional<replica_queue_result> reserved_slot_; // The slot of the next attempt.
    bool retry_paid_ = false; // The retry of the next attempt is taken from the budget.
    std::optional<time_point> paused_until_; // All replicas have asked for no calls until then.
};

asio::awaitable<replica_queue_result> streaming_call::wait_for_slot()
{
    if (reserved_slot_) {
        replica_queue_result granted = std::move(*reserved_slot_);
        reserved_slot_.reset();
        co_return granted;
    }
    replica_queue_request request = make_slot_request(call_, tried_, started_);
    co_return co_await call_.context.queue->admit(std::move(request));
}

duration streaming_call::usable_time_left() const
{
    return std::max<duration>(call_.time_left() - deadline_margin, 1ms);
}

/** \return true if another attempt may follow the one in progress although that may have been
 * executed.
 */
bool streaming_call::may_fail_over() const
{
    return call_.route->retry == retry_rule::resumable &&
           call_.end.runs + 1 < call_.route->max_attempts && call_.end.sends < max_sends &&
           call_.has_retry();
}

/** Decides whether to end a silent attempt. For a failover, takes the retry from the budget and
 * reserves a slot if one is free.
 */
bool streaming_call::should_end(const selected_replica& selected, silent_attempt attempt)
{
    const time_point now = monotonic_clock::now();
    replica_balancer& balancer = *call_.context.replica_lb;
    attempt.replica_silence = balancer.silence_of(selected.replica.epoch, now);
    attempt.replica_is_serving = balancer.serving().contains(selected.replica.epoch);
    replacement_attempt replacement{may_fail_over(), duration::zero()};
    if (choose_stall_action(attempt, replacement, call_.time_left()) == stall_action::wait) {
        return false; // Even if another replica could answer at once.
    }
    replica_queue_request request = make_slot_request(call_, tried_, started_);
    request.wanted.tried.insert(selected.replica.epoch);
    const replica_selection found = balancer.choose(request.wanted, request.fill_limit, now);
    replacement.first_event =
        found.selected ? std::optional(found.selected->first_event) : std::nullopt;
    const stall_action action = choose_stall_action(attempt, replacement, call_.time_left());
    if (action == stall_action::failover) {
        reserved_slot_ = call_.context.queue->admit_now(request);
        retry_paid_ = call_.take_retry();
    }
    if (action != stall_action::wait) {
        log_silence(selected, attempt, action == stall_action::fail ? "fail" : "failover");
    }
    return action != stall_action::wait;
}

void streaming_call::log_silence(const selected_replica& selected, const silent_attempt& attempt,
                                 std::string_view decision) const
{
    call_log.write("attempt_silent",
                   {{"request", call_.parameters.id},
                    {"replica", selected.replica.name},
                    {"head", selected.replica.head_id},
                    {"silent_ms", to_ms_text(attempt.own_silence)},
                    {"replica_silent_ms", to_ms_text(attempt.replica_silence)},
                    {"expected_ms", to_ms_text(attempt.expected)},
                    {"replica_serves", attempt.replica_is_serving ? "yes" : "no"},
                    {"answer_began", started_ ? "yes" : "no"},
                    {"slot_elsewhere", reserved_slot_ ? "yes" : "no"},
                    {"decision", std::string(decision)}});
}

void streaming_call::note_event_time()
{
    const time_point now = monotonic_clock::now();
    if (++call_.end.events == 1) {
        call_.end.first_event = now - call_.arrived_at;
        call_.context.metrics
            ->distribution("chervil_first_event_seconds", {{"route", call_.route->name}})
            .observe(*call_.end.first_event);
    }
    else {
        call_.end.longest_gap = std::max<duration>(call_.end.longest_gap, now - last_event_at_);
    }
    last_event_at_ = now;
}

asio::awaitable<bool> streaming_call::forward_event(const raw_event& event,
                                                    const std::vector<http_header>& headers)
{
    if (!started_) {
        started_ = true;
        http_reply head = make_forwarded_reply(200, headers, {});
        call_.end.status = 200;
        if (!co_await call_.exchange.start_stream(std::move(head))) {
            co_return false;
        }
    }
    note_event_time();
    const bool written = co_await call_.exchange.write_chunk(event.bytes);
    co_return written;
}

asio::awaitable<attempt_end> streaming_call::forward_events(http_stream& answer,
                                                            attempt_state& state)
{
    attempt_end end;
    end.result = attempt_result::broken;
    event_splitter splitter;
    bool has_event = false;
    const std::vector<http_header> headers = answer.headers();
    while (true) {
        auto part = co_await answer.read_some(usable_time_left());
        if (call_.cancel->cancelled()) {
            end.result = attempt_result::caller_left;
            co_return end;
        }
        if (!part) {
            end.reason = part.failure().reason;
            co_return end;
        }
        if (part->empty()) {
            break;
        }
        splitter.feed(*part);
        while (const auto event = splitter.next()) {
            // Only whole events count as progress.
            const time_point now = monotonic_clock::now();
            if (!has_event) {
                has_event = true;
                call_.context.replica_lb->note_first_event(state.selected, now - state.sent_at);
            }
            state.slot.note_event(now);
            state.detector.record_event(state.selected.event_gap);
            if (event->id && last_event_ && *event->id <= *last_event_) {
                continue; // It was forwarded before.
            }
            if (event->id && last_event_ && *event->id != *last_event_ + 1) {
                end.reason = "expected event " + std::to_string(*last_event_ + 1) +
                             ", found event " + std::to_string(*event->id);
                co_return end;
            }
            if (!co_await forward_event(*event, headers)) {
                end.result = attempt_result::caller_left;
                co_return end;
            }
            if (event->id) {
                last_event_ = event->id;
            }
        }
        if (splitter.partial_event_bytes() > max_event_bytes) {
            end.reason = "an event is longer than " + std::to_string(max_event_bytes) + " bytes";
            co_return end;
        }
    }
    if (splitter.has_partial_event()) {
        end.reason = "the stream ended within an event";
        co_return end;
    }
    if (!started_) {
        end.reason = "the stream ended without an event";
        co_return end;
    }
    end.result = attempt_result::complete;
    co_return end;
}

asio::awaitable<attempt_end> streaming_call::read_answer(http_stream& answer, attempt_state& state)
{
    attempt_end end;
    const std::vector<http_header> headers = answer.headers();
    const answer_metadata metadata = call_.context.codec.read_metadata(answer.status(), headers);
    call_.record_notice(head_incarnation(state.selected.replica), metadata);
    if (metadata.not_run) {
        end.reason = "the head refused with " + std::to_string(answer.status()) +
                     (metadata.at_fault.empty() ? "" : ", caused by " + metadata.at_fault);
        co_return end;
    }
    if (answer.status() == 200 && metadata.sealed) {
        co_return co_await forward_events(answer, state);
    }
    if (answer.status() < 300) {
        end.result = attempt_result::broken;
        end.reason = "the answer of the head has no seal";
        co_return end;
    }
    co_return co_await read_error(answer);
}

asio::awaitable<attempt_end> streaming_call::read_error(http_stream& answer)
{
    attempt_end end;
    end.result = attempt_result::broken;
    byte_budget::reservation held(call_.context.buffered);
    auto body = co_await read_whole_body(answer, max_error_body_bytes, held,
                                         call_.deadline - deadline_margin);
    if (!body) {
        end.reason = body.failure().reason;
        co_return end;
    }
    end.reason = "the head answered " + std::to_string(answer.status());
    end.reply = make_forwarded_reply(answer.status(), answer.headers(), std::move(*body));
    end.result = attempt_result::answered;
    co_return end;
}

asio::awaitable<attempt_end> streaming_call::attempt(const selected_replica& selected,
                                                     replica_balancer::call& slot)
{
    const auto cancel = std::make_shared<http_cancel>();
    call_.cancel->set_close_hook([cancel] { cancel->cancel(); });
    const scope_guard unlink([this] { call_.cancel->set_close_hook(nullptr); });
    stall_detector::hooks hooks;
    hooks.should_end = [this, &selected](const silent_attempt& seen) {
        return should_end(selected, seen);
    };
    hooks.end = [cancel] { cancel->cancel(); };
    stall_detector detector(call_.context.executor, std::move(hooks), selected.first_event);
    attempt_state state{selected, slot, detector, monotonic_clock::now()};
    http_request request = call_.attempt(selected.replica.head_id, last_event_);
    http_call_options options =
        call_.options(usable_time_left(), head_incarnation(selected.replica));
    options.cancel = cancel;
    auto opened = co_await call_.context.http->open(selected.replica.head_address,
                                                    std::move(request), options);
    attempt_end end;
    if (opened && !call_.cancel->cancelled()) {
        end = co_await read_answer(**opened, state);
    }
    else if (!opened) {
        const http_failure& failed = opened.failure();
        end.result =
            failed.code == http_error::not_sent ? attempt_result::not_run : attempt_result::broken;
        end.reason = failed.reason;
    }
    if (call_.cancel->cancelled()) {
        end.result = attempt_result::caller_left;
        co_return end;
    }
    if (detector.has_ended_attempt()) {
        // Other connections to the head may have stalled too.
        call_.context.http->close_idle_connections(selected.replica.head_address);
        end.reason = std::string("stalled; a slot at another replica is ") +
                     (reserved_slot_ ? "taken" : "not taken yet");
    }
    const time_point now = monotonic_clock::now();
    if (opened && end.result == attempt_result::not_run) {
        call_.context.replica_lb->note_refusal(selected, now);
    }
    else if (end.result == attempt_result::not_run || end.result == attempt_result::broken) {
        call_.context.replica_lb->exclude(selected.replica.epoch, now + exclusion_after_failure);
    }
    co_return end;
}

bool streaming_call::may_retry(const attempt_end& ended)
{
    const bool repeatable = call_.route->retry != retry_rule::never;
    const bool safe = ended.result == attempt_result::not_run || repeatable;
    return safe && call_.end.runs < call_.route->max_attempts && call_.end.sends < max_sends &&
           call_.time_left() > deadline_margin && (retry_paid_ || call_.take_retry());
}

duration streaming_call::retry_after() const
{
    const double part = random_fraction(call_.context.random);
    const duration usual =
        min_retry_after + std::chrono::duration_cast<duration>(retry_after_spread * part);
    return paused_until_ ? std::max<duration>(usual, *paused_until_ - monotonic_clock::now())
                         : usual;
}

asio::awaitable<void> streaming_call::finish(attempt_end last)
{
    if (last.result == attempt_result::caller_left || call_.cancel->cancelled()) {
        call_.end.outcome = "caller_left";
        call_.exchange.abort();
        co_return;
    }
    if (last.result == attempt_result::complete) {
        call_.end.outcome = "complete";
        co_await call_.exchange.end_stream();
        co_return;
    }
    if (started_) {
        call_.end.outcome = "broken_off";
        call_.end.reason = last.reason;
        call_.exchange.abort();
        co_return;
    }
    if (last.result == attempt_result::answered) {
        call_.end.status = last.reply.status;
        call_.end.outcome = "backend_failed";
        co_await call_.exchange.respond(std::move(last.reply));
        co_return;
    }
    if (call_.end.runs == 0) {
        const duration wait = retry_after();
        co_await refuse(call_, 503, last.reason, wait);
        co_return;
    }
    const bool too_late = call_.time_left() <= 2 * deadline_margin;
    co_await fail(call_, too_late ? 504 : 502, last.reason);
}

asio::awaitable<void> streaming_call::run()
{
    call_.context.budget_of(call_.service).note_call();
    note_demand(call_);
    attempt_end last;
    while (true) {
        replica_queue_result granted = co_await wait_for_slot();
        if (call_.cancel->cancelled()) {
            break;
        }
        if (granted.outcome != replica_queue_outcome::admitted) {
            paused_until_ = granted.paused_until;
            const std::string refusal =
                std::string(to_text(granted.outcome)) + " (" + granted.replica_summary + ")";
            last.reason = last.reason.empty() ? refusal : last.reason + "; then " + refusal;
            break;
        }
        const selected_replica& selected = *granted.selected;
        ++call_.end.sends;
        call_.end.backend = selected.replica.head_id;
        call_.end.predicted_first = selected.first_event;
        if (call_.end.sends == 1) {
            call_.end.waited = monotonic_clock::now() - call_.arrived_at;
        }
        retry_paid_ = false;
        const time_point sent_at = monotonic_clock::now();
        last = co_await attempt(selected, *granted.slot);
        granted.slot.reset();
        call_.context.queue->admit_waiting();
        call_.end.runs += last.result == attempt_result::not_run ? 0 : 1;
        const bool over = last.result == attempt_result::complete ||
                          last.result == attempt_result::caller_left ||
                          (last.result == attempt_result::answered && started_);
        if (over) {
            break;
        }
        tried_.insert(selected.replica.epoch);
        call_log.write("attempt_failed",
                       {{"request", call_.parameters.id},
                        {"replica", selected.replica.name},
                        {"head", selected.replica.head_id},
                        {"running", std::to_string(selected.running)},
                        {"predicted_ms", to_ms_text(selected.first_event)},
                        {"after_ms", to_ms_text(monotonic_clock::now() - sent_at)},
                        {"events", std::to_string(call_.end.events)},
                        {"reason", last.reason}});
        if (!may_retry(last)) {
            break;
        }
    }
    co_await finish(std::move(last));
}

} // namespace

asio::awaitable<void> relay_stream(relayed_call& call)
{
    streaming_call run(call);
    co_await run.run();
}

} // namespace chervildyke
