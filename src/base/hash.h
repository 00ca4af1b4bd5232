/** \file
 * Defines the hashes used for placement (xxHash) and for keys and bodies (SHA-256).
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chervildyke {

/** \return a 64-bit hash that is the same in every process. */
std::uint64_t placement_hash(std::string_view text, std::uint64_t seed = 0);

/** \return the SHA-256 of the text in hexadecimal. */
std::string sha256_hex(std::string_view text);

/** Orders candidates for a subject by rendezvous hashing: all processes get the same order,
 * and one candidate more or less moves only its own share of subjects.
 * \param subject what is to be placed.
 * \param candidates the names to choose from.
 * \param count how many to return at most.
 * \return the first count names, the best first.
 */
std::vector<std::string> rendezvous_order(std::string_view subject,
                                          const std::vector<std::string>& candidates,
                                          std::size_t count);

} // namespace chervildyke
