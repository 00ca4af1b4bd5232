/** \file
 * Defines backend_incarnation, which identifies one run of a backend server.
 */
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace chervildyke {

/** Identifies one run of a backend server, from its start until it stops. */
struct backend_incarnation {
    std::string id;
    std::uint64_t started_ms = 0; // Unix time of its start.

    bool operator==(const backend_incarnation&) const = default;

    bool operator<(const backend_incarnation& other) const
    {
        return std::tie(id, started_ms) < std::tie(other.id, other.started_ms);
    }
};

} // namespace chervildyke
