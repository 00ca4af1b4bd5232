/** \file
 * Defines ranks_before, the order of the nodes that could be the leader, which assembles replicas.
 */
#pragma once

#include <string>

namespace chervildyke {

/** A node that could be the leader. */
struct leader_candidate {
    std::string name;
    double processor_share = 0;        // Cores.
    bool leading = false;              // It is the leader now.
    bool cut_off_from_engines = false; // It reaches no VM of a service whose replicas it assembles.

    bool operator==(const leader_candidate&) const = default;
};

/** Orders leader candidates. A node that reaches no engine would take all of them for lost, so it
 * ranks last. Each step of forming a replica waits for the leader's next plan, so
 * the node with the most processor time ranks first. The present leader stays first unless another
 * node has more than twice its processor time. All nodes that see the same candidates choose the
 * same leader; between equal ones the name decides.
 * \return whether the candidate ranks before the other one.
 */
bool ranks_before(const leader_candidate& candidate, const leader_candidate& other);

} // namespace chervildyke
