/** \file
 * Implements wake_list with one timer for each waiting task.
 */
#include "standin/wake_list.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/scope_guard.h"

namespace chervildyke::standin {

boost::asio::awaitable<void> wake_list::wait(duration span)
{
    timer waiting(co_await boost::asio::this_coro::executor, span);
    const auto all = waiting_;
    all->insert(&waiting);
    const scope_guard forget([&] { all->erase(&waiting); });
    co_await waiting.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

void wake_list::wake()
{
    for (timer* waiting : *waiting_) {
        waiting->cancel();
    }
}

} // namespace chervildyke::standin
