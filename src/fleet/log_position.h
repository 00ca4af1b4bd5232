/** \file
 * Defines log_position, a position in one topic of the shared log.
 */
#pragma once

#include <cstdint>
#include <tuple>

namespace chervildyke {

/** A position in one topic of the shared log. A log that was restored from an older copy gives
 * offsets out again, so offsets are comparable only within one era, which increases with each
 * restore. A position of a newer era comes after all positions of older ones.
 */
struct log_position {
    std::uint64_t era = 0;
    std::uint64_t offset = 0;

    bool operator==(const log_position&) const = default;

    bool operator<(const log_position& other) const
    {
        return std::tie(era, offset) < std::tie(other.era, other.offset);
    }
    bool operator>(const log_position& other) const { return other < *this; }
    bool operator<=(const log_position& other) const { return !(other < *this); }
    bool operator>=(const log_position& other) const { return !(*this < other); }
};

} // namespace chervildyke
