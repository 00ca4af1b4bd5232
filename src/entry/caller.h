/** \file
 * Defines caller, the tenant on whose behalf a call is made.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace chervildyke {

/** Who calls, and what its tenant's configuration grants it. */
struct caller {
    std::string tenant;
    std::uint32_t share = 1;                // Weight in fair queueing.
    std::uint32_t max_concurrent_calls = 0; // Zero: no limit.
    std::uint32_t max_calls_per_second = 0; // Zero: no limit.
    std::vector<std::string> teams;         // Empty: all teams.

    bool may_call(const std::string& team) const
    {
        return teams.empty() || std::find(teams.begin(), teams.end(), team) != teams.end();
    }

    bool operator==(const caller&) const = default;
};

} // namespace chervildyke
