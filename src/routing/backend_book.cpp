/** \file
 * Implements the choice among the backend servers of a plain service.
 */
#include "routing/backend_book.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace chervildyke {

namespace {

constexpr std::size_t max_known_backends = 4096;

} // namespace

backend_book::backend_book(std::string failure_domain, random_source random,
                           breaker_settings settings)
    : failure_domain_(std::move(failure_domain)), random_(std::move(random)), settings_(settings)
{
}

std::optional<std::string> backend_book::choose(const std::vector<backend_candidate>& candidates,
                                                const std::set<std::string>& tried, time_point now)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const backend_candidate& backend : candidates) {
        const std::string& address = backend.address;
        if (tried.count(address) > 0 || !may_call(address, now)) {
            continue;
        }
        (backend.failure_domain == failure_domain_ ? near : far).push_back(address);
    }
    const auto nearby = less_busy(near);
    const auto remote = less_busy(far);
    if (!nearby || !remote) {
        return nearby ? nearby : remote;
    }
    const bool much_busier = in_flight(*nearby) > in_flight(*remote) + settings_.domain_advantage;
    return much_busier ? remote : nearby;
}

void backend_book::note_start(const std::string& address)
{
    if (backends_.size() >= max_known_backends) {
        std::erase_if(backends_, [](const auto& entry) { return entry.second.in_flight == 0; });
    }
    ++backends_[address].in_flight;
}

void backend_book::note_end(const std::string& address, backend_result result, time_point now)
{
    backend_state& state = backends_[address];
    state.in_flight -= std::min<std::uint32_t>(state.in_flight, 1);
    if (result == backend_result::answered) {
        state.failures = 0;
        return;
    }
    ++state.failures;
    duration exclusion = settings_.shortest_exclusion;
    for (std::uint32_t i = settings_.failures; i < state.failures; ++i) {
        exclusion = std::min(2 * exclusion, settings_.longest_exclusion);
    }
    if (state.failures >= settings_.failures) {
        state.excluded_until = now + exclusion;
    }
}

std::uint32_t backend_book::in_flight(const std::string& address) const
{
    const auto found = backends_.find(address);
    return found == backends_.end() ? 0 : found->second.in_flight;
}

bool backend_book::may_call(const std::string& address, time_point now) const
{
    const auto found = backends_.find(address);
    if (found == backends_.end() || found->second.failures < settings_.failures) {
        return true;
    }
    const bool is_trial = found->second.in_flight == 0;
    return now >= found->second.excluded_until && is_trial;
}

std::optional<std::string> backend_book::less_busy(const std::vector<std::string>& candidates)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::string& first = candidates[random_below(random_, candidates.size())];
    const std::string& second = candidates[random_below(random_, candidates.size())];
    return in_flight(second) < in_flight(first) ? second : first;
}

} // namespace chervildyke
