/** \file
 * Implements streaming_call.
 */
#include "relay/streaming_call.h"

#include <algorithm>
#include <utility>

#include <boost/asio.hpp>

#include "base/scope_guard.h"
#include "relay/attempt_log.h"
#include "relay/call_demand.h"
#include "relay/event_forwarder.h"
#include "relay/event_splitter.h"
#include "relay/prompt_guard.h"
#include "relay/stall_detector.h"
#include "relay/whole_body.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

// Reserved for an answer of the node itself. A stream that has begun needs none and lasts until the
// deadline.
constexpr duration deadline_margin = 5ms;

// After the deadline, a stream that has begun goes on for so long while bytes of it are ready or
// are being written, so that an end that has arrived is delivered.
constexpr duration late_limit = 20ms;

// How long a replica is excluded after a failed attempt; the assembly detects a lost member in this
// time.
constexpr duration exclusion_after_failure = 1500ms;

constexpr std::size_t max_error_body_bytes = 1U << 20U; // Bytes of an answer that is not a stream.
constexpr std::size_t max_event_bytes = 1U << 20U;      // Of one event; a token takes a few bytes.

// The Retry-After of refusals is drawn at random, so that the calls of a burst return spread out.
constexpr duration min_retry_after = 800ms;
constexpr duration retry_after_spread = 1200ms;

} // namespace

duration streaming_call::usable_time_left() const
{
    const duration reserved = forwarder_.started() ? duration::zero() : deadline_margin;
    return std::max<duration>(call_.time_left() - reserved, 1ms);
}

asio::awaitable<attempt_end> streaming_call::forward_events(http_stream& answer,
                                                            running_attempt& running)
{
    attempt_end end;
    end.result = attempt_result::broken;
    event_splitter splitter;
    const auto held = reserve_for_answer(call_.context.buffered, running.selected.replica.head_id,
                                         running.cancel);
    bool has_event = false;
    const std::vector<http_header> headers = answer.headers();
    while (true) {
        if (call_.time_left() <= -late_limit) {
            end.reason = "the stream outlasts the deadline"; // Though bytes are always ready.
            co_return end;
        }
        auto part = co_await answer.read_some(usable_time_left());
        if (running.cancel->cancelled()) {
            end.reason = held->taken_away() ? no_memory_reason : "cancelled";
            co_return end;
        }
        if (!part) {
            end.reason = part.failure().reason;
            end.server_broke_off = part.failure().code == http_error::broken;
            co_return end;
        }
        if (part->empty()) {
            break;
        }
        splitter.feed(*part);
        if (!held->try_resize(splitter.partial_event_bytes())) {
            end.reason = no_memory_reason;
            co_return end;
        }
        while (const auto event = splitter.next()) {
            if (event->is_comment() && attempts_.size() > 1) {
                continue; // It does not show that this attempt will be answered.
            }
            // Only whole events count as progress.
            const time_point now = monotonic_clock::now();
            if (!has_event) {
                has_event = true;
                call_.context.replica_lb->note_first_event(running.selected, now - running.sent_at);
            }
            running.slot->note_event(now);
            prompt_.note_event(++running.events);
            running.detector->record_event(running.selected.event_gap);
            const event_position position = forwarder_.position_of(*event);
            if (position == event_position::already_forwarded) {
                continue;
            }
            if (position != event_position::next) {
                end.reason = "expected event " + std::to_string(*forwarder_.last_event() + 1) +
                             ", found " +
                             (event->id ? "event " + std::to_string(*event->id)
                                        : std::string("an event without an id"));
                co_return end;
            }
            supersede_others(running);
            forwarding_ = true;
            const bool forwarded = co_await forwarder_.forward(*event, headers);
            forwarding_ = false;
            running.detector->record_event(running.selected.event_gap);
            if (!forwarded) {
                end.result = attempt_result::caller_left;
                co_return end;
            }
        }
        if (splitter.partial_event_bytes() > max_event_bytes) {
            end.reason = "an event is longer than " + std::to_string(max_event_bytes) + " bytes";
            co_return end;
        }
        held->try_resize(splitter.partial_event_bytes());
    }
    if (splitter.has_partial_event() || !forwarder_.started()) {
        end.reason = splitter.has_partial_event() ? "the stream ended within an event"
                                                  : "the stream ended without an event";
        end.server_broke_off = true;
        co_return end;
    }
    prompt_.note_whole_answer();
    end.result = attempt_result::complete;
    co_return end;
}

asio::awaitable<attempt_end> streaming_call::read_answer(http_stream& answer,
                                                         running_attempt& running)
{
    attempt_end end;
    const std::vector<http_header> headers = answer.headers();
    const answer_metadata metadata = call_.context.codec.read_metadata(answer.status(), headers);
    call_.record_notice(head_incarnation(running.selected.replica), metadata);
    if (metadata.not_run) {
        end.reason = "the head refused with " + std::to_string(answer.status()) +
                     (metadata.at_fault.empty() ? "" : ", caused by " + metadata.at_fault);
        co_return end;
    }
    if (answer.status() == 200 && metadata.sealed) {
        co_return co_await forward_events(answer, running);
    }
    if (answer.status() < 300) {
        end.result = attempt_result::broken;
        end.reason = "the answer of the head has no seal";
        co_return end;
    }
    if (promises_not_run(answer.status())) {
        end.result = attempt_result::broken;
        end.reason = untrue_refusal_reason(answer.status());
        co_return end;
    }
    co_return co_await read_error(answer, running);
}

asio::awaitable<attempt_end> streaming_call::read_error(http_stream& answer,
                                                        const running_attempt& running)
{
    attempt_end end;
    end.result = attempt_result::broken;
    const auto held = reserve_for_answer(call_.context.buffered, running.selected.replica.head_id,
                                         running.cancel);
    auto body = co_await read_whole_body(answer, max_error_body_bytes, *held,
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

asio::awaitable<attempt_end> streaming_call::attempt(running_attempt& running)
{
    const serving_replica& replica = running.selected.replica;
    http_request request =
        call_.attempt(replica.head_id, forwarder_.last_event(), running.priority);
    http_call_options options = call_.options(usable_time_left(), head_incarnation(replica));
    options.cancel = running.cancel;
    auto opened = co_await call_.open(head_incarnation(replica), replica.head_address,
                                      std::move(request), options);
    attempt_end end;
    if (opened && !running.cancel->cancelled()) {
        end = co_await read_answer(**opened, running);
    }
    else if (!opened) {
        const http_failure& failed = opened.failure();
        end.result =
            failed.code == http_error::not_sent ? attempt_result::not_run : attempt_result::broken;
        end.reason = failed.reason;
        end.server_broke_off = failed.code == http_error::unanswered;
    }
    else { // Cancelled just after the server had begun to answer.
        end.result = attempt_result::broken;
        end.reason = "cancelled";
    }
    if (call_.cancel->cancelled()) {
        end.result = attempt_result::caller_left;
        co_return end;
    }
    if (node_stops_) {
        co_return end; // Nothing is held against the server, and there is no time to ask it.
    }
    if (running.superseded) {
        end.result = attempt_result::superseded;
        end.reason = "another attempt received an event first";
    }
    else if (running.detector->has_ended_attempt()) {
        end.reason = "stalled";
    }
    else if (end.server_broke_off) {
        co_await prompt_.check_crash(running.selected, running.events);
    }
    note_failure(running, end, opened.has_value());
    co_return end;
}

/** Excludes the replica of a failed attempt for a while.
 * \param answered true if the head of an answer has arrived.
 */
void streaming_call::note_failure(const running_attempt& running, const attempt_end& end,
                                  bool answered) const
{
    const serving_replica& replica = running.selected.replica;
    const bool lost_to_silence =
        running.detector->has_ended_attempt() ||
        (end.result == attempt_result::superseded && running.has_replacement);
    if (lost_to_silence) {
        // Other connections to the head may have stalled too.
        call_.context.http->close_idle_connections(replica.head_address);
    }
    const time_point now = monotonic_clock::now();
    if (answered && end.result == attempt_result::not_run) {
        call_.context.replica_lb->note_refusal(running.selected, now);
    }
    else if (end.result == attempt_result::not_run || end.result == attempt_result::broken ||
             lost_to_silence) {
        call_.context.replica_lb->exclude(replica.epoch, now + exclusion_after_failure);
    }
}

void streaming_call::start(replica_queue_result granted)
{
    running_attempt& running = *attempts_.emplace_back(std::make_unique<running_attempt>());
    running.selected = std::move(*granted.selected);
    running.slot = std::move(granted.slot);
    running.sent_at = monotonic_clock::now();
    if (granted.rank) {
        running.priority = engine_priority(*granted.rank);
    }
    const selected_replica& selected = running.selected;
    if (call_.context.cold) {
        call_.context.cold->note_sent(selected.replica.service, selected.replica.head_id,
                                      running.sent_at);
    }
    tried_.insert(selected.replica.epoch);
    ++call_.end.sends;
    call_.end.backend = selected.replica.head_id;
    call_.end.predicted_first = selected.first_event;
    if (call_.end.sends == 1) {
        call_.end.waited = running.sent_at - call_.arrived_at;
    }
    stall_detector::hooks hooks;
    hooks.should_end = [this, &running](const silent_attempt& silent) {
        return should_end(running, silent);
    };
    hooks.end = [&running] { running.cancel->cancel(); };
    running.detector = std::make_unique<stall_detector>(call_.context.executor, std::move(hooks),
                                                        selected.first_event);
    asio::co_spawn(call_.context.executor, attempt(running),
                   [this, &running](const std::exception_ptr& thrown, attempt_end end) {
                       if (thrown) {
                           end.result = attempt_result::broken;
                           end.reason = "the attempt threw an exception";
                       }
                       running.end = std::move(end);
                       attempt_ended_.cancel();
                   });
}

/** Cancels the attempts that have received no event yet, or not for a long time. */
void streaming_call::supersede_others(const running_attempt& winner)
{
    for (const auto& other : attempts_) {
        if (other.get() != &winner && !other->superseded) {
            other->superseded = true;
            other->cancel->cancel();
        }
    }
}

/** Ends the connection if an event is still being written to the caller after the deadline. */
void streaming_call::limit_writes()
{
    write_limit_->expires_at(call_.deadline + late_limit);
    write_limit_->async_wait(
        [this, limit = std::weak_ptr<timer>(write_limit_)](const boost::system::error_code& error) {
            if (!error && !limit.expired() && forwarding_) {
                caller_is_late_ = true;
                call_.exchange.abort();
            }
        });
}

/** Waits until an attempt ends, and removes it. */
asio::awaitable<attempt_end> streaming_call::wait_for_end()
{
    const auto has_ended = [](const auto& running) { return running->end.has_value(); };
    auto ended = std::find_if(attempts_.begin(), attempts_.end(), has_ended);
    while (ended == attempts_.end()) {
        attempt_ended_.expires_at(time_point::max());
        co_await attempt_ended_.async_wait(asio::as_tuple(asio::use_awaitable));
        ended = std::find_if(attempts_.begin(), attempts_.end(), has_ended);
    }
    const std::unique_ptr<running_attempt> done = std::move(*ended);
    attempts_.erase(ended);
    done->slot.reset();
    if (attempts_.empty()) {
        prompt_.note_end();
    }
    if (done->end->result == attempt_result::complete) {
        call_.context.queue->note_held(call_.service, call_.parameters.model,
                                       monotonic_clock::now() - done->sent_at);
    }
    call_.context.queue->admit_waiting();
    attempt_end end = std::move(*done->end);
    (end.result == attempt_result::not_run ? call_.end.not_run : call_.end.runs) += 1;
    if (end.result != attempt_result::complete && end.result != attempt_result::caller_left) {
        log_failed_attempt(call_, done->selected, done->sent_at, end.reason);
    }
    co_return end;
}

/** Cancels the attempts in progress and waits until they have ended. */
asio::awaitable<void> streaming_call::end_attempts()
{
    cancel_attempts();
    while (!attempts_.empty()) {
        co_await wait_for_end();
    }
}

bool streaming_call::may_retry(const attempt_end& ended)
{
    const bool repeatable = call_.route->retry != retry_rule::never;
    const bool safe =
        forwarder_.can_resume() && (ended.result == attempt_result::not_run || repeatable);
    return safe && !node_stops_ && prompt_.may_retry() &&
           call_.end.runs < call_.route->max_attempts && call_.end.sends < max_sends &&
           call_.time_left() > deadline_margin && call_.take_retry();
}

duration streaming_call::retry_after() const
{
    const double part = random_fraction(call_.context.random);
    const duration usual = expected_room_.value_or(
        min_retry_after + std::chrono::duration_cast<duration>(retry_after_spread * part));
    return paused_until_ ? std::max<duration>(usual, *paused_until_ - monotonic_clock::now())
                         : usual;
}

asio::awaitable<void> streaming_call::finish(attempt_end last)
{
    if (caller_is_late_) {
        call_.end.outcome = "broken_off";
        call_.end.reason = "the caller did not take the stream by the deadline";
        co_return;
    }
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
    if (forwarder_.started()) {
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
        co_await refuse(call_, 503, last.reason, retry_after());
        co_return;
    }
    const bool too_late = call_.time_left() <= 2 * deadline_margin;
    co_await fail(call_, too_late ? 504 : 502, last.reason);
}

/** Waits for a slot and starts an attempt there.
 * \param last the previous attempt's end; its reason is extended if no slot is granted.
 * \return false if no attempt was started.
 */
asio::awaitable<bool> streaming_call::start_next(attempt_end& last)
{
    replica_queue_request request = make_slot_request(call_, tried_, forwarder_.started());
    guarded_slot slot = co_await prompt_.admit(std::move(request));
    if (call_.cancel->cancelled()) {
        co_return false;
    }
    if (slot.refusal) {
        const std::string& reason = slot.refusal->reason;
        last.reason = last.reason.empty() ? reason : last.reason + "; then " + reason;
        paused_until_ = slot.refusal->until;
        expected_room_ = slot.granted.retry_after;
        co_return false;
    }
    start(std::move(slot.granted));
    co_return true;
}

asio::awaitable<void> streaming_call::run()
{
    if (const auto refused = prompt_.find_refusal()) {
        paused_until_ = refused->until;
        co_await refuse(call_, 503, refused->reason, retry_after());
        co_return;
    }
    call_.context.budget_of(call_.service).note_call();
    note_demand(call_);
    call_.cancel->set_close_hook([this] { cancel_attempts(); });
    const auto end_hooks = call_.context.end_hooks;
    (*end_hooks)[this] = [this] { end_before_stop(); };
    const scope_guard unlink([this, end_hooks] {
        call_.cancel->set_close_hook(nullptr);
        end_hooks->erase(this);
    });
    limit_writes();
    attempt_end last;
    bool over = !co_await start_next(last);
    while (!over) {
        while (!over && !attempts_.empty()) {
            attempt_end ended = co_await wait_for_end();
            over = ended.result == attempt_result::complete ||
                   ended.result == attempt_result::caller_left;
            if (ended.result != attempt_result::superseded) {
                last = std::move(ended);
            }
        }
        const bool failed_midway = last.result == attempt_result::answered && forwarder_.started();
        over = over || failed_midway || !may_retry(last);
        if (!over) {
            over = !co_await start_next(last);
        }
    }
    co_await end_attempts();
    co_await finish(std::move(last));
}

} // namespace chervildyke
