/** \file
 * Defines from_ms and in_ms, which convert durations from and to milliseconds.
 */
#pragma once

#include <algorithm>
#include <cmath>

#include "base/clock.h"

namespace chervildyke {

/** \return the duration of a number of milliseconds, which may have a fraction; at most 30 years in
 * either direction, so that its sum with a point in time does not overflow. Zero for NaN.
 */
inline duration from_ms(double ms)
{
    constexpr double max_ms = 30.0 * 365 * 24 * 3600 * 1000;
    if (std::isnan(ms)) {
        return duration::zero();
    }
    ms = std::clamp(ms, -max_ms, max_ms);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

/** \return the span in milliseconds, with its fraction. */
inline double in_ms(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace chervildyke
