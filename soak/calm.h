/** \file
 * Defines calm, which knows whether anything but planned work has gone on lately.
 */
#pragma once

#include "base/clock.h"
#include "soak/deployment.h"

namespace chervildyke::soak {

class calm {
  public:
    void disturb() { ++disturbances_; }

    void settle()
    {
        --disturbances_;
        last_end_ = monotonic_clock::now();
    }

    /** True when nothing unplanned went on from settle_time before the moment until now. */
    bool since(time_point moment) const
    {
        return disturbances_ == 0 && moment - last_end_ > settle_time;
    }

  private:
    int disturbances_ = 0;
    time_point last_end_{};
};

} // namespace chervildyke::soak
