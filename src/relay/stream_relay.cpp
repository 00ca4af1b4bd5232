/** \file
 * Implements relay_stream.
 */
#include "relay/stream_relay.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "relay/event_splitter.h"
#include "routing/replica_pace.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log call_log("call");

constexpr std::uint32_t max_sends = 4;      // Attempts of one call, refused ones included.
constexpr duration settle_margin = 5ms;     // Before the deadline, so that the end arrives in time.
constexpr duration suspect_broken = 1500ms; // Time in which the assembly notices a lost member.
constexpr duration suspect_refused = 250ms; // A full batch frees a place sooner than that.
constexpr double wait_share = 0.6;          // Of the target for the first event, spent waiting for
                                            // a place; the rest is for the prompt.
constexpr duration moved_wait = 1200ms;  // For a place elsewhere; callers abandon a stream after a
                                         // gap of 2 s.
constexpr double late_fill_limit = 0.75; // Of a replica's places: calls that are late anyway
                                         // leave the rest to those that can be in time.
constexpr duration shortest_first_patience = 450ms; // Above the first event of a full batch.
constexpr duration shortest_gap_patience = 400ms;   // Twice the strictest target for a gap.
constexpr int patience_factor = 4;                  // Times the prediction.
constexpr duration come_back_min = 800ms;           // Spreads returns over a burst.
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
    void note_demand();
    asio::awaitable<gate_answer> enter();
    asio::awaitable<attempt_end> attempt(const replica_offer& offer, replica_board::call& use);
    asio::awaitable<attempt_end> read_answer(http_stream& answer, const replica_offer& offer,
                                             replica_board::call& use);
    asio::awaitable<attempt_end> pass_events(http_stream& answer, const replica_offer& offer,
                                             replica_board::call& use);
    asio::awaitable<bool> pass_event(const raw_event& event,
                                     const std::vector<http_header>& headers);
    asio::awaitable<void> finish(attempt_end last);
    bool may_go_on(const attempt_end& ended);
    duration patience(duration predicted, duration shortest) const;
    duration come_back() const;
    bool came_back() const;
    bool late() const;

    relayed_call& call_;
    std::optional<std::uint64_t> last_event_; // Passed on.
    bool started_ = false;                    // The head of the answer was passed on.
    std::set<std::uint64_t> tried_;
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
    const replica_pace pace(*service->engine, *model);
    call_.context.demand.note(call_.terms.model,
                              pace.share_of_full_batch(call_.terms.prompt_tokens, answer),
                              call_.arrived_at);
}

bool stream_run::late() const
{
    const duration spent = monotonic_clock::now() - call_.arrived_at;
    return came_back() || started_ || spent > call_.route->first_answer_target;
}

asio::awaitable<gate_answer> stream_run::enter()
{
    gate_request request;
    request.wanted.service = call_.service;
    request.wanted.model = call_.terms.model;
    request.wanted.prompt_tokens = call_.terms.prompt_tokens;
    request.wanted.tried = tried_;
    request.team = call_.team;
    request.urgency = 100 - std::min(call_.priority, 99U);
    const time_point now = monotonic_clock::now();
    const auto wait =
        std::chrono::duration_cast<duration>(call_.route->first_answer_target * wait_share);
    request.wait_until = call_.arrived_at + wait;
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
    co_return co_await call_.context.gate->enter(std::move(request));
}

/** How long to wait for an event before the replica is taken as stalled. */
duration stream_run::patience(duration predicted, duration shortest) const
{
    const bool may_move = call_.route->repeat == repeat_rule::resumable &&
                          call_.end.runs + 1 < call_.route->max_attempts;
    if (!may_move) {
        return std::max<duration>(call_.time_left() - settle_margin, 1ms);
    }
    return std::max(predicted * patience_factor, shortest);
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
    if (++call_.end.events == 1) {
        call_.context.metrics
            ->distribution("chervil_first_event_seconds", {{"route", call_.route->name}})
            .note(monotonic_clock::now() - call_.arrived_at);
    }
    const bool written = co_await call_.exchange.write_chunk(event.bytes);
    co_return written;
}

asio::awaitable<attempt_end>
stream_run::pass_events(http_stream& answer, const replica_offer& offer, replica_board::call& use)
{
    attempt_end end;
    end.result = attempt_result::broken;
    event_splitter splitter;
    const std::vector<http_header> headers = answer.headers();
    bool first = true;
    while (true) {
        const duration predicted = first ? offer.first_event : offer.event_gap;
        const duration limit =
            patience(predicted, first ? shortest_first_patience : shortest_gap_patience);
        const duration left = std::max<duration>(call_.time_left() - settle_margin, 1ms);
        auto part = co_await answer.read_some(std::min(limit, left));
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
        use.note_event(monotonic_clock::now());
        splitter.feed(*part);
        while (const auto event = splitter.next()) {
            if (event->id && last_event_ && *event->id <= *last_event_) {
                continue; // Passed on before.
            }
            if (event->id && last_event_ && *event->id != *last_event_ + 1) {
                end.reason = "the stream skips an event";
                co_return end;
            }
            first = false;
            if (!co_await pass_event(*event, headers)) {
                end.result = attempt_result::caller_gone;
                co_return end;
            }
            if (event->id) {
                last_event_ = event->id;
            }
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

asio::awaitable<attempt_end>
stream_run::read_answer(http_stream& answer, const replica_offer& offer, replica_board::call& use)
{
    attempt_end end;
    const std::vector<http_header> headers = answer.headers();
    const answer_marks marks = call_.context.dialect.read_marks(answer.status(), headers);
    if (marks.not_run) {
        end.reason = "the head refused with " + std::to_string(answer.status()) +
                     (marks.at_fault.empty() ? "" : ", at fault: " + marks.at_fault);
        co_return end;
    }
    if (answer.status() == 200 && marks.sealed) {
        co_return co_await pass_events(answer, offer, use);
    }
    end.result = attempt_result::broken;
    if (answer.status() < 300) {
        end.reason = "the head does not vouch for its answer";
        co_return end;
    }
    std::string body;
    while (true) {
        auto part = co_await answer.read_some(std::max<duration>(call_.time_left(), 1ms));
        if (!part) {
            end.reason = part.last_reason().reason;
            co_return end;
        }
        if (part->empty()) {
            break;
        }
        body += *part;
    }
    end.reason = "the head answered " + std::to_string(answer.status());
    end.reply = pass_on(answer.status(), headers, std::move(body));
    end.result = attempt_result::answered;
    co_return end;
}

asio::awaitable<attempt_end> stream_run::attempt(const replica_offer& offer,
                                                 replica_board::call& use)
{
    http_request request = call_.attempt(offer.replica.head_id, last_event_);
    http_call_options options = call_.options(patience(offer.first_event, shortest_first_patience));
    auto opened =
        co_await call_.context.http->open(offer.replica.head_address, std::move(request), options);
    attempt_end end;
    if (call_.cancel->cancelled()) {
        end.result = attempt_result::caller_gone;
        co_return end;
    }
    if (!opened) {
        const http_failure& failed = opened.last_reason();
        end.result =
            failed.code == http_error::not_sent ? attempt_result::not_run : attempt_result::broken;
        end.reason = failed.reason;
        const duration out = suspect_broken;
        call_.context.board->suspect(offer.replica.epoch, monotonic_clock::now() + out);
        co_return end;
    }
    end = co_await read_answer(**opened, offer, use);
    if (end.result == attempt_result::not_run || end.result == attempt_result::broken) {
        const duration out =
            end.result == attempt_result::not_run ? suspect_refused : suspect_broken;
        call_.context.board->suspect(offer.replica.epoch, monotonic_clock::now() + out);
    }
    co_return end;
}

bool stream_run::may_go_on(const attempt_end& ended)
{
    const bool repeatable = call_.route->repeat != repeat_rule::never;
    const bool safe = ended.result == attempt_result::not_run || repeatable;
    return safe && call_.end.runs < call_.route->max_attempts && call_.end.sends < max_sends &&
           call_.time_left() > settle_margin && call_.take_retry();
}

duration stream_run::come_back() const
{
    const double part = random_fraction(call_.context.random);
    return come_back_min + std::chrono::duration_cast<duration>(come_back_spread * part);
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
            const std::string verdict =
                std::string(to_text(admitted.verdict)) + " (" + admitted.seen + ")";
            last.reason = last.reason.empty() ? verdict : last.reason + "; then " + verdict;
            break;
        }
        const replica_offer& offer = *admitted.offer;
        ++call_.end.sends;
        call_.end.backend = offer.replica.head_id;
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
