/** \file
 * Defines loop_lag, which measures by how much an event loop runs its tasks late.
 */
#pragma once

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"

namespace chervildyke {

/** Measures the lag of the event loop: the time that new work waits before the loop runs it. */
class loop_lag {
  public:
    /** Measures continuously until the task is cancelled. */
    boost::asio::awaitable<void> measure();

    /** \return the present lag: the last measured lag, or more if the next measurement is overdue
     * by more.
     */
    duration current() const;

  private:
    duration last_lag_{};
    time_point next_wakeup_ = time_point::max();
};

} // namespace chervildyke
