/** \file
 * Implements relay_plain_call.
 */
#include "relay/plain_relay.h"

#include <algorithm>
#include <exception>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio.hpp>

#include "base/event_log.h"
#include "base/scope_guard.h"
#include "relay/whole_body.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log call_log("call");

constexpr std::uint32_t max_sends = 4;      // Attempts of one call, including refused ones.
constexpr duration min_retry_after = 200ms; // Longer than the queue of a backend server lasts.

// An evacuation lasts until an operator withdraws it, so a call that returns sooner would only be
// refused again.
constexpr duration evacuated_retry_after = 1s;

constexpr duration deadline_margin = 3ms; // Reserved for sending the answer before the deadline.

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
    http_reply reply;                               // Set if answered.
    std::shared_ptr<byte_budget::reservation> held; // The memory of the reply's body.
    bool backend_failed = false; // The backend server answered with a 5xx status.
    std::string reason;
};

std::vector<backend_candidate> candidates_of(const relayed_call& call, time_point now)
{
    std::vector<backend_candidate> candidates;
    for (const auto& [id, listed] : call.context.backends->all()) {
        const backend_availability current =
            call.context.availability(incarnation_of(listed.server), now);
        const bool usable = listed.server.service == call.service && !listed.server.leaving &&
                            !current.leaving && !current.paused_until;
        if (usable && (!call.context.cold || call.context.cold->may_call(call.service, id, now))) {
            candidates.push_back({listed.server.address, listed.server.failure_domain});
        }
    }
    return candidates;
}

/** \return the Retry-After of a refusal: min_retry_after, or the time until the first server may be
 * called if all of them have asked for a pause or are cold, or evacuated_retry_after if only
 * evacuated servers are left.
 */
duration retry_after(const relayed_call& call)
{
    const time_point now = monotonic_clock::now();
    std::optional<time_point> soonest;
    bool has_evacuated = false;
    for (const auto& [id, listed] : call.context.backends->all()) {
        if (listed.server.service != call.service || listed.server.leaving) {
            continue;
        }
        const backend_availability current =
            call.context.availability(incarnation_of(listed.server), now);
        has_evacuated = has_evacuated || call.context.is_evacuated(listed.server.failure_domain);
        const time_point warm_at =
            call.context.cold ? call.context.cold->next_call_at(call.service, id, now) : now;
        const time_point until = std::max(current.paused_until.value_or(now), warm_at);
        if (!current.leaving && (!soonest || until < *soonest)) {
            soonest = until;
        }
    }
    if (!soonest && has_evacuated) {
        return evacuated_retry_after;
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

/** \param cancel ends the attempt. */
asio::awaitable<attempt_end> send_once(relayed_call& call, backend target,
                                       std::shared_ptr<http_cancel> cancel)
{
    http_request request = call.attempt(target.id, call.parameters.last_event);
    http_call_options options = call.options(call.time_left(), incarnation_of(target));
    options.cancel = cancel;
    if (call.route->retry == retry_rule::never) {
        options.max_idle_time = max_idle_for_single_runs;
    }
    auto opened =
        co_await call.open(incarnation_of(target), target.address, std::move(request), options);
    if (!opened) {
        co_return attempt_end_of(opened.failure());
    }
    http_stream& answer = **opened;
    const std::vector<http_header> headers = answer.headers();
    const answer_metadata metadata = call.context.codec.read_metadata(answer.status(), headers);
    call.record_notice(incarnation_of(target), metadata);
    auto held = reserve_for_answer(call.context.buffered, target.id, std::move(cancel));
    auto body = co_await read_whole_body(answer, call.context.limits.max_answer_bytes, *held,
                                         call.deadline);
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
    if (promises_not_run(status)) {
        end.reason = untrue_refusal_reason(status);
        co_return end;
    }
    end.backend_failed = status >= 500;
    end.result = attempt_result::answered;
    end.reply = make_forwarded_reply(status, headers, std::move(*body));
    end.held = std::move(held);
    co_return end;
}

/** One call with its attempts at backend servers. Beside an attempt that is slow, another one may
 * run at another server. The first answer that is no failure is forwarded, and the other attempts
 * are cancelled then.
 */
class plain_call : public std::enable_shared_from_this<plain_call> {
  public:
    explicit plain_call(relayed_call& call)
        : call_(call), attempt_ended_(call.context.executor), slow_(call.context.executor),
          slow_after_(std::max<duration>(call.route->latency_target * attempt_timeout_per_target,
                                         min_attempt_timeout))
    {
    }

    asio::awaitable<void> run();

  private:
    /** One attempt in progress. */
    struct running_attempt {
        backend target;
        time_point sent_at{};
        std::shared_ptr<http_cancel> cancel = std::make_shared<http_cancel>();
        bool was_slow = false;          // Another attempt was started because of this one.
        std::optional<attempt_end> end; // Set once the attempt has ended.
        std::exception_ptr thrown;
    };

    bool start_next();
    void watch_slow_attempts(time_point at);
    void start_beside_slow_attempts();
    bool has_attempts_left() const;
    bool may_send_again(const attempt_end& ended);
    void cancel_attempts();
    asio::awaitable<attempt_end> wait_for_end();
    void note_end(const running_attempt& done, const attempt_end& end);
    asio::awaitable<void> end_attempts();
    asio::awaitable<void> finish(attempt_end last);

    relayed_call& call_;
    std::set<std::string> tried_; // Addresses of servers.
    std::vector<std::unique_ptr<running_attempt>> attempts_;
    timer attempt_ended_; // Cancelled when an attempt ends.
    timer slow_;          // Expires when all attempts in progress are slow.
    duration slow_after_;
    bool ending_ = false;                       // No further attempt is started.
    bool node_stops_ = false;                   // The process ends before the servers answer.
    std::optional<attempt_end> failure_answer_; // The last answer with a 5xx status.
    std::exception_ptr thrown_;                 // By an attempt.
};

/** Starts an attempt at a server that was not tried.
 * \return false if there is none.
 */
bool plain_call::start_next()
{
    const time_point now = monotonic_clock::now();
    const auto address = call_.context.backend_lb->choose(candidates_of(call_, now), tried_, now);
    const backend* listed = address ? backend_at(call_, *address) : nullptr;
    if (listed == nullptr) {
        return false;
    }
    running_attempt& running = *attempts_.emplace_back(std::make_unique<running_attempt>());
    running.target = *listed;
    running.sent_at = now;
    tried_.insert(*address);
    ++call_.end.sends;
    call_.end.backend = running.target.id;
    call_.context.backend_lb->note_start(running.target.address);
    if (call_.context.cold) {
        call_.context.cold->note_sent(call_.service, running.target.id, now);
    }
    asio::co_spawn(call_.context.executor, send_once(call_, running.target, running.cancel),
                   [this, &running](const std::exception_ptr& thrown, attempt_end end) {
                       running.thrown = thrown;
                       running.end = std::move(end);
                       attempt_ended_.cancel();
                   });
    watch_slow_attempts(now + slow_after_);
    return true;
}

void plain_call::watch_slow_attempts(time_point at)
{
    slow_.expires_at(at);
    slow_.async_wait([watching = weak_from_this()](const boost::system::error_code& error) {
        const auto current = watching.lock();
        if (!error && current) {
            current->start_beside_slow_attempts();
        }
    });
}

/** Starts another attempt if it may; until then the servers may still answer. */
void plain_call::start_beside_slow_attempts()
{
    if (ending_ || attempts_.empty() || call_.time_left() <= deadline_margin) {
        return;
    }
    const time_point now = monotonic_clock::now();
    const bool has_server =
        call_.context.backend_lb->choose(candidates_of(call_, now), tried_, now).has_value();
    if (call_.route->retry == retry_rule::idempotent && has_attempts_left() && has_server &&
        call_.take_retry()) {
        for (const auto& running : attempts_) {
            running->was_slow = true;
        }
        start_next();
        return;
    }
    watch_slow_attempts(now + slow_attempt_interval);
}

/** \return true if another attempt may run after or beside those in progress, each of which may be
 * executed.
 */
bool plain_call::has_attempts_left() const
{
    return call_.end.runs + attempts_.size() < call_.route->max_attempts &&
           call_.end.sends < max_sends && !call_.cancel->cancelled() && !node_stops_;
}

bool plain_call::may_send_again(const attempt_end& ended)
{
    const bool safe =
        ended.result == attempt_result::not_run || call_.route->retry == retry_rule::idempotent;
    return safe && has_attempts_left() && call_.time_left() > deadline_margin && call_.take_retry();
}

void plain_call::cancel_attempts()
{
    for (const auto& running : attempts_) {
        running->cancel->cancel();
    }
}

/** Waits until an attempt ends, and removes it. With an answer at hand, which is a failure, the
 * attempts in progress end early enough to send it before the deadline.
 */
asio::awaitable<attempt_end> plain_call::wait_for_end()
{
    const auto has_ended = [](const auto& running) { return running->end.has_value(); };
    auto ended = std::find_if(attempts_.begin(), attempts_.end(), has_ended);
    time_point until = failure_answer_ ? call_.deadline - deadline_margin : time_point::max();
    while (ended == attempts_.end()) {
        attempt_ended_.expires_at(until);
        co_await attempt_ended_.async_wait(asio::as_tuple(asio::use_awaitable));
        if (monotonic_clock::now() >= until) {
            cancel_attempts();
            until = time_point::max();
        }
        ended = std::find_if(attempts_.begin(), attempts_.end(), has_ended);
    }
    const std::unique_ptr<running_attempt> done = std::move(*ended);
    attempts_.erase(ended);
    attempt_end end = std::move(*done->end);
    if (done->thrown) {
        thrown_ = done->thrown;
        end.result = attempt_result::may_have_run;
    }
    note_end(*done, end);
    co_return end;
}

/** Records the end of an attempt for the call, the balancer and the log. */
void plain_call::note_end(const running_attempt& done, const attempt_end& end)
{
    const bool healthy = end.result == attempt_result::answered && !end.backend_failed;
    // An attempt that was cancelled because of another's answer shows a failure only if it was
    // slow.
    const bool answered = healthy || end.backend_failed;
    const bool cancelled = call_.cancel->cancelled() || node_stops_ || (ending_ && !done.was_slow);
    call_.context.backend_lb->note_end(done.target.address,
                                       answered    ? backend_result::answered
                                       : cancelled ? backend_result::cancelled
                                                   : backend_result::failed,
                                       monotonic_clock::now());
    call_.end.runs += end.result == attempt_result::not_run ? 0 : 1;
    if (healthy || call_.cancel->cancelled()) {
        return;
    }
    if (end.backend_failed) {
        failure_answer_ = end;
    }
    call_log.write(
        "attempt_failed",
        {{"request", call_.parameters.id},
         {"backend", done.target.id},
         {"may_have_run", end.result == attempt_result::not_run ? "no" : "yes"},
         {"reason", ending_              ? "another attempt was answered first"
                    : end.backend_failed ? "the backend server answered with a 5xx status"
                                         : end.reason}});
}

/** Cancels the attempts in progress and waits until they have ended. */
asio::awaitable<void> plain_call::end_attempts()
{
    ending_ = true;
    slow_.cancel();
    cancel_attempts();
    while (!attempts_.empty()) {
        co_await wait_for_end();
    }
}

asio::awaitable<void> plain_call::finish(attempt_end last)
{
    if (call_.cancel->cancelled()) {
        call_.end.outcome = "caller_left";
        call_.exchange.abort();
        co_return;
    }
    if (last.result != attempt_result::answered && failure_answer_) {
        last = std::move(*failure_answer_);
    }
    if (last.result == attempt_result::answered) {
        call_.end.status = last.reply.status;
        call_.end.outcome = last.backend_failed ? "backend_failed" : "complete";
        // From now on only the caller determines how long the memory is held.
        last.held->transfer("caller of " + call_.parameters.id, [this] {
            call_.end.outcome = "broken_off";
            call_.end.reason = "no memory is left, and its caller reads the largest answer slowly";
            call_.exchange.abort();
        });
        co_await call_.exchange.respond(std::move(last.reply));
        co_return;
    }
    if (call_.end.runs == 0) {
        const duration wait = retry_after(call_);
        co_await refuse(call_, 503, last.reason, wait);
        co_return;
    }
    if (node_stops_) {
        last.reason = "this node stopped before the call had ended";
    }
    const bool too_late = call_.time_left() <= deadline_margin;
    co_await fail(call_, too_late ? 504 : 502, last.reason);
}

asio::awaitable<void> plain_call::run()
{
    call_.context.budget_of(call_.service).note_call();
    call_.cancel->set_close_hook([this] { cancel_attempts(); });
    const auto end_hooks = call_.context.end_hooks;
    (*end_hooks)[this] = [this] {
        node_stops_ = true;
        cancel_attempts();
    };
    const scope_guard unlink([this, end_hooks] {
        call_.cancel->set_close_hook(nullptr);
        end_hooks->erase(this);
    });
    attempt_end last;
    last.reason = "no backend server of the service can be called";
    bool over = !start_next();
    while (!over) {
        last = co_await wait_for_end();
        over = (last.result == attempt_result::answered && !last.backend_failed) ||
               call_.cancel->cancelled() || thrown_;
        if (over) {
            break;
        }
        if (attempts_.empty()) {
            over = !may_send_again(last) || !start_next();
        }
        else {
            watch_slow_attempts(attempts_.back()->sent_at + slow_after_);
        }
    }
    co_await end_attempts();
    if (thrown_) {
        std::rethrow_exception(thrown_);
    }
    co_await finish(std::move(last));
}

} // namespace

asio::awaitable<void> relay_plain_call(relayed_call& call)
{
    const auto running = std::make_shared<plain_call>(call);
    co_await running->run();
}

} // namespace chervildyke
