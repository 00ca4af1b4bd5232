/** \file
 * Defines prefix_memory, which remembers to which replica prompt prefixes were sent.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace chervildyke {

/** A bounded memory of one replica's prefixes; the oldest goes first. It is only a hint: the
 * engine may have dropped a prefix, or hold others.
 */
class prefix_memory {
  public:
    explicit prefix_memory(std::size_t capacity = 4096);

    void remember(const std::vector<std::uint64_t>& blocks);

    /** Puts what the engine reported beside what was sent. */
    void report(std::vector<std::uint64_t> cached);

    /** \return how many leading blocks the replica probably holds. */
    std::size_t match(const std::vector<std::uint64_t>& blocks) const;

  private:
    bool holds(std::uint64_t block) const;

    std::size_t capacity_;
    std::unordered_map<std::uint64_t, std::uint64_t> last_use_; // Block to the use that counts.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> order_; // Use and block, oldest first.
    std::uint64_t uses_ = 0;
    std::vector<std::uint64_t> reported_; // Sorted.
};

} // namespace chervildyke
