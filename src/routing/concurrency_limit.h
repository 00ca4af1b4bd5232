/** \file
 * Defines concurrency_limit, how many calls of this entry one replica may carry at a time.
 */
#pragma once

#include <cstdint>

#include "base/clock.h"

namespace chervildyke {

struct concurrency_policy {
    double initial = 8;
    double floor = 1;
    double ceiling = 1024;
    double tolerance = 3.0;           // First token later than this multiple of the best: too many.
    duration tolerance_slack = 150ms; // Added, so that a short best time does not over-react.
    double decrease = 0.8;
    duration decrease_interval = 200ms; // At most one decrease in this time.
    duration window = 15s;              // The best time is that of this and the previous window.

    bool operator==(const concurrency_policy&) const = default;
};

/** Grows by one for each round of calls that saw no queue at the replica, and shrinks by a factor
 * when first tokens come late against the best time measured.
 */
class concurrency_limit {
  public:
    explicit concurrency_limit(concurrency_policy policy = {});

    /** \param first_token time from sending to the first chunk.
     * \param in_flight own calls at the replica when it came.
     */
    void note(duration first_token, std::uint32_t in_flight, time_point now);

    /** The replica refused a call, or did not answer it. */
    void note_overload(time_point now);

    /** Caps the limit by what the replica says it can batch. */
    void set_ceiling(double ceiling);

    std::uint32_t limit() const { return static_cast<std::uint32_t>(limit_); }

  private:
    void decrease(time_point now);
    void turn_window(duration first_token, time_point now);
    duration best() const;

    concurrency_policy policy_;
    double limit_;
    duration best_now_ = duration::max();
    duration best_before_ = duration::max();
    time_point window_began_{};
    time_point decreased_at_{};
};

} // namespace chervildyke
