/** \file
 * Implements demand_meter.
 */
#include "routing/demand_meter.h"

#include <algorithm>
#include <cmath>

#include "base/milliseconds.h"

namespace chervildyke {

demand_meter::demand_meter(duration window) : window_(window) {}

/** \return the factor by which an average falls without calls. */
double demand_meter::decay(time_point since, time_point now) const
{
    const double passed = std::chrono::duration<double>(now - since).count();
    return std::exp(-passed / std::chrono::duration<double>(window_).count());
}

double demand_meter::decayed(const rate& held, time_point now) const
{
    return held.ms_per_s * decay(held.at, now);
}

void demand_meter::note(const std::string& model, duration work, time_point now,
                        std::uint32_t priority)
{
    rate& held = rates_[model];
    const double ms = in_ms(work);
    held.ms_per_s = decayed(held, now) + ms / std::chrono::duration<double>(window_).count();
    held.at = now;
    priority_rate& part = by_priority_[model][priority];
    const double window_s = std::chrono::duration<double>(window_).count();
    const double factor = decay(part.at, now);
    part.averages.work_ms_per_s = part.averages.work_ms_per_s * factor + ms / window_s;
    part.averages.calls_per_s = part.averages.calls_per_s * factor + 1 / window_s;
    part.at = now;
    first_call_ = first_call_.value_or(now);
}

std::map<std::string, double> demand_meter::rates(time_point now) const
{
    std::map<std::string, double> rates;
    for (const auto& [model, held] : rates_) {
        rates[model] = decayed(held, now);
    }
    return rates;
}

demand_by_priority demand_meter::rates_by_priority(time_point now) const
{
    demand_by_priority rates;
    if (!first_call_) {
        return rates;
    }
    // An average over a shorter time than this says little about the rate.
    constexpr duration min_measured_time = 2s;
    const time_point measured_until = std::max(now, *first_call_ + min_measured_time);
    const double covered = 1 - decay(*first_call_, measured_until);
    for (const auto& [model, parts] : by_priority_) {
        for (const auto& [priority, part] : parts) {
            const double factor = decay(part.at, now) / covered;
            rates[model][priority] = {part.averages.work_ms_per_s * factor,
                                      part.averages.calls_per_s * factor};
        }
    }
    return rates;
}

} // namespace chervildyke
