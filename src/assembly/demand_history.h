/** \file
 * Defines demand_history, the demand of the last seconds by model and priority.
 */
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>

#include "base/clock.h"
#include "routing/demand_meter.h"

namespace chervildyke {

/** The demand for one model over the window of a demand_history. */
struct recent_demand {
    priority_demand mean;
    double peak_ms_per_s = 0; // Replica time, over all priorities.

    bool operator==(const recent_demand&) const = default;
};

/** Keeps samples of the demand, so that decisions can tell a lasting change from a wave. */
class demand_history {
  public:
    /** \param window the age at which samples are dropped. */
    explicit demand_history(duration window = 15s) : window_(window) {}

    /** Adds a sample, unless the last one is very recent. */
    void note(const demand_by_priority& demand, time_point now);

    /** \return the demand for each model that had calls within the window. */
    std::map<std::string, recent_demand> recent() const;

  private:
    duration window_;
    std::deque<std::pair<time_point, demand_by_priority>> samples_; // The oldest first.
};

} // namespace chervildyke
