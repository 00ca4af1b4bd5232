/** \file
 * Implements how a streaming_call decides about attempts at silent servers.
 */
#include "relay/attempt_log.h"
#include "relay/call_demand.h"
#include "relay/streaming_call.h"

namespace chervildyke {

/** \return true if another attempt may run beside the one in progress. */
bool streaming_call::may_fail_over() const
{
    constexpr std::size_t max_attempts_at_once = 2;
    return call_.route->retry == retry_rule::resumable && forwarder_.can_resume() &&
           attempts_.size() < max_attempts_at_once &&
           call_.end.runs + attempts_.size() < call_.route->max_attempts &&
           call_.end.sends < max_sends && !node_stops_ && call_.has_retry() && prompt_.may_retry();
}

/** Decides whether to end a silent attempt, or to start another one beside it.
 * \return true to end it.
 */
bool streaming_call::should_end(running_attempt& running, silent_attempt silent)
{
    if (forwarding_) {
        return false; // The caller is slow, not the server.
    }
    const time_point now = monotonic_clock::now();
    replica_balancer& balancer = *call_.context.replica_lb;
    const std::uint64_t epoch = running.selected.replica.epoch;
    silent.replica_silence = balancer.silence_of(epoch, now);
    silent.replica_is_serving = balancer.serving().contains(epoch);
    replacement_attempt replacement{may_fail_over(), duration::zero()};
    if (choose_stall_action(silent, replacement, call_.time_left()) == stall_action::wait) {
        return false; // Even if another replica could answer at once.
    }
    const replica_queue_request request = make_slot_request(call_, tried_, forwarder_.started());
    const replica_selection found = balancer.choose(request.wanted, request.fill_limit, now);
    replacement.first_event =
        found.selected ? std::optional(found.selected->first_event) : std::nullopt;
    switch (choose_stall_action(silent, replacement, call_.time_left())) {
    case stall_action::wait:
        return false;
    case stall_action::failover:
        if (auto granted = call_.context.queue->admit_now(request); granted && call_.take_retry()) {
            log_silence(call_, running.selected, silent, forwarder_.started(), "failover");
            running.has_replacement = true;
            start(std::move(*granted));
            return false;
        }
        if (replacement.first_event || forwarder_.started()) {
            return false; // A slot may become free, or the server may go on.
        }
        log_silence(call_, running.selected, silent, forwarder_.started(),
                    "wait for a slot elsewhere");
        return true;
    case stall_action::fail:
        if (forwarder_.started() || attempts_.size() > 1) {
            return false; // The caller can still receive the rest, or the other attempt's answer.
        }
        log_silence(call_, running.selected, silent, forwarder_.started(), "fail");
        return true;
    }
    return false;
}

} // namespace chervildyke
