/** \file
 * Defines prefix_cache_estimate, which estimates the contents of a replica's prefix cache.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace chervildyke {

/** The prefix blocks that were recently sent to one replica or reported by its engine. The least
 * recently sent ones are evicted first. It is only an estimate: the engine may have evicted a
 * prefix, or hold others.
 */
class prefix_cache_estimate {
  public:
    explicit prefix_cache_estimate(std::size_t capacity = 4096);

    /** Records the blocks of a prompt that was sent to the replica. */
    void note_sent(const std::vector<std::uint64_t>& blocks);

    /** Replaces the blocks that the engine has reported as cached. */
    void set_reported(std::vector<std::uint64_t> cached);

    /** \return how many leading blocks the replica probably has cached. */
    std::size_t matched_blocks(const std::vector<std::uint64_t>& blocks) const;

  private:
    bool probably_holds(std::uint64_t block) const;

    std::size_t capacity_;
    // By block: the number of its last use.
    std::unordered_map<std::uint64_t, std::uint64_t> last_use_;
    // Number of the use and block, oldest first.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> uses_in_order_;
    std::uint64_t use_count_ = 0;
    std::vector<std::uint64_t> reported_; // Sorted.
};

} // namespace chervildyke
