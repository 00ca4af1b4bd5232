/** \file
 * Defines figures, the measurements of one run.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace chervildyke::load {

/** Samples of one measure. */
class samples {
  public:
    void add(double value) { values_.push_back(value); }
    std::size_t count() const { return values_.size(); }
    double mean() const;

    /** \param share from 0 to 1. */
    double quantile(double share) const;

  private:
    std::vector<double> values_;
};

/** Samples and counts by name; the name of a stretch of load comes first, as in
 * "steady.first_token_ms".
 */
struct figures {
    std::map<std::string, samples> measured;
    std::map<std::string, double> counted;

    /** Everything as single numbers: NAME.p50, NAME.p95, NAME.max and counts. */
    std::map<std::string, double> flat() const;
};

} // namespace chervildyke::load
