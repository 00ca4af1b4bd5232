/** \file
 * Implements the hashes of prompt prefixes.
 */
#include "routing/prefix_blocks.h"

#include <algorithm>

#include "base/hash.h"

namespace chervildyke {

std::vector<std::uint64_t> prefix_block_hashes(std::string_view prompt,
                                               std::string_view cache_scope)
{
    const std::size_t count = std::min(prompt.size() / prefix_block_bytes, max_prefix_blocks);
    std::vector<std::uint64_t> blocks;
    blocks.reserve(count);
    std::uint64_t previous = placement_hash(cache_scope);
    for (std::size_t i = 0; i < count; ++i) {
        previous =
            placement_hash(prompt.substr(i * prefix_block_bytes, prefix_block_bytes), previous);
        blocks.push_back(previous);
    }
    return blocks;
}

} // namespace chervildyke
