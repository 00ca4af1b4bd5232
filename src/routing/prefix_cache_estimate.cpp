/** \file
 * Implements prefix_cache_estimate as an LRU map whose outdated uses are removed lazily.
 */
#include "routing/prefix_cache_estimate.h"

#include <algorithm>

namespace chervildyke {

prefix_cache_estimate::prefix_cache_estimate(std::size_t capacity) : capacity_(capacity) {}

void prefix_cache_estimate::note_sent(const std::vector<std::uint64_t>& blocks)
{
    for (const std::uint64_t block : blocks) {
        ++use_count_;
        last_use_[block] = use_count_;
        uses_in_order_.emplace_back(use_count_, block);
    }
    while (last_use_.size() > capacity_ || uses_in_order_.size() > 4 * capacity_) {
        const auto [use, block] = uses_in_order_.front();
        uses_in_order_.pop_front();
        if (const auto found = last_use_.find(block);
            found != last_use_.end() && found->second == use) {
            last_use_.erase(found);
        }
    }
}

void prefix_cache_estimate::set_reported(std::vector<std::uint64_t> cached)
{
    reported_ = std::move(cached);
    std::sort(reported_.begin(), reported_.end());
}

bool prefix_cache_estimate::probably_holds(std::uint64_t block) const
{
    return last_use_.contains(block) ||
           std::binary_search(reported_.begin(), reported_.end(), block);
}

std::size_t prefix_cache_estimate::matched_blocks(const std::vector<std::uint64_t>& blocks) const
{
    std::size_t depth = 0;
    while (depth < blocks.size() && probably_holds(blocks[depth])) {
        ++depth;
    }
    return depth;
}

} // namespace chervildyke
