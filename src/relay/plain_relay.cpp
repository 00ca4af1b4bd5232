/** \file
 * Implements relay_plain_call.
 */
#include "relay/plain_relay.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/event_log.h"
#include "base/scope_guard.h"
#include "relay/gathered_body.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log call_log("call");

constexpr std::uint32_t max_sends = 4;  // Attempts of one call, refused ones included.
constexpr duration come_back = 200ms;   // A backend server's queue is shorter than that.
constexpr duration settle_margin = 3ms; // Before the caller's deadline, so that the answer arrives.
// A connection that was idle for longer may have died unnoticed; a call that must not run twice
// would then end without an answer.
constexpr duration max_idle_for_single_runs = 2s;

/** How one attempt ended. */
enum class attempt_result { answered, not_run, may_have_run };

struct attempt_end {
    attempt_result result = attempt_result::not_run;
    http_reply reply;         // When answered.
    bool own_failure = false; // The backend server answered that it failed.
    std::string reason;
};

std::vector<backend_candidate> candidates_of(const relayed_call& call, time_point now)
{
    std::vector<backend_candidate> candidates;
    for (const auto& [id, listed] : call.context.backends->all()) {
        const bool usable = listed.server.service == call.service && !listed.server.leaving &&
                            call.context.notices->may_call(incarnation_of(listed.server), now);
        if (usable) {
            candidates.push_back({listed.server.address, listed.server.failure_domain});
        }
    }
    return candidates;
}

/** \return after how long a server may take the call: at once, unless all have asked for a pause.
 */
duration come_back_to(const relayed_call& call)
{
    const time_point now = monotonic_clock::now();
    std::optional<time_point> soonest;
    for (const auto& [id, listed] : call.context.backends->all()) {
        if (listed.server.service != call.service || listed.server.leaving) {
            continue;
        }
        const backend_availability held =
            call.context.notices->availability(incarnation_of(listed.server), now);
        const time_point until = held.paused_until.value_or(now);
        if (!held.leaving && (!soonest || until < *soonest)) {
            soonest = until;
        }
    }
    return std::max<duration>(come_back, soonest ? *soonest - now : duration::zero());
}

const backend* backend_at(const relayed_call& call, const std::string& address)
{
    for (const auto& [id, listed] : call.context.backends->all()) {
        if (listed.server.address == address && listed.server.service == call.service) {
            return &listed.server;
        }
    }
    return nullptr;
}

attempt_end read_failure(const http_failure& failure)
{
    attempt_end end;
    end.result = failure.code == http_error::not_sent ? attempt_result::not_run
                                                      : attempt_result::may_have_run;
    end.reason = failure.reason;
    return end;
}

asio::awaitable<attempt_end> send_once(relayed_call& call, backend target, duration patience)
{
    const time_point until = monotonic_clock::now() + patience;
    http_request request = call.attempt(target.id, call.terms.last_event);
    http_call_options options = call.options(patience, incarnation_of(target));
    if (call.route->retry == retry_rule::never) {
        options.max_idle = max_idle_for_single_runs;
    }
    auto opened = co_await call.context.http->open(target.address, std::move(request), options);
    if (!opened) {
        co_return read_failure(opened.last_reason());
    }
    http_stream& answer = **opened;
    const std::vector<http_header> headers = answer.headers();
    const answer_marks marks = call.context.dialect.read_marks(answer.status(), headers);
    call.take_notice(incarnation_of(target), marks);
    byte_budget::share held(call.context.gathered);
    const time_point end_of_answer = std::min<time_point>(call.deadline, until);
    auto body =
        co_await gather_body(answer, call.context.limits.max_answer_bytes, held, end_of_answer);
    if (!body) {
        co_return read_failure(body.last_reason());
    }
    attempt_end end;
    const unsigned status = answer.status();
    if (marks.not_run) {
        end.reason = "the backend server refused with " + std::to_string(status);
        co_return end;
    }
    end.result = attempt_result::may_have_run;
    if (!marks.sealed && status < 300) {
        end.reason = "the backend server does not vouch for its answer";
        co_return end;
    }
    end.own_failure = status >= 500;
    end.result = attempt_result::answered;
    end.reply = pass_on(status, headers, std::move(*body));
    co_return end;
}

/** Repeatable calls that take longer than this are tried elsewhere as well as time permits. */
duration patience_of(const relayed_call& call, bool last_attempt)
{
    if (call.route->retry == retry_rule::never || last_attempt) {
        return call.time_left();
    }
    const duration target = call.route->latency_target;
    return std::max<duration>(target * 2, 50ms);
}

bool may_send_again(relayed_call& call, const attempt_end& ended)
{
    const bool safe =
        ended.result == attempt_result::not_run || call.route->retry == retry_rule::idempotent;
    const bool runs_left = call.end.runs < call.route->max_attempts;
    const bool time_left = call.time_left() > settle_margin;
    return safe && runs_left && time_left && call.end.sends < max_sends &&
           !call.cancel->cancelled() && call.take_retry();
}

} // namespace

asio::awaitable<void> relay_plain_call(relayed_call& call)
{
    std::set<std::string> tried;
    attempt_end last;
    last.reason = "no backend server of the service can be called";
    call.context.budget_of(call.service).note_call();
    std::optional<attempt_end> kept; // A failure that a backend server answered.
    while (true) {
        const time_point now = monotonic_clock::now();
        const auto address = call.context.book->choose(candidates_of(call, now), tried, now);
        const backend* listed = address ? backend_at(call, *address) : nullptr;
        if (listed == nullptr) {
            break;
        }
        const backend target = *listed;
        tried.insert(*address);
        ++call.end.sends;
        call.end.backend = target.id;
        const bool final_attempt = call.end.runs + 1 >= call.route->max_attempts;
        call.context.book->note_start(target.address);
        last = co_await send_once(call, target, patience_of(call, final_attempt));
        const bool healthy = last.result == attempt_result::answered && !last.own_failure;
        call.context.book->note_end(target.address,
                                    healthy || call.cancel->cancelled() || last.own_failure
                                        ? backend_result::answered
                                        : backend_result::failed,
                                    monotonic_clock::now());
        call.end.runs += last.result == attempt_result::not_run ? 0 : 1;
        if (healthy || call.cancel->cancelled()) {
            break;
        }
        if (last.own_failure) {
            kept = last;
        }
        call_log.write(
            "attempt_failed",
            {{"request", call.terms.id},
             {"backend", target.id},
             {"may_have_run", last.result == attempt_result::not_run ? "no" : "yes"},
             {"reason", last.own_failure ? "the backend server answered a failure" : last.reason}});
        if (!may_send_again(call, last)) {
            break;
        }
    }
    if (call.cancel->cancelled()) {
        call.end.outcome = "caller_left";
        call.exchange.abort();
        co_return;
    }
    if (last.result != attempt_result::answered && kept) {
        last = std::move(*kept);
    }
    if (last.result == attempt_result::answered) {
        call.end.status = last.reply.status;
        call.end.outcome = last.own_failure ? "backend_failed" : "complete";
        co_await call.exchange.respond(std::move(last.reply));
        co_return;
    }
    if (call.end.runs == 0) {
        const duration wait = come_back_to(call);
        co_await refuse(call, 503, last.reason, wait);
        co_return;
    }
    const bool too_late = call.time_left() <= settle_margin;
    co_await fail(call, too_late ? 504 : 502, last.reason);
}

} // namespace chervildyke
