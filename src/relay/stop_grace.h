/** \file
 * Defines stop_grace, which states what a stopping node can still do before its process is killed.
 */
#pragma once

#include "base/clock.h"
#include "fleet/published_configuration.h"

namespace chervildyke {

/** The times of a planned stop, and which calls a node takes meanwhile. Leaves waiting, refusing
 * and closing connections to the node. Before begin(), nothing is limited.
 */
class stop_grace {
  public:
    /** \param grace the time from now until the process is killed. */
    void begin(time_point now, duration grace);

    /** \return when the node stops accepting connections. */
    time_point accepting_end() const { return accepting_end_; }

    /** \return when every call must have ended. */
    time_point calls_end() const { return calls_end_; }

    /** \return when the process exits at the latest, with calls in progress or without. */
    time_point exit_at() const { return exit_at_; }

    /** \return true if a call with the deadline ends before the process does. */
    bool covers(time_point deadline) const { return deadline <= calls_end_; }

    /** Decides whether a call that arrives is taken. One that may run once is taken only if the
     * node can wait for its answer until its deadline. One that may run again is taken if the node
     * can wait for most of its time; calls_end() is then its deadline.
     */
    bool takes(time_point now, time_point deadline, retry_rule retry) const;

    /** Decides whether a call that was taken before the stop may still be sent for the first time,
     * or once more.
     */
    bool may_send(time_point deadline, retry_rule retry) const;

  private:
    time_point accepting_end_ = time_point::max();
    time_point calls_end_ = time_point::max();
    time_point exit_at_ = time_point::max();
};

} // namespace chervildyke
