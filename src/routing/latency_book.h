/** \file
 * Defines latency_book, which measures replicas against their peers and ejects stragglers.
 */
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/clock.h"

namespace chervildyke {

struct ejection_policy {
    double slow_factor = 2.0;      // Ejected beyond this multiple of the peers' median.
    std::uint32_t min_samples = 8; // Before a replica is judged.
    duration first_ejection = 5s;  // Doubled each time, up to the longest.
    duration longest_ejection = 60s;
    duration slow_return = 10s; // Time in which a returning replica regains its full share.
    double max_ejected_share = 0.34;
    duration failure_ejection = 1s; // After a call that did not reach the replica.
};

/** How one replica stands now. */
struct replica_standing {
    bool ejected = false;
    double weight = 1.0;

    bool operator==(const replica_standing&) const = default;
};

/** Keeps what this entry measured of each replica. */
class latency_book {
  public:
    explicit latency_book(ejection_policy policy = {});

    void note_first_token(std::uint64_t replica, duration time);
    void note_token(std::uint64_t replica, duration time);

    /** Ejects at once, for a short time. */
    void note_failure(std::uint64_t replica, time_point now);
    void note_success(std::uint64_t replica);

    /** Compares the replicas of one team with each other.
     * \return one standing for each, in the same order.
     */
    std::vector<replica_standing> judge(const std::vector<std::uint64_t>& peers, time_point now);

    /** Drops replicas that are gone. */
    void keep_only(const std::vector<std::uint64_t>& replicas);

  private:
    struct measure {
        double mean_us = 0;
        std::uint32_t samples = 0;

        void note(duration time);
    };
    struct entry {
        measure first_token;
        measure token;
        time_point ejected_until{};
        std::uint32_t ejections = 0;
        std::uint32_t failures = 0; // In a row.
    };

    double slowness(const entry& of, const std::vector<std::uint64_t>& peers) const;
    replica_standing standing(const entry& of, time_point now) const;
    void eject(entry& of, duration span, time_point now) const;

    ejection_policy policy_;
    std::map<std::uint64_t, entry> entries_;
};

} // namespace chervildyke
