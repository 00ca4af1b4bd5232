/** \file
 * Implements prefix_memory as a map with lazily removed uses.
 */
#include "routing/prefix_memory.h"

#include <algorithm>

namespace chervildyke {

prefix_memory::prefix_memory(std::size_t capacity) : capacity_(capacity) {}

void prefix_memory::remember(const std::vector<std::uint64_t>& blocks)
{
    for (const std::uint64_t block : blocks) {
        ++uses_;
        last_use_[block] = uses_;
        order_.emplace_back(uses_, block);
    }
    while (last_use_.size() > capacity_ || order_.size() > 4 * capacity_) {
        const auto [use, block] = order_.front();
        order_.pop_front();
        if (const auto found = last_use_.find(block);
            found != last_use_.end() && found->second == use) {
            last_use_.erase(found);
        }
    }
}

void prefix_memory::report(std::vector<std::uint64_t> cached)
{
    reported_ = std::move(cached);
    std::sort(reported_.begin(), reported_.end());
}

bool prefix_memory::holds(std::uint64_t block) const
{
    return last_use_.contains(block) ||
           std::binary_search(reported_.begin(), reported_.end(), block);
}

std::size_t prefix_memory::match(const std::vector<std::uint64_t>& blocks) const
{
    std::size_t depth = 0;
    while (depth < blocks.size() && holds(blocks[depth])) {
        ++depth;
    }
    return depth;
}

} // namespace chervildyke
