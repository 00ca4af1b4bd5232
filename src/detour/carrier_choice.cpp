/** \file
 * Implements choose_carrier.
 */
#include "detour/carrier_choice.h"

#include <algorithm>

namespace chervildyke {

std::optional<carrier_candidate> choose_carrier(const std::vector<carrier_candidate>& candidates,
                                                const random_source& random)
{
    const bool any_near =
        std::any_of(candidates.begin(), candidates.end(), [](const carrier_candidate& node) {
            return node.can_carry && node.same_domain;
        });
    std::vector<const carrier_candidate*> open;
    for (const carrier_candidate& node : candidates) {
        if (node.can_carry && (node.same_domain || !any_near)) {
            open.push_back(&node);
        }
    }
    if (open.empty()) {
        return std::nullopt;
    }
    const carrier_candidate& first = *open[random_below(random, open.size())];
    const carrier_candidate& second = *open[random_below(random, open.size())];
    return second.in_flight < first.in_flight ? second : first;
}

} // namespace chervildyke
