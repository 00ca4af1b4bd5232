/** \file
 * Defines goes_first, which decides between two nodes that could assemble replicas.
 */
#pragma once

#include <string>

namespace chervildyke {

/** A node that could lead. */
struct lead_candidate {
    std::string name;
    double processor_share = 0; // Cores.
    bool leading = false;       // It leads already.

    bool operator==(const lead_candidate&) const = default;
};

/** Each step of a replica that forms waits for the leader's next plan, so the node with the most
 * processor time leads; one that leads already goes on unless the other has more than twice as
 * much. All nodes that know the same candidates agree.
 */
bool goes_first(const lead_candidate& candidate, const lead_candidate& other);

} // namespace chervildyke
