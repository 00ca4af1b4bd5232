/** \file
 * Implements backend_notices.
 */
#include "routing/backend_notices.h"

#include <algorithm>

namespace chervildyke {

void backend_notices::note(const backend_incarnation& server, const backend_notice& notice,
                           time_point now)
{
    const auto before = servers_.find(server.id);
    if (before != servers_.end() && before->second.started_ms > server.started_ms) {
        return;
    }
    if (!notice.leaving && !notice.pause) {
        return; // Revokes nothing: a server leaves for the rest of its incarnation.
    }
    if (before == servers_.end() && servers_.size() >= settings_.max_servers) {
        forget_oldest();
    }
    server_state& known = servers_[server.id];
    if (known.started_ms != server.started_ms) {
        known = {server.started_ms, {}, {}};
    }
    known.last_notice_at = now;
    const backend_availability current = known.availability;
    known.availability.leaving = current.leaving || notice.leaving;
    if (notice.pause) {
        const time_point until = now + std::min(*notice.pause, settings_.max_pause);
        known.availability.paused_until = std::max(until, current.paused_until.value_or(until));
    }
    if (known.availability != current && on_change) {
        on_change(server, known.availability);
    }
}

bool backend_notices::may_call(const backend_incarnation& server, time_point now) const
{
    const backend_availability current = availability(server, now);
    return !current.leaving && !current.paused_until;
}

backend_availability backend_notices::availability(const backend_incarnation& server,
                                                   time_point now) const
{
    const auto found = servers_.find(server.id);
    if (found == servers_.end() || found->second.started_ms != server.started_ms) {
        return {};
    }
    backend_availability current = found->second.availability;
    if (current.paused_until && *current.paused_until <= now) {
        current.paused_until.reset();
    }
    return current;
}

void backend_notices::forget_oldest()
{
    const auto oldest =
        std::min_element(servers_.begin(), servers_.end(), [](const auto& a, const auto& b) {
            return a.second.last_notice_at < b.second.last_notice_at;
        });
    servers_.erase(oldest);
}

} // namespace chervildyke
