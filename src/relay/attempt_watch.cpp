/** \file
 * Implements attempt_watch.
 */
#include "relay/attempt_watch.h"

#include <utility>

#include <boost/asio.hpp>

namespace chervildyke {

namespace {

constexpr duration look_interval = 100ms; // While it is silent; counts of peers come as often.

} // namespace

struct attempt_watch::state : std::enable_shared_from_this<attempt_watch::state> {
    state(const boost::asio::any_io_executor& executor, hooks with, duration expected)
        : wake(executor), use(std::move(with)), heard_at(monotonic_clock::now())
    {
        seen.expected = expected;
    }

    void look_after(duration pause)
    {
        wake.expires_after(pause);
        wake.async_wait([watching = weak_from_this()](const boost::system::error_code& error) {
            const auto self = watching.lock();
            if (self && !error && !self->ended) {
                self->look();
            }
        });
    }

    void look()
    {
        seen.own_silence = monotonic_clock::now() - heard_at;
        const duration usual = tolerated_silence(seen);
        if (seen.own_silence < usual) {
            look_after(usual - seen.own_silence);
            return;
        }
        if (!use.gives_up(seen)) {
            look_after(look_interval);
            return;
        }
        gave_up = true;
        use.end();
    }

    timer wake;
    hooks use;
    time_point heard_at;
    silent_attempt seen;
    bool gave_up = false;
    bool ended = false; // The attempt; a timer that has expired may still call.
};

attempt_watch::attempt_watch(const boost::asio::any_io_executor& executor, hooks use,
                             duration expected)
    : state_(std::make_shared<state>(executor, std::move(use), expected))
{
    state_->look_after(tolerated_silence(state_->seen));
}

attempt_watch::~attempt_watch()
{
    state_->ended = true;
    state_->wake.cancel();
}

void attempt_watch::note_heard(duration expected)
{
    state_->heard_at = monotonic_clock::now();
    state_->seen.expected = expected;
    state_->seen.starting = false;
}

bool attempt_watch::gave_up() const
{
    return state_->gave_up;
}

} // namespace chervildyke
