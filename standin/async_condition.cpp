/** \file
 * Implements async_condition with one timer for each waiting task.
 */
#include "standin/async_condition.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/scope_guard.h"

namespace chervildyke::standin {

boost::asio::awaitable<void> async_condition::wait_for(duration timeout)
{
    timer waiting(co_await boost::asio::this_coro::executor, timeout);
    const auto all = waiting_;
    all->insert(&waiting);
    const scope_guard forget([&] { all->erase(&waiting); });
    co_await waiting.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

void async_condition::notify_all()
{
    for (timer* waiting : *waiting_) {
        waiting->cancel();
    }
}

} // namespace chervildyke::standin
