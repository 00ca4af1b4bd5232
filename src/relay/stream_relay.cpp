/** \file
 * Implements relay_stream.
 */
#include "relay/stream_relay.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/scope_guard.h"
#include "relay/attempt_watch.h"
#include "relay/event_splitter.h"
#include "relay/gathered_body.h"
#include "routing/replica_latency_model.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log call_log("call");

constexpr std::uint32_t max_sends = 4;      // Attempts of one call, refused ones included.
constexpr duration settle_margin = 5ms;     // Before the deadline, so that the end arrives in time.
constexpr duration suspect_broken = 1500ms; // Time in which the assembly notices a lost member.
constexpr double wait_share = 0.6;          // Of the target for the first event, spent waiting for
                                            // a place at most; the rest is for the prompt.
constexpr double least_wait_share = 0.05;   // Where no full replica can be in time; places become
                                            // free more often than that.
constexpr duration moved_wait = 1200ms;  // For a place elsewhere; callers abandon a stream after a
                                         // gap of 2 s.
constexpr double late_fill_limit = 0.75; // Of a replica's places: calls that are late anyway
                                         // leave the rest to those that can be in time.
constexpr std::size_t max_error_body = 1U << 20U;  // Of an answer that is no stream.
constexpr std::size_t max_event_bytes = 1U << 20U; // Of one event; a token takes some bytes.
constexpr duration come_back_min = 800ms;          // Spreads returns over a burst.
constexpr duration come_back_spread = 1200ms;
// Of the route's timeout: callers give a new call up to 15% less, and wait up to a third of their
// time to come back.
constexpr double came_back_share = 0.84;

enum class attempt_result { complete, answered, not_run, broken, caller_gone };

struct attempt_end {
    attempt_result result = attempt_result::not_run;
    std::string reason;
    http_reply reply; // When answered with something else than a stream.
};

/** One call on its way through replicas. */
class stream_run {
  public:
    explicit stream_run(relayed_call& call) : call_(call), last_event_(call.terms.last_event) {}

    asio::awaitable<void> run();

  private:
    /** One attempt in progress. */
    struct attempt_state {
        const selected_replica& offer;
        replica_balancer::call& use;
        attempt_watch& watch;
        time_point sent_at{};
    };

    void note_demand();
    gate_request make_request() const;
    duration longest_wait(const replica_request& wanted) const;
    asio::awaitable<gate_answer> enter();
    asio::awaitable<attempt_end> attempt(const selected_replica& offer,
                                         replica_balancer::call& use);
    asio::awaitable<attempt_end> read_answer(http_stream& answer, attempt_state& state);
    asio::awaitable<attempt_end> read_error(http_stream& answer);
    asio::awaitable<attempt_end> pass_events(http_stream& answer, attempt_state& state);
    void note_event_time();
    asio::awaitable<bool> pass_event(const raw_event& event,
                                     const std::vector<http_header>& headers);
    asio::awaitable<void> finish(attempt_end last);
    bool may_go_on(const attempt_end& ended);
    bool may_move() const;
    bool gives_up(const selected_replica& offer, silent_attempt attempt);
    duration rest_of_time() const;
    duration come_back() const;
    bool came_back() const;
    bool late() const;

    relayed_call& call_;
    std::optional<std::uint64_t> last_event_; // Passed on.
    bool started_ = false;                    // The head of the answer was passed on.
    time_point last_event_at_{};
    std::set<std::uint64_t> tried_;
    std::optional<gate_answer> reserved_;    // The place for the next attempt, its retry paid.
    bool retry_paid_ = false;                // For the next attempt.
    std::optional<time_point> paused_until_; // All replicas want no calls until then.
};

bool stream_run::came_back() const
{
    const duration asked = call_.terms.time_left.value_or(call_.route->timeout);
    return asked < call_.route->timeout * came_back_share;
}

/** Counts the replica time that a new call asks for; a call that came back was counted before. */
void stream_run::note_demand()
{
    const backend_service* service = call_.services->find_service(call_.service);
    const model_profile* model = service->engine->find(call_.terms.model);
    if (model == nullptr || came_back()) {
        return;
    }
    const double usual = service->engine->usual_answer_tokens;
    const double most = call_.terms.max_answer_tokens > 0 ? call_.terms.max_answer_tokens : usual;
    const double answer =
        std::min(most, call_.terms.answer_hint.value_or(static_cast<std::uint32_t>(usual)) * 1.0);
    const replica_latency_model pace(*service->engine, *model);
    call_.context.demand.note(call_.terms.model,
                              pace.replica_time_of_call(call_.terms.prompt_tokens, answer),
                              call_.arrived_at);
}

bool stream_run::late() const
{
    const duration spent = monotonic_clock::now() - call_.arrived_at;
    return came_back() || started_ || spent > call_.route->latency_target;
}

/** \return how long a new call may wait for a place and still be in time. */
duration stream_run::longest_wait(const replica_request& wanted) const
{
    const duration target = call_.route->latency_target;
    const auto share = [target](double part) {
        return std::chrono::duration_cast<duration>(target * part);
    };
    const duration spare = target - call_.context.board->first_event_of_full_batch(wanted);
    return std::clamp(spare, share(least_wait_share), share(wait_share));
}

gate_request stream_run::make_request() const
{
    gate_request request;
    request.wanted.service = call_.service;
    request.wanted.model = call_.terms.model;
    request.wanted.prompt_tokens = call_.terms.prompt_tokens;
    request.wanted.tried = tried_;
    request.team = call_.team;
    request.urgency = 100 - std::min(call_.priority, 99U);
    const time_point now = monotonic_clock::now();
    request.wait_until = call_.arrived_at + longest_wait(request.wanted);
    if (call_.end.sends > 0) {
        // Its caller has waited for a replica that failed it, or holds half an answer.
        request.goes_on = true;
        request.urgency += 100;
        request.wait_until = now + moved_wait;
    }
    else if (late()) {
        request.fill_limit = late_fill_limit;
    }
    request.wait_until = std::min(request.wait_until, call_.deadline);
    return request;
}

asio::awaitable<gate_answer> stream_run::enter()
{
    if (reserved_) {
        gate_answer place = std::move(*reserved_);
        reserved_.reset();
        co_return place;
    }
    gate_request request = make_request();
    co_return co_await call_.context.gate->enter(std::move(request));
}

duration stream_run::rest_of_time() const
{
    return std::max<duration>(call_.time_left() - settle_margin, 1ms);
}

/** True when the attempt in progress may be followed by another although it may have run. */
bool stream_run::may_move() const
{
    return call_.route->retry == retry_rule::resumable &&
           call_.end.runs + 1 < call_.route->max_attempts && call_.end.sends < max_sends &&
           call_.has_retry();
}

/** Judges a silent attempt; where it moves, takes the retry and, if there is one, the place. */
bool stream_run::gives_up(const selected_replica& offer, silent_attempt attempt)
{
    const time_point now = monotonic_clock::now();
    replica_balancer& board = *call_.context.board;
    attempt.replica_silence = board.silence_of(offer.replica.epoch, now);
    attempt.replica_is_serving = board.serving().contains(offer.replica.epoch);
    replacement_attempt other{may_move(), duration::zero()};
    if (choose_stall_action(attempt, other, call_.time_left()) == stall_action::wait) {
        return false; // However good the other place.
    }
    gate_request request = make_request();
    request.wanted.tried.insert(offer.replica.epoch);
    const replica_selection found = board.choose(request.wanted, request.fill_limit, now);
    other.first_event = found.selected ? std::optional(found.selected->first_event) : std::nullopt;
    const stall_action verdict = choose_stall_action(attempt, other, call_.time_left());
    if (verdict == stall_action::failover) {
        reserved_ = call_.context.gate->enter_now(request);
        retry_paid_ = call_.take_retry();
    }
    return verdict != stall_action::wait;
}

void stream_run::note_event_time()
{
    const time_point now = monotonic_clock::now();
    if (++call_.end.events == 1) {
        call_.end.first_event = now - call_.arrived_at;
        call_.context.metrics
            ->distribution("chervil_first_event_seconds", {{"route", call_.route->name}})
            .note(*call_.end.first_event);
    }
    else {
        call_.end.longest_gap = std::max<duration>(call_.end.longest_gap, now - last_event_at_);
    }
    last_event_at_ = now;
}

asio::awaitable<bool> stream_run::pass_event(const raw_event& event,
                                             const std::vector<http_header>& headers)
{
    if (!started_) {
        started_ = true;
        http_reply head = pass_on(200, headers, {});
        call_.end.status = 200;
        if (!co_await call_.exchange.start_stream(std::move(head))) {
            co_return false;
        }
    }
    note_event_time();
    const bool written = co_await call_.exchange.write_chunk(event.bytes);
    co_return written;
}

asio::awaitable<attempt_end> stream_run::pass_events(http_stream& answer, attempt_state& state)
{
    attempt_end end;
    end.result = attempt_result::broken;
    event_splitter splitter;
    bool heard = false;
    const std::vector<http_header> headers = answer.headers();
    while (true) {
        auto part = co_await answer.read_some(rest_of_time());
        if (call_.cancel->cancelled()) {
            end.result = attempt_result::caller_gone;
            co_return end;
        }
        if (!part) {
            end.reason = part.last_reason().reason;
            co_return end;
        }
        if (part->empty()) {
            break;
        }
        splitter.feed(*part);
        while (const auto event = splitter.next()) {
            // Bytes that end no event are no progress.
            const time_point now = monotonic_clock::now();
            if (!heard) {
                heard = true;
                call_.context.board->note_first_event(state.offer, now - state.sent_at);
            }
            state.use.note_event(now);
            state.watch.note_heard(state.offer.event_gap);
            if (event->id && last_event_ && *event->id <= *last_event_) {
                continue; // Passed on before.
            }
            if (event->id && last_event_ && *event->id != *last_event_ + 1) {
                end.reason = "the stream skips an event";
                co_return end;
            }
            if (!co_await pass_event(*event, headers)) {
                end.result = attempt_result::caller_gone;
                co_return end;
            }
            if (event->id) {
                last_event_ = event->id;
            }
        }
        if (splitter.rest_bytes() > max_event_bytes) {
            end.reason = "an event is longer than " + std::to_string(max_event_bytes) + " bytes";
            co_return end;
        }
    }
    if (splitter.has_rest()) {
        end.reason = "the stream ended within an event";
        co_return end;
    }
    if (!started_) {
        end.reason = "the stream had no event";
        co_return end;
    }
    end.result = attempt_result::complete;
    co_return end;
}

asio::awaitable<attempt_end> stream_run::read_answer(http_stream& answer, attempt_state& state)
{
    attempt_end end;
    const std::vector<http_header> headers = answer.headers();
    const answer_marks marks = call_.context.dialect.read_marks(answer.status(), headers);
    call_.take_notice(head_incarnation(state.offer.replica), marks);
    if (marks.not_run) {
        end.reason = "the head refused with " + std::to_string(answer.status()) +
                     (marks.at_fault.empty() ? "" : ", at fault: " + marks.at_fault);
        co_return end;
    }
    if (answer.status() == 200 && marks.sealed) {
        co_return co_await pass_events(answer, state);
    }
    if (answer.status() < 300) {
        end.result = attempt_result::broken;
        end.reason = "the head does not vouch for its answer";
        co_return end;
    }
    co_return co_await read_error(answer);
}

asio::awaitable<attempt_end> stream_run::read_error(http_stream& answer)
{
    attempt_end end;
    end.result = attempt_result::broken;
    byte_budget::share held(call_.context.gathered);
    auto body = co_await gather_body(answer, max_error_body, held, call_.deadline - settle_margin);
    if (!body) {
        end.reason = body.last_reason().reason;
        co_return end;
    }
    end.reason = "the head answered " + std::to_string(answer.status());
    end.reply = pass_on(answer.status(), answer.headers(), std::move(*body));
    end.result = attempt_result::answered;
    co_return end;
}

asio::awaitable<attempt_end> stream_run::attempt(const selected_replica& offer,
                                                 replica_balancer::call& use)
{
    const auto cancel = std::make_shared<http_cancel>();
    call_.cancel->set_close([cancel] { cancel->cancel(); });
    const scope_guard unlink([this] { call_.cancel->set_close(nullptr); });
    attempt_watch::hooks hooks;
    hooks.gives_up = [this, &offer](const silent_attempt& seen) { return gives_up(offer, seen); };
    hooks.end = [cancel] { cancel->cancel(); };
    attempt_watch watch(call_.context.executor, std::move(hooks), offer.first_event);
    attempt_state state{offer, use, watch, monotonic_clock::now()};
    http_request request = call_.attempt(offer.replica.head_id, last_event_);
    http_call_options options = call_.options(rest_of_time(), head_incarnation(offer.replica));
    options.cancel = cancel;
    auto opened =
        co_await call_.context.http->open(offer.replica.head_address, std::move(request), options);
    attempt_end end;
    if (opened && !call_.cancel->cancelled()) {
        end = co_await read_answer(**opened, state);
    }
    else if (!opened) {
        const http_failure& failed = opened.last_reason();
        end.result =
            failed.code == http_error::not_sent ? attempt_result::not_run : attempt_result::broken;
        end.reason = failed.reason;
    }
    if (call_.cancel->cancelled()) {
        end.result = attempt_result::caller_gone;
        co_return end;
    }
    if (watch.gave_up()) {
        // Its other connections may be silent too.
        call_.context.http->forget(offer.replica.head_address);
        end.reason = std::string("given up while silent; the next place is ") +
                     (reserved_ ? "taken" : "to be found");
    }
    const time_point now = monotonic_clock::now();
    if (opened && end.result == attempt_result::not_run) {
        call_.context.board->note_refusal(offer, now);
    }
    else if (end.result == attempt_result::not_run || end.result == attempt_result::broken) {
        call_.context.board->exclude(offer.replica.epoch, now + suspect_broken);
    }
    co_return end;
}

bool stream_run::may_go_on(const attempt_end& ended)
{
    const bool repeatable = call_.route->retry != retry_rule::never;
    const bool safe = ended.result == attempt_result::not_run || repeatable;
    return safe && call_.end.runs < call_.route->max_attempts && call_.end.sends < max_sends &&
           call_.time_left() > settle_margin && (retry_paid_ || call_.take_retry());
}

duration stream_run::come_back() const
{
    const double part = random_fraction(call_.context.random);
    const duration usual =
        come_back_min + std::chrono::duration_cast<duration>(come_back_spread * part);
    return paused_until_ ? std::max<duration>(usual, *paused_until_ - monotonic_clock::now())
                         : usual;
}

asio::awaitable<void> stream_run::finish(attempt_end last)
{
    if (last.result == attempt_result::caller_gone || call_.cancel->cancelled()) {
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
        const duration wait = come_back();
        co_await refuse(call_, 503, last.reason, wait);
        co_return;
    }
    const bool too_late = call_.time_left() <= 2 * settle_margin;
    co_await fail(call_, too_late ? 504 : 502, last.reason);
}

asio::awaitable<void> stream_run::run()
{
    call_.context.budget_of(call_.service).note_call();
    note_demand();
    attempt_end last;
    while (true) {
        gate_answer admitted = co_await enter();
        if (call_.cancel->cancelled()) {
            break;
        }
        if (admitted.verdict != gate_verdict::admitted) {
            paused_until_ = admitted.paused_until;
            const std::string verdict =
                std::string(to_text(admitted.verdict)) + " (" + admitted.seen + ")";
            last.reason = last.reason.empty() ? verdict : last.reason + "; then " + verdict;
            break;
        }
        const selected_replica& offer = *admitted.offer;
        ++call_.end.sends;
        call_.end.backend = offer.replica.head_id;
        call_.end.predicted_first = offer.first_event;
        if (call_.end.sends == 1) {
            call_.end.waited = monotonic_clock::now() - call_.arrived_at;
        }
        retry_paid_ = false;
        const time_point sent_at = monotonic_clock::now();
        last = co_await attempt(offer, *admitted.use);
        admitted.use.reset();
        call_.context.gate->pump();
        call_.end.runs += last.result == attempt_result::not_run ? 0 : 1;
        const bool over = last.result == attempt_result::complete ||
                          last.result == attempt_result::caller_gone ||
                          (last.result == attempt_result::answered && started_);
        if (over) {
            break;
        }
        tried_.insert(offer.replica.epoch);
        call_log.write("attempt_failed",
                       {{"request", call_.terms.id},
                        {"replica", offer.replica.name},
                        {"head", offer.replica.head_id},
                        {"running", std::to_string(offer.running)},
                        {"predicted_ms", to_ms_text(offer.first_event)},
                        {"after_ms", to_ms_text(monotonic_clock::now() - sent_at)},
                        {"events", std::to_string(call_.end.events)},
                        {"reason", last.reason}});
        if (!may_go_on(last)) {
            break;
        }
    }
    co_await finish(std::move(last));
}

} // namespace

asio::awaitable<void> relay_stream(relayed_call& call)
{
    stream_run run(call);
    co_await run.run();
}

} // namespace chervildyke
