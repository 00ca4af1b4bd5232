/** \file
 * Defines prefix_cache, the limited prefix cache of an engine and its late, lossy events.
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
    std::size_t entries = 0;
    duration event_lag{};
    double event_loss = 0;
};

/** Keeps the hashes of prompt prefixes that were used last. */
class prefix_cache {
  public:
    prefix_cache(prefix_cache_settings settings, random_source random);

    /** Uses a prompt's prefixes, the shortest first, and keeps them.
     * \return how many of them, from the first on, were cached already.
     */
    std::size_t use(const std::vector<std::uint64_t>& prefixes);

    /** The cached prefixes as the events that have arrived by now tell it. */
    std::vector<std::uint64_t> reported();

    /** The events after a sequence number that have arrived by now, as a JSON array. */
    std::string events_after(std::uint64_t sequence) const;

    /** What is cached now. */
    std::vector<std::uint64_t> contents() const;

  private:
    struct event {
        std::uint64_t sequence;
        std::uint64_t prefix;
        bool added;
        time_point arrives;
    };
    void keep(std::uint64_t prefix);
    void note(std::uint64_t prefix, bool added);

    prefix_cache_settings settings_;
    random_source random_;
    std::list<std::uint64_t> by_use_; // The one used last stands first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places_;
    std::deque<event> events_;
    std::uint64_t last_sequence_ = 0;
    std::uint64_t reported_sequence_ = 0;
    std::unordered_map<std::uint64_t, bool> reported_;
};

} // namespace chervildyke::standin
