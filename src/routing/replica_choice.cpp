/** \file
 * Implements choose_replica().
 */
#include "routing/replica_choice.h"

#include <algorithm>
#include <numeric>
#include <string_view>
#include <utility>

#include "base/hash.h"

namespace chervildyke {

namespace {

using index_list = std::vector<std::size_t>;

/** The candidates below their limit; ejected ones only if there are no others. */
index_list candidates_with_capacity(const std::vector<replica_candidate>& candidates)
{
    index_list open;
    index_list ejected;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].own_calls < candidates[i].limit) {
            (candidates[i].ejected ? ejected : open).push_back(i);
        }
    }
    return open.empty() ? ejected : open;
}

double mean_load(const std::vector<replica_candidate>& candidates, const index_list& among,
                 const choice_policy& policy)
{
    const double sum = std::accumulate(among.begin(), among.end(), 0.0, [&](double so_far, auto i) {
        return so_far + weighted_load(candidates[i], policy);
    });
    return sum / static_cast<double>(among.size());
}

std::uint64_t rendezvous_weight(const replica_candidate& candidate, std::uint64_t prefix_hash)
{
    const std::string_view bytes(reinterpret_cast<const char*>(&candidate.replica),
                                 sizeof(candidate.replica));
    return placement_hash(bytes, prefix_hash);
}

/** Two different candidates if there are two: by rendezvous hashing for a prefix, otherwise at
 * random. */
std::pair<std::size_t, std::size_t> two_choices(const std::vector<replica_candidate>& candidates,
                                                const index_list& among, std::uint64_t prefix_hash,
                                                const random_source& random)
{
    if (prefix_hash == 0) {
        const std::size_t first = random_below(random, among.size());
        const std::size_t step = among.size() > 1 ? 1 + random_below(random, among.size() - 1) : 0;
        return {among[first], among[(first + step) % among.size()]};
    }
    index_list order = among;
    const std::size_t kept = std::min<std::size_t>(2, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(kept), order.end(),
                      [&](std::size_t left, std::size_t right) {
                          return rendezvous_weight(candidates[left], prefix_hash) >
                                 rendezvous_weight(candidates[right], prefix_hash);
                      });
    return {order.front(), order[kept - 1]};
}

/** The less loaded of two candidates, including the cost of crossing failure domains. */
std::size_t less_loaded_of(const std::vector<replica_candidate>& candidates, std::size_t left,
                           std::size_t right, const choice_policy& policy)
{
    const double left_load = weighted_load(candidates[left], policy);
    const double right_load = weighted_load(candidates[right], policy);
    return right_load < left_load ? right : left;
}

} // namespace

double weighted_load(const replica_candidate& candidate, const choice_policy& policy)
{
    const double calls = candidate.own_calls + candidate.other_calls;
    const double crossing = candidate.same_domain ? 0.0 : policy.cross_domain_cost;
    return (calls + 1.0) / std::max(candidate.weight, 0.01) + crossing;
}

std::optional<std::size_t> choose_replica(const std::vector<replica_candidate>& candidates,
                                          std::uint64_t prefix_hash, const choice_policy& policy,
                                          const random_source& random)
{
    const index_list open = candidates_with_capacity(candidates);
    if (open.empty()) {
        return std::nullopt;
    }
    const double bound =
        policy.affinity_bound * mean_load(candidates, open, policy) + policy.affinity_slack;
    std::optional<std::size_t> holder;
    for (const std::size_t i : open) {
        const bool matches = candidates[i].matched_blocks > 0;
        const bool bounded = weighted_load(candidates[i], policy) <= bound;
        const auto rank = [&](std::size_t of) {
            return std::make_pair(candidates[of].matched_blocks,
                                  -weighted_load(candidates[of], policy));
        };
        if (matches && bounded && (!holder || rank(i) > rank(*holder))) {
            holder = i;
        }
    }
    if (holder) {
        return holder;
    }
    const auto [first, second] = two_choices(candidates, open, prefix_hash, random);
    const std::size_t chosen = less_loaded_of(candidates, first, second, policy);
    if (weighted_load(candidates[chosen], policy) <= bound) {
        return chosen;
    }
    const auto [third, fourth] = two_choices(candidates, open, 0, random);
    return less_loaded_of(candidates, chosen, less_loaded_of(candidates, third, fourth, policy),
                          policy);
}

} // namespace chervildyke
