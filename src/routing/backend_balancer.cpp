/** \file
 * Implements backend_balancer.
 */
#include "routing/backend_balancer.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace chervildyke {

namespace {

constexpr std::size_t max_known_backends = 4096;

} // namespace

backend_balancer::backend_balancer(std::string failure_domain, random_source random,
                                   backend_balancer_settings settings)
    : failure_domain_(std::move(failure_domain)), random_(std::move(random)), settings_(settings)
{
}

std::optional<std::string>
backend_balancer::choose(const std::vector<backend_candidate>& candidates,
                         const std::set<std::string>& tried, time_point now)
{
    std::vector<std::string> local;
    std::vector<std::string> remote;
    for (const backend_candidate& backend : candidates) {
        const std::string& address = backend.address;
        if (tried.count(address) > 0 || !may_call(address, now)) {
            continue;
        }
        (backend.failure_domain == failure_domain_ ? local : remote).push_back(address);
    }
    const auto best_local = less_loaded_of_two(local);
    const auto best_remote = less_loaded_of_two(remote);
    if (!best_local || !best_remote) {
        return best_local ? best_local : best_remote;
    }
    const bool much_busier =
        in_flight(*best_local) > in_flight(*best_remote) + settings_.domain_advantage;
    return much_busier ? best_remote : best_local;
}

void backend_balancer::note_start(const std::string& address)
{
    if (backends_.size() >= max_known_backends) {
        std::erase_if(backends_, [](const auto& entry) { return entry.second.in_flight == 0; });
    }
    ++backends_[address].in_flight;
}

void backend_balancer::note_end(const std::string& address, backend_result result, time_point now)
{
    backend_state& state = backends_[address];
    state.in_flight -= std::min<std::uint32_t>(state.in_flight, 1);
    if (result == backend_result::cancelled) {
        return;
    }
    if (result == backend_result::answered) {
        state.failures = 0;
        return;
    }
    ++state.failures;
    duration ejection_time = settings_.base_ejection_time;
    for (std::uint32_t i = settings_.consecutive_failures; i < state.failures; ++i) {
        ejection_time = std::min(2 * ejection_time, settings_.max_ejection_time);
    }
    if (state.failures >= settings_.consecutive_failures) {
        state.ejected_until = now + ejection_time;
    }
}

std::uint32_t backend_balancer::in_flight(const std::string& address) const
{
    const auto found = backends_.find(address);
    return found == backends_.end() ? 0 : found->second.in_flight;
}

bool backend_balancer::may_call(const std::string& address, time_point now) const
{
    const auto found = backends_.find(address);
    if (found == backends_.end() || found->second.failures < settings_.consecutive_failures) {
        return true;
    }
    const bool is_trial = found->second.in_flight == 0;
    return now >= found->second.ejected_until && is_trial;
}

std::optional<std::string>
backend_balancer::less_loaded_of_two(const std::vector<std::string>& candidates)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::string& first = candidates[random_below(random_, candidates.size())];
    const std::string& second = candidates[random_below(random_, candidates.size())];
    return in_flight(second) < in_flight(first) ? second : first;
}

void backend_balancer::forget_failures(const std::string& address)
{
    const auto found = backends_.find(address);
    if (found != backends_.end()) {
        found->second.failures = 0;
        found->second.ejected_until = time_point{};
    }
}

} // namespace chervildyke
