/** \file
 * Implements demand_history.
 */
#include "assembly/demand_history.h"

#include <algorithm>

namespace chervildyke {

namespace {

constexpr duration sample_interval = 250ms; // The averages of a demand_meter change over seconds.

} // namespace

void demand_history::note(const demand_by_priority& demand, time_point now)
{
    while (!samples_.empty() && now - samples_.front().first > window_) {
        samples_.pop_front();
    }
    if (samples_.empty() || now - samples_.back().first >= sample_interval) {
        samples_.emplace_back(now, demand);
    }
}

std::map<std::string, recent_demand> demand_history::recent() const
{
    std::map<std::string, recent_demand> recent;
    const auto count = static_cast<double>(samples_.size());
    for (const auto& [at, sample] : samples_) {
        for (const auto& [model, parts] : sample) {
            recent_demand& sum = recent[model];
            double work = 0;
            for (const auto& [priority, rate] : parts) {
                work += rate.work_ms_per_s;
                sum.mean[priority].work_ms_per_s += rate.work_ms_per_s / count;
                sum.mean[priority].calls_per_s += rate.calls_per_s / count;
            }
            sum.peak_ms_per_s = std::max(sum.peak_ms_per_s, work);
        }
    }
    return recent;
}

} // namespace chervildyke
