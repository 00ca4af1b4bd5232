/** \file
 * Implements goes_first.
 */
#include "members/lead_choice.h"

namespace chervildyke {

namespace {

constexpr double takeover_factor = 2; // A change of the leader costs it a settling time.

/** How much processor time speaks for the candidate. */
double weight(const lead_candidate& candidate)
{
    return candidate.processor_share * (candidate.leading ? takeover_factor : 1);
}

} // namespace

bool goes_first(const lead_candidate& candidate, const lead_candidate& other)
{
    if (weight(candidate) != weight(other)) {
        return weight(candidate) > weight(other);
    }
    if (candidate.leading != other.leading) {
        return candidate.leading;
    }
    return candidate.name < other.name;
}

} // namespace chervildyke
