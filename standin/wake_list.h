/** \file
 * Defines wake_list, on which tasks wait for a change or a timeout.
 */
#pragma once

#include <memory>
#include <set>

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"

namespace chervildyke::standin {

/** Copies share their waiting tasks, which may outlive it. */
class wake_list {
  public:
    /** Completes at the next wake() or after the span. */
    boost::asio::awaitable<void> wait(duration span);
    void wake();

  private:
    std::shared_ptr<std::set<timer*>> waiting_ = std::make_shared<std::set<timer*>>();
};

} // namespace chervildyke::standin
