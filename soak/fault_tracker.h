/** \file
 * Defines fault_tracker, which knows whether faults that excuse lost answers were active lately.
 */
#pragma once

#include "base/clock.h"
#include "soak/deployment.h"

namespace chervildyke::soak {

/** Counts the active faults that excuse lost answers; see excuses_nothing(). */
class fault_tracker {
  public:
    void begin_fault() { ++active_faults_; }

    void end_fault()
    {
        --active_faults_;
        last_fault_end_ = monotonic_clock::now();
    }

    /** \return true if no fault was active from fault_settle_time before the moment until now. */
    bool fault_free_since(time_point moment) const
    {
        return active_faults_ == 0 && moment - last_fault_end_ > fault_settle_time;
    }

  private:
    int active_faults_ = 0;
    time_point last_fault_end_{};
};

} // namespace chervildyke::soak
