/** \file
 * Defines attempt_watch, which ends an attempt at a replica once its silence is judged to be one.
 */
#pragma once

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "routing/stall_policy.h"

namespace chervildyke {

/** Watches one attempt while it exists. What the attempt hears is told by note_heard(). */
class attempt_watch {
  public:
    struct hooks {
        /** Asked while the attempt is silent for longer than usual.
         * \return true to end it.
         */
        std::function<bool(const silent_attempt&)> gives_up;

        /** Ends the attempt. */
        std::function<void()> end;
    };

    /** \param expected predicted time to the first event. */
    attempt_watch(const boost::asio::any_io_executor& executor, hooks use, duration expected);
    ~attempt_watch();
    attempt_watch(const attempt_watch&) = delete;
    attempt_watch& operator=(const attempt_watch&) = delete;

    /** An event came.
     * \param expected predicted time to the next one.
     */
    void note_heard(duration expected);

    /** True once the hook gave the attempt up. */
    bool gave_up() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
