/** \file
 * Defines demand_meter, which measures the replica time that the calls for each model need.
 */
#pragma once

#include <map>
#include <string>

#include "base/clock.h"

namespace chervildyke {

/** Keeps exponential moving averages over a few seconds, so that a burst takes effect soon and a
 * single large call has little effect. */
class demand_meter {
  public:
    /** \param window the time constant of the averages. */
    explicit demand_meter(duration window = 6s);

    /** Adds the replica time that a call needs. */
    void note(const std::string& model, duration work, time_point now);

    /** \return milliseconds of replica time needed per second, by model. */
    std::map<std::string, double> rates(time_point now) const;

  private:
    struct rate {
        double ms_per_s = 0;
        time_point at{};
    };

    double decayed(const rate& held, time_point now) const;

    duration window_;
    std::map<std::string, rate> rates_;
};

} // namespace chervildyke
