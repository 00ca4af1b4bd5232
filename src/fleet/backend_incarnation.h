/** \file
 * Defines backend_incarnation, which identifies one run of a backend server.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace chervildyke {

/** Identifies one run of a backend server, from its start until it stops. */
struct backend_incarnation {
    std::string id;
    std::uint64_t started_ms = 0; // Unix time of its start.

    auto operator<=>(const backend_incarnation&) const = default;
};

} // namespace chervildyke
