/** \file
 * Implements ranks_before.
 */
#include "members/leader_ranking.h"

namespace chervildyke {

namespace {

// How many times the leader's processor time another node must exceed to replace it: a new leader
// first waits for a settling time.
constexpr double takeover_factor = 2;

/** The candidate's cores; those of the present leader count more. */
double weight(const leader_candidate& candidate)
{
    return candidate.processor_share * (candidate.leading ? takeover_factor : 1);
}

} // namespace

bool ranks_before(const leader_candidate& candidate, const leader_candidate& other)
{
    if (candidate.cut_off_from_engines != other.cut_off_from_engines) {
        return other.cut_off_from_engines;
    }
    if (weight(candidate) != weight(other)) {
        return weight(candidate) > weight(other);
    }
    if (candidate.leading != other.leading) {
        return candidate.leading;
    }
    return candidate.name < other.name;
}

} // namespace chervildyke
