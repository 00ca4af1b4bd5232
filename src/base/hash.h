/** \file
 * Defines the hashes for placement (xxHash) and for keys and bodies (SHA-256), and rendezvous
 * hashing.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chervildyke {

/** Hashes a text for decisions that all processes must make alike. Not cryptographic.
 * \return a 64-bit hash that is the same in every process.
 */
std::uint64_t placement_hash(std::string_view text, std::uint64_t seed = 0);

/** \return the SHA-256 of the text in hexadecimal. */
std::string sha256_hex(std::string_view text);

/** Ranks candidates for a key by rendezvous hashing. All processes compute the same ranking, and
 * adding or removing a candidate moves only the keys that rank it first.
 * \param key the key to place.
 * \param candidates the names to rank.
 * \param count the maximum number of names to return.
 * \return the highest-ranked names, the best first.
 */
std::vector<std::string> rendezvous_order(std::string_view key,
                                          const std::vector<std::string>& candidates,
                                          std::size_t count);

} // namespace chervildyke
