/** \file
 * Defines outlier_detector, which ejects replicas that are much slower than their peers or fail.
 */
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/clock.h"

namespace chervildyke {

/** When a replica is ejected, and for how long. */
struct ejection_policy {
    // A replica beyond this multiple of its peers' median is ejected.
    double max_latency_ratio = 2.0;
    std::uint32_t min_samples = 8;    // Needed before a replica is compared.
    duration base_ejection_time = 5s; // Doubled with each ejection, up to the maximum.
    duration max_ejection_time = 60s;
    duration slow_start_window = 10s; // In which the weight of a returning replica rises to 1.
    double max_ejected_share = 0.34;  // Of a team's replicas, ejected for being slow.
    // After a call that did not reach the replica; doubled with each further one in a row.
    duration failure_ejection_time = 1s;
};

/** Whether a replica is ejected, and its weight in load balancing. */
struct ejection_state {
    bool ejected = false;
    double weight = 1.0;

    bool operator==(const ejection_state&) const = default;
};

/** Keeps this node's measurements of each replica. */
class outlier_detector {
  public:
    explicit outlier_detector(ejection_policy policy = {});

    void note_first_token(std::uint64_t replica, duration time);
    void note_token(std::uint64_t replica, duration time);

    /** Ejects the replica at once, for a short time. */
    void note_failure(std::uint64_t replica, time_point now);
    void note_success(std::uint64_t replica);

    /** Compares the replicas of one team with each other and ejects those that are too slow.
     * \return one state for each, in the same order.
     */
    std::vector<ejection_state> evaluate(const std::vector<std::uint64_t>& peers, time_point now);

    /** Forgets all replicas but those given. */
    void retain(const std::vector<std::uint64_t>& replicas);

  private:
    struct moving_mean {
        double mean_us = 0;
        std::uint32_t samples = 0;

        void note(duration time);
    };
    struct replica_stats {
        moving_mean first_token;
        moving_mean token;
        time_point ejected_until{};
        std::uint32_t ejections = 0;
        std::uint32_t failures = 0; // Consecutive.
    };

    /** \return the larger ratio of the replica's mean first-token and token times to the median. */
    double latency_ratio(const replica_stats& of, const std::vector<std::uint64_t>& peers) const;
    ejection_state state_of(const replica_stats& of, time_point now) const;
    void eject(replica_stats& of, duration span, time_point now) const;

    ejection_policy policy_;
    std::map<std::uint64_t, replica_stats> replicas_;
};

} // namespace chervildyke
