/** \file
 * Defines from_ms, for times that settings and documents give as a number of milliseconds.
 */
#pragma once

#include "base/clock.h"

namespace chervildyke {

/** \param ms may have a fraction. */
inline duration from_ms(double ms)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

/** \return the span in ms, with its fraction. */
inline double in_ms(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace chervildyke
