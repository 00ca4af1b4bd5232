/** \file
 * Implements the entry point of the repair plan.
 */
#include "replicas/repair_plan.h"

#include <algorithm>

#include "replicas/repair_planner.h"

namespace chervildyke {

const char* to_string(repair_action action)
{
    switch (action) {
    case repair_action::wait:
        return "wait";
    case repair_action::rebuild:
        return "rebuild";
    case repair_action::complete:
        return "complete";
    case repair_action::preempt:
        return "preempt";
    }
    return "unknown";
}

std::size_t least_cost(const std::vector<alternative>& ways)
{
    const auto least =
        std::min_element(ways.begin(), ways.end(), [](const alternative& a, const alternative& b) {
            return a.cost < b.cost;
        });
    return static_cast<std::size_t>(least - ways.begin());
}

std::vector<decision> plan_repairs(const fleet_state& state, const fleet_knowledge& fleet,
                                   const repair_memory& memory, const repair_options& options,
                                   time_point now)
{
    return internal::planner(state, fleet, memory, options, now).plan();
}

} // namespace chervildyke
