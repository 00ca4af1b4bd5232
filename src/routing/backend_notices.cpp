/** \file
 * Implements backend_notices.
 */
#include "routing/backend_notices.h"

#include <algorithm>

namespace chervildyke {

void backend_notices::note(const backend_life& server, const backend_notice& notice, time_point now)
{
    const auto before = known_.find(server.id);
    if (before != known_.end() && before->second.started_ms > server.started_ms) {
        return;
    }
    if (!notice.leaving && !notice.pause) {
        return; // A server that has said that it leaves does not come back in this life.
    }
    if (before == known_.end() && known_.size() >= settings_.max_servers) {
        forget_oldest();
    }
    known_server& known = known_[server.id];
    if (known.started_ms != server.started_ms) {
        known = {server.started_ms, {}, {}};
    }
    known.spoke_at = now;
    const backend_standing held = known.standing;
    known.standing.leaving = held.leaving || notice.leaving;
    if (notice.pause) {
        const time_point until = now + std::min(*notice.pause, settings_.longest_pause);
        known.standing.paused_until = std::max(until, held.paused_until.value_or(until));
    }
    if (known.standing != held && on_change) {
        on_change(server, known.standing);
    }
}

bool backend_notices::may_call(const backend_life& server, time_point now) const
{
    const backend_standing held = standing(server, now);
    return !held.leaving && !held.paused_until;
}

backend_standing backend_notices::standing(const backend_life& server, time_point now) const
{
    const auto found = known_.find(server.id);
    if (found == known_.end() || found->second.started_ms != server.started_ms) {
        return {};
    }
    backend_standing held = found->second.standing;
    if (held.paused_until && *held.paused_until <= now) {
        held.paused_until.reset();
    }
    return held;
}

void backend_notices::forget_oldest()
{
    const auto oldest =
        std::min_element(known_.begin(), known_.end(), [](const auto& a, const auto& b) {
            return a.second.spoke_at < b.second.spoke_at;
        });
    known_.erase(oldest);
}

} // namespace chervildyke
