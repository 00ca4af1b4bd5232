/** \file
 * Defines spawn_task, which starts long-lived tasks and aborts the process if one of them throws.
 */
#pragma once

#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace chervildyke {

/** Starts a task that runs as long as the process. An exception of the task is a bug: it is logged
 * and the process aborts, since a daemon that lacks one of its tasks would still appear healthy.
 * Cancellation (operation_aborted) ends the task without a log line.
 * \param executor runs the task.
 * \param name the name of the task in the log.
 */
void spawn_task(const boost::asio::any_io_executor& executor, std::string name,
                boost::asio::awaitable<void> task);

} // namespace chervildyke
