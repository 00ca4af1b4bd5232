/** \file
 * Defines demand_meter, which measures the replica time that the calls for each model need.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace chervildyke {

/** What the calls of one kind need in a second. */
struct demand_rate {
    double work_ms_per_s = 0; // Replica time
    double calls_per_s = 0;

    bool operator==(const demand_rate&) const = default;
};

using priority_demand = std::map<std::uint32_t, demand_rate>;      // Zero is the most urgent.
using demand_by_priority = std::map<std::string, priority_demand>; // By model.

/** Keeps exponential moving averages over a few seconds, so that a burst takes effect soon and a
 * single large call has little effect. */
class demand_meter {
  public:
    /** \param window the time constant of the averages. */
    explicit demand_meter(duration window = 6s);

    /** Adds the replica time that a call needs.
     * \param priority of the call; zero is the most urgent.
     */
    void note(const std::string& model, duration work, time_point now, std::uint32_t priority = 0);

    /** \return milliseconds of replica time needed per second, by model. */
    std::map<std::string, double> rates(time_point now) const;

    /** \return the rates by model and priority. Unlike rates(), they don't start from zero: until
     * the window has passed, the averages are over the time since the first call.
     */
    demand_by_priority rates_by_priority(time_point now) const;

  private:
    struct rate {
        double ms_per_s = 0;
        time_point at{};
    };
    struct priority_rate {
        demand_rate averages;
        time_point at{};
    };

    double decay(time_point since, time_point now) const;
    double decayed(const rate& held, time_point now) const;

    duration window_;
    std::map<std::string, rate> rates_;
    std::map<std::string, std::map<std::uint32_t, priority_rate>> by_priority_;
    std::optional<time_point> first_call_;
};

} // namespace chervildyke
