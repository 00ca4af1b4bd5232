/** \file
 * Defines stall_detector, which ends an attempt at a replica that has stopped sending events.
 */
#pragma once

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "routing/stall_policy.h"

namespace chervildyke {

/** Monitors one attempt for as long as the detector exists. The attempt reports each event through
 * record_event().
 */
class stall_detector {
  public:
    struct hooks {
        /** Called repeatedly while no event has arrived for longer than tolerated.
         * \return true to end the attempt.
         */
        std::function<bool(const silent_attempt&)> should_end;

        /** Ends the attempt. */
        std::function<void()> end;
    };

    /** \param callbacks called from the executor while the detector exists.
     * \param expected predicted time to the first event.
     */
    stall_detector(const boost::asio::any_io_executor& executor, hooks callbacks,
                   duration expected);
    ~stall_detector();
    stall_detector(const stall_detector&) = delete;
    stall_detector& operator=(const stall_detector&) = delete;

    /** Records that an event has arrived.
     * \param expected predicted time to the next event.
     */
    void record_event(duration expected);

    /** \return true once should_end() has returned true and the attempt has been ended. */
    bool has_ended_attempt() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
