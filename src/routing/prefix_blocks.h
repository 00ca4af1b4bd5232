/** \file
 * Defines the hashes of a prompt's leading blocks, by which cached prefixes are named.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace chervildyke {

constexpr std::size_t prefix_block_bytes = 256;
constexpr std::size_t max_prefix_blocks = 32;

/** Hashes each whole leading block together with all blocks before it.
 * \param prompt the text that the engine will see.
 * \param subject the model and adapter, whose caches are separate.
 * \return one hash for each block, the shortest prefix first; empty for a short prompt.
 */
std::vector<std::uint64_t> prefix_blocks(std::string_view prompt, std::string_view subject);

} // namespace chervildyke
