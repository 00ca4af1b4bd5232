/** \file
 * Implements sample_set and measurements.
 */
#include "load/measurements.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chervildyke::load {

double sample_set::mean() const
{
    return values_.empty() ? 0
                           : std::accumulate(values_.begin(), values_.end(), 0.0) /
                                 static_cast<double>(values_.size());
}

double sample_set::quantile(double fraction) const
{
    if (values_.empty()) {
        return 0;
    }
    std::vector<double> sorted = values_;
    std::sort(sorted.begin(), sorted.end());
    const double rank = std::ceil(fraction * static_cast<double>(sorted.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return sorted[std::min(index, sorted.size() - 1)];
}

std::map<std::string, double> measurements::flatten() const
{
    std::map<std::string, double> figures = counters;
    for (const auto& [name, values] : samples) {
        figures[name + ".p50"] = values.quantile(0.5);
        figures[name + ".p95"] = values.quantile(0.95);
        figures[name + ".max"] = values.quantile(1);
        figures[name + ".count"] = static_cast<double>(values.count());
    }
    return figures;
}

} // namespace chervildyke::load
