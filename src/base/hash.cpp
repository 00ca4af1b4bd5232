/** \file
 * Implements the hashes with xxHash and OpenSSL.
 */
#include "base/hash.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include <openssl/sha.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace chervildyke {

std::uint64_t placement_hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    static constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 15U]);
    }
    return hex;
}

std::vector<std::string> rendezvous_order(std::string_view key,
                                          const std::vector<std::string>& candidates,
                                          std::size_t count)
{
    struct scored {
        std::uint64_t score;
        const std::string* name;
    };
    const std::uint64_t seed = placement_hash(key);
    std::vector<scored> scores;
    scores.reserve(candidates.size());
    for (const std::string& name : candidates) {
        scores.push_back({placement_hash(name, seed), &name});
    }
    const std::size_t kept = std::min(count, scores.size());
    const auto before = [](const scored& left, const scored& right) {
        return std::tie(right.score, *left.name) < std::tie(left.score, *right.name);
    };
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(kept),
                      scores.end(), before);
    std::vector<std::string> order;
    order.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i) {
        order.push_back(*scores[i].name);
    }
    return order;
}

} // namespace chervildyke
