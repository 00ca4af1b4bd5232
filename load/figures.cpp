/** \file
 * Implements the measurements of one run.
 */
#include "load/figures.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chervildyke::load {

double samples::mean() const
{
    return values_.empty() ? 0
                           : std::accumulate(values_.begin(), values_.end(), 0.0) /
                                 static_cast<double>(values_.size());
}

double samples::quantile(double share) const
{
    if (values_.empty()) {
        return 0;
    }
    std::vector<double> sorted = values_;
    std::sort(sorted.begin(), sorted.end());
    const double place = std::ceil(share * static_cast<double>(sorted.size()));
    const auto index = static_cast<std::size_t>(std::max(place, 1.0)) - 1;
    return sorted[std::min(index, sorted.size() - 1)];
}

std::map<std::string, double> figures::flat() const
{
    std::map<std::string, double> all = counted;
    for (const auto& [name, of] : measured) {
        all[name + ".p50"] = of.quantile(0.5);
        all[name + ".p95"] = of.quantile(0.95);
        all[name + ".max"] = of.quantile(1);
        all[name + ".count"] = static_cast<double>(of.count());
    }
    return all;
}

} // namespace chervildyke::load
