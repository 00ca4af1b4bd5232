/** \file
 * Defines measurements, the samples and counters of one run.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace chervildyke::load {

/** The samples of one quantity. */
class sample_set {
  public:
    void add(double value) { values_.push_back(value); }
    std::size_t count() const { return values_.size(); }

    /** \return the mean, or 0 without samples. */
    double mean() const;

    /** \param fraction from 0 to 1.
     * \return the quantile by the nearest-rank method, or 0 without samples.
     */
    double quantile(double fraction) const;

  private:
    std::vector<double> values_;
};

/** Samples and counters by name. The name begins with the name of the load that it belongs to, if
 * any, such as "steady.first_token_ms".
 */
struct measurements {
    std::map<std::string, sample_set> samples;
    std::map<std::string, double> counters;

    /** \return the figures of the run: each counter, and NAME.p50, NAME.p95, NAME.max and
     * NAME.count of each quantity.
     */
    std::map<std::string, double> flatten() const;
};

} // namespace chervildyke::load
