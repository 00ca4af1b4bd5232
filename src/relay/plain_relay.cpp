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

// Time of an attempt after which another may follow, as a multiple of the latency target.
constexpr int attempt_timeout_per_target = 2;
constexpr duration min_attempt_timeout = 50ms;
constexpr duration slow_attempt_interval = 50ms; // Between two checks whether another may follow.

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

/** \param cancel ends the attempt; the end of the call does so too. */
asio::awaitable<attempt_end> send_once(relayed_call& call, backend target,
                                       std::shared_ptr<http_cancel> cancel)
{
    call.cancel->set_close_hook([cancel] { cancel->cancel(); });
    const scope_guard unlink([&call] { call.cancel->set_close_hook(nullptr); });
    http_request request = call.attempt(target.id, call.parameters.last_event);
    http_call_options options = call.options(call.time_left(), incarnation_of(target));
    options.cancel = std::move(cancel);
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
    auto body =
        co_await read_whole_body(answer, call.context.limits.max_answer_bytes, held, call.deadline);
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

/** \return true if another attempt could follow the one in progress, apart from the retry budget.
 */
bool may_fail_over(const relayed_call& call, const std::set<std::string>& tried)
{
    const time_point now = monotonic_clock::now();
    return call.route->retry == retry_rule::idempotent &&
           call.end.runs + 1 < call.route->max_attempts && call.end.sends < max_sends &&
           call.context.backend_lb->choose(candidates_of(call, now), tried, now).has_value();
}

/** Ends an attempt that takes long, once another attempt may follow; until then the server may
 * still answer. Takes the retry of the other attempt from the budget.
 */
class slow_attempt_watch {
  public:
    /** \param tried the servers to which the call was sent; it outlives the watch. */
    slow_attempt_watch(relayed_call& call, const std::set<std::string>& tried)
        : state_(std::make_shared<watch_state>(call, tried))
    {
        const duration target = call.route->latency_target;
        wait(state_, std::max<duration>(target * attempt_timeout_per_target, min_attempt_timeout));
    }
    ~slow_attempt_watch() { state_->wake.cancel(); }
    slow_attempt_watch(const slow_attempt_watch&) = delete;
    slow_attempt_watch& operator=(const slow_attempt_watch&) = delete;

    const std::shared_ptr<http_cancel>& cancel() const { return state_->cancel; }

    /** \return true if the attempt was ended and its retry was taken from the budget. */
    bool has_ended_attempt() const { return state_->ended; }

  private:
    struct watch_state {
        watch_state(relayed_call& watched, const std::set<std::string>& servers)
            : call(watched), tried(servers), wake(watched.context.executor)
        {
        }

        relayed_call& call;
        const std::set<std::string>& tried;
        timer wake;
        std::shared_ptr<http_cancel> cancel = std::make_shared<http_cancel>();
        bool ended = false;
    };

    static void wait(const std::shared_ptr<watch_state>& state, duration span)
    {
        state->wake.expires_after(span);
        state->wake.async_wait(
            [watching = std::weak_ptr<watch_state>(state)](const boost::system::error_code& error) {
                const auto current = watching.lock();
                if (error || !current) {
                    return;
                }
                if (may_fail_over(current->call, current->tried) && current->call.take_retry()) {
                    current->ended = true;
                    current->cancel->cancel();
                    return;
                }
                wait(current, slow_attempt_interval);
            });
    }

    std::shared_ptr<watch_state> state_;
};

bool may_send_again(relayed_call& call, const attempt_end& ended, bool retry_paid)
{
    const bool safe =
        ended.result == attempt_result::not_run || call.route->retry == retry_rule::idempotent;
    const bool runs_left = call.end.runs < call.route->max_attempts;
    const bool time_left = call.time_left() > deadline_margin;
    return safe && runs_left && time_left && call.end.sends < max_sends &&
           !call.cancel->cancelled() && (retry_paid || call.take_retry());
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
        call.context.backend_lb->note_start(target.address);
        const slow_attempt_watch watch(call, tried);
        last = co_await send_once(call, target, watch.cancel());
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
        if (!may_send_again(call, last, watch.has_ended_attempt())) {
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
