/** \file
 * Implements demand_meter.
 */
#include "routing/demand_meter.h"

#include <cmath>

#include "base/milliseconds.h"

namespace chervildyke {

demand_meter::demand_meter(duration window) : window_(window) {}

double demand_meter::decayed(const rate& held, time_point now) const
{
    const double passed = std::chrono::duration<double>(now - held.at).count();
    return held.ms_per_s * std::exp(-passed / std::chrono::duration<double>(window_).count());
}

void demand_meter::note(const std::string& model, duration work, time_point now)
{
    rate& held = rates_[model];
    const double ms = in_ms(work);
    held.ms_per_s = decayed(held, now) + ms / std::chrono::duration<double>(window_).count();
    held.at = now;
}

std::map<std::string, double> demand_meter::rates(time_point now) const
{
    std::map<std::string, double> rates;
    for (const auto& [model, held] : rates_) {
        rates[model] = decayed(held, now);
    }
    return rates;
}

} // namespace chervildyke
