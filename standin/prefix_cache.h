/** \file
 * Defines prefix_cache, the bounded LRU prefix cache of a simulated engine, and its cache events,
 * which are delayed and may be lost.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/random.h"

namespace chervildyke::standin {

struct prefix_cache_settings {
    std::size_t max_entries = 0; // Zero disables the cache.
    duration event_lag{};        // From a change to its event becoming visible.
    double event_loss_probability = 0;
};

/** Keeps the hashes of the prompt prefixes that were used most recently. */
class prefix_cache {
  public:
    prefix_cache(prefix_cache_settings settings, random_source random);

    /** Looks up a prompt's prefixes, then inserts them or marks them as recently used.
     * \param prefixes their hashes, the shortest prefix first.
     * \return the number of leading prefixes that were cached before the call.
     */
    std::size_t look_up_and_insert(const std::vector<std::uint64_t>& prefixes);

    /** \return the cached prefixes according to the events that are visible by now, at most 256. As
     * lost events are never visible, this may differ from what is cached.
     */
    std::vector<std::uint64_t> reported_prefixes();

    /** \return the events with a higher sequence number that are visible by now, as a JSON array. A
     * lost event leaves a gap in the sequence.
     */
    std::string events_after(std::uint64_t sequence) const;

    /** \return what is cached now, the most recently used prefix first. */
    std::vector<std::uint64_t> cached_prefixes() const;

  private:
    struct event {
        std::uint64_t sequence;
        std::uint64_t prefix;
        bool added;
        time_point visible_at;
    };
    void insert_or_refresh(std::uint64_t prefix);
    void record_event(std::uint64_t prefix, bool added);

    prefix_cache_settings settings_;
    random_source random_;
    std::list<std::uint64_t> by_recency_; // The most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
    std::deque<event> events_;
    std::uint64_t last_sequence_ = 0;
    std::uint64_t reported_sequence_ = 0;
    std::unordered_map<std::uint64_t, bool> reported_;
};

} // namespace chervildyke::standin
