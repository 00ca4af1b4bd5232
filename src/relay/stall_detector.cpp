/** \file
 * Implements stall_detector.
 */
#include "relay/stall_detector.h"

#include <utility>

#include <boost/asio.hpp>

namespace chervildyke {

namespace {

// Between two calls of should_end(). Peers report their usage of replicas at the same interval.
constexpr duration recheck_interval = 100ms;

} // namespace

struct stall_detector::state : std::enable_shared_from_this<stall_detector::state> {
    state(const boost::asio::any_io_executor& executor, hooks given, duration expected)
        : silence_timer(executor), callbacks(std::move(given)),
          last_event_at(monotonic_clock::now())
    {
        attempt.expected = expected;
    }

    void schedule_check(duration pause)
    {
        silence_timer.expires_after(pause);
        silence_timer.async_wait(
            [watching = weak_from_this()](const boost::system::error_code& error) {
                const auto self = watching.lock();
                if (self && !error && !self->detector_destroyed) {
                    self->check();
                }
            });
    }

    void check()
    {
        attempt.own_silence = monotonic_clock::now() - last_event_at;
        const duration tolerated = tolerated_silence(attempt);
        if (attempt.own_silence < tolerated) {
            schedule_check(tolerated - attempt.own_silence);
            return;
        }
        if (!callbacks.should_end(attempt)) {
            schedule_check(recheck_interval);
            return;
        }
        has_ended_attempt = true;
        callbacks.end();
    }

    timer silence_timer;
    hooks callbacks;
    time_point last_event_at;
    silent_attempt attempt;
    bool has_ended_attempt = false;
    // The handler of a timer that has already expired still runs after the detector's end.
    bool detector_destroyed = false;
};

stall_detector::stall_detector(const boost::asio::any_io_executor& executor, hooks callbacks,
                               duration expected)
    : state_(std::make_shared<state>(executor, std::move(callbacks), expected))
{
    state_->schedule_check(tolerated_silence(state_->attempt));
}

stall_detector::~stall_detector()
{
    state_->detector_destroyed = true;
    state_->silence_timer.cancel();
}

void stall_detector::record_event(duration expected)
{
    state_->last_event_at = monotonic_clock::now();
    state_->attempt.expected = expected;
    state_->attempt.starting = false;
}

bool stall_detector::has_ended_attempt() const
{
    return state_->has_ended_attempt;
}

} // namespace chervildyke
