/** \file
 * Defines prediction_error, which estimates the ratio of observed to predicted times.
 */
#pragma once

#include "base/clock.h"

namespace chervildyke {

/** Tracks the median ratio of observed to predicted times. An outlier, such as a call at a replica
 * that has lost a member, moves the ratio no further than any other observation.
 */
class prediction_error {
  public:
    /** Applies one observation.
     * \param predicted the corrected prediction. */
    void note(duration predicted, duration observed);

    /** \return the prediction multiplied by the ratio. */
    duration correct(duration predicted) const;

    double ratio() const { return ratio_; }

  private:
    double ratio_ = 1;
};

} // namespace chervildyke
