/** \file
 * Defines prediction_error, which learns by how much predictions are off.
 */
#pragma once

#include "base/clock.h"

namespace chervildyke {

/** Tracks the median of observed times over predicted ones. Outliers, such as calls at a replica
 * that has lost a member, move it no further than any other observation.
 */
class prediction_error {
  public:
    /** \param predicted with the correction. */
    void note(duration predicted, duration observed);

    /** \return the prediction with what was learned. */
    duration correct(duration predicted) const;

    double ratio() const { return ratio_; }

  private:
    double ratio_ = 1;
};

} // namespace chervildyke
