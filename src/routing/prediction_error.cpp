/** \file
 * Implements prediction_error.
 */
#include "routing/prediction_error.h"

#include <algorithm>

namespace chervildyke {

namespace {

constexpr double step = 1.04; // Factor of one observation; a few dozen of them double the ratio.
constexpr double min_ratio = 0.5;
constexpr double max_ratio = 3; // Above this, the replicas are overloaded rather than mispredicted.

} // namespace

void prediction_error::note(duration predicted, duration observed)
{
    const double moved = observed > predicted ? ratio_ * step : ratio_ / step;
    ratio_ = std::clamp(moved, min_ratio, max_ratio);
}

duration prediction_error::correct(duration predicted) const
{
    return std::chrono::duration_cast<duration>(predicted * ratio_);
}

} // namespace chervildyke
