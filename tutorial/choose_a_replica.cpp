/** \file
 * Tutorial 3: calls are spread over replicas by exact counts, lagged reports and cached prefixes.
 *
 * The choice is a function of values: no socket, no clock. An embedding program fills the
 * candidates from what it knows and sends the call itself.
 */
#include <array>
#include <iostream>

#include "routing/replica_choice.h"

using namespace chervildyke;

int main()
{
    std::vector<replica_candidate> candidates(3);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].replica = i + 1;
        candidates[i].limit = 64;
    }
    candidates[2].matched_blocks = 8; // The third one has the prompt's prefix in its cache.

    const choice_policy policy;
    const random_source random = seeded_random(1);
    std::array<int, 3> sent{};
    constexpr int calls = 30;
    constexpr std::uint64_t no_subject = 0;
    for (int i = 0; i < calls; ++i) {
        const auto chosen = choose_replica(candidates, no_subject, policy, random);
        if (!chosen) {
            std::cout << "all replicas are full\n";
            return 1;
        }
        ++sent[*chosen];
        ++candidates[*chosen].own_calls; // Nothing ends in this tutorial.
    }
    std::cout << "sent " << sent[0] << ", " << sent[1] << " and " << sent[2]
              << " calls; the third has the prefix and gets more, within a bound\n";
    const bool bounded = sent[0] > 0 && sent[1] > 0 && sent[2] < calls;
    return bounded && sent[2] >= sent[0] && sent[2] >= sent[1] ? 0 : 1;
}
