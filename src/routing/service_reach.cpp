/** \file
 * Implements service_reach.
 */
#include "routing/service_reach.h"

#include <algorithm>

namespace chervildyke {

void service_reach::note_failure(const std::string& service, const std::string& server,
                                 time_point now)
{
    state& current = services_[service];
    std::erase_if(current.failed, [this, now](const auto& failure) {
        return now - failure.second > settings_.suspect_window;
    });
    current.failed[server] = now;
}

void service_reach::note_answer(const std::string& service, bool new_connection, time_point now)
{
    state& current = services_[service];
    current.answered_at = now;
    if (new_connection) {
        current.failed.clear();
    }
}

std::size_t service_reach::recent_failures(const state& current, time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(current.failed.begin(), current.failed.end(), [this, now](const auto& entry) {
            return now - entry.second <= settings_.suspect_window;
        }));
}

bool service_reach::needs_check(const state& current, time_point now) const
{
    const std::size_t failures = recent_failures(current, now);
    const bool is_silent =
        !current.answered_at || now - *current.answered_at > settings_.answer_gap;
    return current.cut_off || failures >= settings_.suspect_servers || (failures > 0 && is_silent);
}

std::size_t service_reach::begin_check(const std::string& service, time_point now)
{
    const auto found = services_.find(service);
    if (found == services_.end() || found->second.checking) {
        return 0;
    }
    state& current = found->second;
    const duration pause = current.cut_off ? settings_.recheck_interval : settings_.check_holdoff;
    const bool paused = current.checked_at && now - *current.checked_at < pause;
    if (paused || !needs_check(current, now)) {
        return 0;
    }
    current.checking = true;
    return current.cut_off ? settings_.servers_per_recheck : settings_.servers_per_check;
}

bool service_reach::end_check(const std::string& service, std::size_t tried, std::size_t connected,
                              time_point now)
{
    state& current = services_[service];
    const bool was_cut_off = current.cut_off;
    current.checking = false;
    current.checked_at = now;
    if (connected > 0) {
        current.failed.clear();
    }
    current.cut_off = tried > 0 && connected == 0;
    return current.cut_off != was_cut_off;
}

bool service_reach::is_cut_off(const std::string& service) const
{
    const auto found = services_.find(service);
    return found != services_.end() && found->second.cut_off;
}

bool service_reach::is_suspect(const std::string& service, time_point now) const
{
    const auto found = services_.find(service);
    return found != services_.end() && recent_failures(found->second, now) > 0;
}

std::vector<std::string> service_reach::cut_off_services() const
{
    std::vector<std::string> names;
    for (const auto& [name, current] : services_) {
        if (current.cut_off) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace chervildyke
