/** \file
 * Defines caller_info, the tenant of a call and the limits on its calls.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace chervildyke {

/** An authenticated caller: its tenant, and what the configuration allows the tenant. */
struct caller_info {
    std::string tenant;
    std::uint32_t share = 1;                // Weight in fair queueing.
    std::uint32_t max_concurrent_calls = 0; // Over all entries; zero for no limit.
    std::uint32_t max_calls_per_second = 0; // Over all entries; zero for no limit.
    std::vector<std::string> teams;         // That the tenant may call; empty for all.

    bool may_call(const std::string& team) const
    {
        return teams.empty() || std::find(teams.begin(), teams.end(), team) != teams.end();
    }

    bool operator==(const caller_info&) const = default;
};

} // namespace chervildyke
