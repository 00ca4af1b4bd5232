/** \file
 * Tutorial 3: calls are balanced over replicas by exact counts of own calls, lagged reports of
 * other calls, and cached prefixes.
 *
 * The choice is a pure function of values, without sockets or clocks. An embedding program fills in
 * the candidates from its own data and sends the call itself.
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
    candidates[2].matched_blocks = 8; // The third replica has the prompt's prefix in its cache.

    const choice_policy policy;
    const random_source random = seeded_random(1);
    std::array<int, 3> sent_calls{};
    constexpr int calls = 30;
    constexpr std::uint64_t no_prefix_hash = 0;
    for (int i = 0; i < calls; ++i) {
        const auto chosen = choose_replica(candidates, no_prefix_hash, policy, random);
        if (!chosen) {
            std::cout << "all replicas are full\n";
            return 1;
        }
        ++sent_calls[*chosen];
        ++candidates[*chosen].own_calls; // No call ends in this tutorial.
    }
    std::cout << "sent " << sent_calls[0] << ", " << sent_calls[1] << " and " << sent_calls[2]
              << " calls; the third has the prefix and gets more, within a bound\n";
    const bool is_bounded = sent_calls[0] > 0 && sent_calls[1] > 0 && sent_calls[2] < calls;
    return is_bounded && sent_calls[2] >= sent_calls[0] && sent_calls[2] >= sent_calls[1] ? 0 : 1;
}
