/** \file
 * Defines the hashes of a prompt's leading blocks, which identify cached prefixes.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace chervildyke {

constexpr std::size_t prefix_block_bytes = 256;
constexpr std::size_t max_prefix_blocks = 32;

/** Hashes each complete leading block together with all blocks before it.
 * \param prompt the text that the engine receives.
 * \param cache_scope identifies the model and adapter, since each has a separate cache.
 * \return one hash for each block, the shortest prefix first; empty if the prompt is shorter than a
 * block.
 */
std::vector<std::uint64_t> prefix_block_hashes(std::string_view prompt,
                                               std::string_view cache_scope);

} // namespace chervildyke
