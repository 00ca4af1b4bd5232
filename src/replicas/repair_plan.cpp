/** \file
 * Implements plan_repairs.
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

std::size_t cheapest_candidate(const std::vector<repair_candidate>& candidates)
{
    const auto least = std::min_element(
        candidates.begin(), candidates.end(),
        [](const repair_candidate& a, const repair_candidate& b) { return a.cost < b.cost; });
    return static_cast<std::size_t>(least - candidates.begin());
}

std::vector<decision> plan_repairs(const fleet_state& state, const observed_fleet& fleet,
                                   const repair_history& history, const repair_options& options,
                                   time_point now)
{
    return internal::repair_planner(state, fleet, history, options, now).plan();
}

} // namespace chervildyke
