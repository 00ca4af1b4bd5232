/** \file
 * Defines choose_replica(), which chooses a replica by load and cached prefixes.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/random.h"

namespace chervildyke {

/** The state of one replica on which the choice depends. */
struct replica_candidate {
    std::uint64_t replica = 0;
    std::uint32_t own_calls = 0;   // In progress from this node; exact.
    std::uint32_t other_calls = 0; // In progress from other nodes, by the last report, which lags.
    std::uint32_t limit = 1;       // Maximum of own calls.
    std::uint32_t matched_blocks = 0; // Leading blocks of the prompt in the replica's prefix cache.
    // Below 1 for a slower replica, and for one that returns after an ejection.
    double weight = 1.0;
    bool ejected = false; // Chosen only if all others are full.
    bool same_domain = true;

    bool operator==(const replica_candidate&) const = default;
};

/** Weighs prefix affinity and failure domains against load. */
struct choice_policy {
    // A replica may be chosen for its prefix up to this multiple of the mean load.
    double affinity_bound = 1.25;
    double affinity_slack = 2.0;    // Calls added to that bound.
    double cross_domain_cost = 0.5; // Load added for crossing failure domains, in calls.

    bool operator==(const choice_policy&) const = default;
};

/** Chooses the replica with most of the prompt's prefix among those within the load bound, or else
 * the less loaded of two choices.
 * \param prefix_hash hash of the prompt's first block, by which all nodes consider the same two
 *        replicas for a prefix that no replica is known to hold; zero picks two at random.
 * \return the index of the chosen candidate, or nothing if all are full.
 */
std::optional<std::size_t> choose_replica(const std::vector<replica_candidate>& candidates,
                                          std::uint64_t prefix_hash, const choice_policy& policy,
                                          const random_source& random);

/** \return the load to compare: the calls divided by the replica's weight, and the cost of crossing
 * failure domains. */
double weighted_load(const replica_candidate& candidate, const choice_policy& policy);

} // namespace chervildyke
