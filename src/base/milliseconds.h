/** \file
 * Defines from_ms and in_ms, which convert durations from and to milliseconds.
 */
#pragma once

#include "base/clock.h"

namespace chervildyke {

/** \return the duration of a number of milliseconds, which may have a fraction. */
inline duration from_ms(double ms)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

/** \return the span in milliseconds, with its fraction. */
inline double in_ms(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace chervildyke
