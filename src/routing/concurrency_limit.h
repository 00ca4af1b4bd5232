/** \file
 * Defines concurrency_limit, an adaptive limit on this node's concurrent calls at one replica.
 */
#pragma once

#include <cstdint>

#include "base/clock.h"

namespace chervildyke {

/** Bounds and speed of a concurrency_limit. */
struct concurrency_policy {
    double initial = 8;
    double floor = 1;
    double ceiling = 1024;
    // A first token later than this multiple of the best time means overload.
    double tolerance = 3.0;
    // Added, so that the limit does not overreact when the best time is short.
    duration tolerance_slack = 150ms;
    double decrease = 0.8;
    duration decrease_interval = 200ms; // At most one decrease per interval.
    duration window = 15s; // The best time is taken over the current and the previous window.

    bool operator==(const concurrency_policy&) const = default;
};

/** Additive increase, multiplicative decrease: grows by one for each round of calls whose first
 * tokens are on time, and shrinks by a factor when first tokens are late compared with the best
 * time measured.
 */
class concurrency_limit {
  public:
    explicit concurrency_limit(concurrency_policy policy = {});

    /** Applies one measurement.
     * \param first_token time from sending the call to its first chunk.
     * \param in_flight own calls at the replica when the chunk arrived.
     */
    void note(duration first_token, std::uint32_t in_flight, time_point now);

    /** Decreases the limit after the replica refused a call or did not answer it. */
    void note_overload(time_point now);

    /** Sets the upper bound, which follows from the replica's batch limit. */
    void set_ceiling(double ceiling);

    std::uint32_t limit() const { return static_cast<std::uint32_t>(limit_); }

  private:
    void decrease(time_point now);
    void update_window(duration first_token, time_point now);
    duration best() const;

    concurrency_policy policy_;
    double limit_;
    duration best_in_window_ = duration::max();
    duration best_in_previous_window_ = duration::max();
    time_point window_started_at_{};
    time_point decreased_at_{};
};

} // namespace chervildyke
