/** \file
 * Defines backend_life, which names one life of a backend server.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace chervildyke {

struct backend_life {
    std::string id;
    std::uint64_t started_ms = 0; // Unix time of its start.

    auto operator<=>(const backend_life&) const = default;
};

} // namespace chervildyke
