/** \file
 * Implements relay_plain_call.
 */
#include "relay/plain_relay.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/event_log.h"
#include "base/scope_guard.h"
#include "relay/whole_body.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log call_log("call");

constexpr std::uint32_t max_sends = 4;      // Attempts of one call, including refused ones.
constexpr duration min_retry_after = 200ms; // Longer than the queue of a backend server lasts.
constexpr duration deadline_margin = 3ms;   // Reserved for sending the answer before the deadline.

// Time limit of an attempt after which another may follow, as a multiple of the latency target.
constexpr int attempt_timeout_per_target = 2;
constexpr duration min_attempt_timeout = 50ms;

// A connection that has been idle for longer may have been closed without notice. A call that must
// not run twice would then fail with an unknown outcome.
constexpr duration max_idle_for_single_runs = 2s;

/** Whether an attempt was answered, and if not, whether it may have been executed. */
enum class attempt_result { answered, not_run, may_have_run };

struct attempt_end {
    attempt_result result = attempt_result::not_run;
    http_reply reply;            // Set if answered.
    bool backend_failed = false; // The backend server answered with a 5xx status.
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

/** \return the Retry-After of a refusal: min_retry_after, or the end of the shortest pause if all
 * servers have asked for one.
 */
duration retry_after(const relayed_call& call)
{
    const time_point now = monotonic_clock::now();
    std::optional<time_point> soonest;
    for (const auto& [id, listed] : call.context.backends->all()) {
        if (listed.server.service != call.service || listed.server.leaving) {
            continue;
        }
        const backend_availability current =
            call.context.notices->availability(incarnation_of(listed.server), now);
        const time_point until = current.paused_until.value_or(now);
        if (!current.leaving && (!soonest || until < *soonest)) {
            soonest = until;
        }
    }
    return std::max<duration>(min_retry_after, soonest ? *soonest - now : duration::zero());
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

attempt_end attempt_end_of(const http_failure& failure)
{
    attempt_end end;
    end.result = failure.code == http_error::not_sent ? attempt_result::not_run
                                                      : attempt_result::may_have_run;
    end.reason = failure.reason;
    return end;
}

asio::awaitable<attempt_end> send_once(relayed_call& call, backend target, duration timeout)
{
    const time_point until = monotonic_clock::now() + timeout;
    http_request request = call.attempt(target.id, call.parameters.last_event);
    http_call_options options = call.options(timeout, incarnation_of(target));
    if (call.route->retry == retry_rule::never) {
        options.max_idle_time = max_idle_for_single_runs;
    }
    auto opened = co_await call.context.http->open(target.address, std::move(request), options);
    if (!opened) {
        co_return attempt_end_of(opened.failure());
    }
    http_stream& answer = **opened;
    const std::vector<http_header> headers = answer.headers();
    const answer_metadata metadata = call.context.codec.read_metadata(answer.status(), headers);
    call.record_notice(incarnation_of(target), metadata);
    byte_budget::reservation held(call.context.buffered);
    const time_point end_of_answer = std::min<time_point>(call.deadline, until);
    auto body =
        co_await read_whole_body(answer, call.context.limits.max_answer_bytes, held, end_of_answer);
    if (!body) {
        co_return attempt_end_of(body.failure());
    }
    attempt_end end;
    const unsigned status = answer.status();
    if (metadata.not_run) {
        end.reason = "the backend server refused with " + std::to_string(status);
        co_return end;
    }
    end.result = attempt_result::may_have_run;
    if (!metadata.sealed && status < 300) {
        end.reason = "the answer of the backend server has no seal";
        co_return end;
    }
    end.backend_failed = status >= 500;
    end.result = attempt_result::answered;
    end.reply = make_forwarded_reply(status, headers, std::move(*body));
    co_return end;
}

/** \return the time limit of one attempt. A call that may be retried gets a shorter one than its
 * deadline, so that time is left for another server; its last attempt gets all the time left.
 */
duration attempt_timeout(const relayed_call& call, bool last_attempt)
{
    if (call.route->retry == retry_rule::never || last_attempt) {
        return call.time_left();
    }
    const duration target = call.route->latency_target;
    return std::max<duration>(target * attempt_timeout_per_target, min_attempt_timeout);
}

bool may_send_again(relayed_call& call, const attempt_end& ended)
{
    const bool safe =
        ended.result == attempt_result::not_run || call.route->retry == retry_rule::idempotent;
    const bool runs_left = call.end.runs < call.route->max_attempts;
    const bool time_left = call.time_left() > deadline_margin;
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
    std::optional<attempt_end> failure_answer; // The last answer with a 5xx status.
    while (true) {
        const time_point now = monotonic_clock::now();
        const auto address = call.context.backend_lb->choose(candidates_of(call, now), tried, now);
        const backend* listed = address ? backend_at(call, *address) : nullptr;
        if (listed == nullptr) {
            break;
        }
        const backend target = *listed;
        tried.insert(*address);
        ++call.end.sends;
        call.end.backend = target.id;
        const bool final_attempt = call.end.runs + 1 >= call.route->max_attempts;
        call.context.backend_lb->note_start(target.address);
        last = co_await send_once(call, target, attempt_timeout(call, final_attempt));
        const bool healthy = last.result == attempt_result::answered && !last.backend_failed;
        call.context.backend_lb->note_end(target.address,
                                          healthy || call.cancel->cancelled() || last.backend_failed
                                              ? backend_result::answered
                                              : backend_result::failed,
                                          monotonic_clock::now());
        call.end.runs += last.result == attempt_result::not_run ? 0 : 1;
        if (healthy || call.cancel->cancelled()) {
            break;
        }
        if (last.backend_failed) {
            failure_answer = last;
        }
        call_log.write(
            "attempt_failed",
            {{"request", call.parameters.id},
             {"backend", target.id},
             {"may_have_run", last.result == attempt_result::not_run ? "no" : "yes"},
             {"reason", last.backend_failed ? "the backend server answered with a 5xx status"
                                            : last.reason}});
        if (!may_send_again(call, last)) {
            break;
        }
    }
    if (call.cancel->cancelled()) {
        call.end.outcome = "caller_left";
        call.exchange.abort();
        co_return;
    }
    if (last.result != attempt_result::answered && failure_answer) {
        last = std::move(*failure_answer);
    }
    if (last.result == attempt_result::answered) {
        call.end.status = last.reply.status;
        call.end.outcome = last.backend_failed ? "backend_failed" : "complete";
        co_await call.exchange.respond(std::move(last.reply));
        co_return;
    }
    if (call.end.runs == 0) {
        const duration wait = retry_after(call);
        co_await refuse(call, 503, last.reason, wait);
        co_return;
    }
    const bool too_late = call.time_left() <= deadline_margin;
    co_await fail(call, too_late ? 504 : 502, last.reason);
}

} // namespace chervildyke
