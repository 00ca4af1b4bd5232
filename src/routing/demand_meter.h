/** \file
 * Defines demand_meter, which measures how much replica time the calls for each model ask for.
 */
#pragma once

#include <map>
#include <string>

#include "base/clock.h"

namespace chervildyke {

/** Averages over the last seconds, so that a burst shows soon and one large call does not. */
class demand_meter {
  public:
    /** \param window over which the rates are averaged. */
    explicit demand_meter(duration window = 6s);

    /** A call asked for replica time. */
    void note(const std::string& model, duration work, time_point now);

    /** \return milliseconds of replica time asked for in each second, by model. */
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
