/** \file
 * Defines replica_choice, the decision to which replica a call goes.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/random.h"

namespace chervildyke {

/** What is known of one replica at the moment of choice. */
struct replica_candidate {
    std::uint64_t replica = 0;
    std::uint32_t own_calls = 0;    // Sent by this entry and not ended; exact.
    std::uint32_t others_calls = 0; // By the lagged report, without this entry's own.
    std::uint32_t limit = 1;        // How many own calls it may carry now.
    std::uint32_t matched_blocks = 0;
    double weight = 1.0; // Below 1 for a slower replica, and for one that comes back.
    bool ejected = false;
    bool same_domain = true;

    bool operator==(const replica_candidate&) const = default;
};

struct choice_policy {
    double affinity_bound = 1.25;   // Affinity holds up to this multiple of the mean load.
    double affinity_slack = 2.0;    // Calls above that bound that are still accepted.
    double other_domain_cost = 0.5; // In calls; what crossing failure domains counts for.

    bool operator==(const choice_policy&) const = default;
};

/** Chooses a replica: the one that holds most of the prompt's prefix while its load is bounded,
 * else the better of two choices.
 * \param candidates all replicas that may serve the call.
 * \param subject hash of the prompt's first block, so that all entries look at the same two
 *        replicas for a prefix that none is known to hold; zero picks the two at random.
 * \return the index of the chosen one; nothing when all are full.
 */
std::optional<std::size_t> choose_replica(const std::vector<replica_candidate>& candidates,
                                          std::uint64_t subject, const choice_policy& policy,
                                          const random_source& random);

/** \return the load that a choice compares: calls, over the replica's weight. */
double weighted_load(const replica_candidate& candidate, const choice_policy& policy);

} // namespace chervildyke
