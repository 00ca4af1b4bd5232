/** \file
 * Defines async_condition, a condition variable for coroutines.
 */
#pragma once

#include <memory>
#include <set>

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"

namespace chervildyke::standin {

/** Lets tasks wait until they are notified or time out. Copies share their waiting tasks, and a
 * task may go on waiting after the object is destroyed. Not thread-safe.
 */
class async_condition {
  public:
    /** Completes at the next notify_all() or after the timeout. A caller checks for itself whether
     * what it waits for has happened.
     */
    boost::asio::awaitable<void> wait_for(duration timeout);

    /** Ends the waits of all tasks that wait now. */
    void notify_all();

  private:
    std::shared_ptr<std::set<timer*>> waiting_ = std::make_shared<std::set<timer*>>();
};

} // namespace chervildyke::standin
