/** \file
 * Defines loop_lag, which knows how far behind a process's event loop is.
 */
#pragma once

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"

namespace chervildyke {

/** What arrives while the loop is behind has waited for as long already. */
class loop_lag {
  public:
    /** Measures until the task is cancelled. */
    boost::asio::awaitable<void> measure();

    /** \return how late the loop runs what is due now. */
    duration now() const;

  private:
    duration last_{};
    time_point due_ = time_point::max();
};

} // namespace chervildyke
