/** \file
 * Defines how long-lived tasks are started, so that none can end by an exception unseen.
 */
#pragma once

#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace chervildyke {

/** Starts a task that lives as long as the process. An exception from it is our own bug: it is
 * logged and the process aborts, since a daemon with a dead task would look alive.
 * Cancellation (operation_aborted) ends the task quietly.
 * \param name what the log calls it.
 */
void spawn_task(const boost::asio::any_io_executor& executor, std::string name,
                boost::asio::awaitable<void> task);

} // namespace chervildyke
