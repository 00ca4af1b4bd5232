/** \file
 * Implements spawn_task.
 */
#include "base/task.h"

#include <cstdlib>
#include <exception>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>

#include "base/log.h"

namespace chervildyke {

namespace {

const logger task_log("task");

/** Handles the end of a task: returns if it completed or was cancelled, else aborts the process. */
void end_task(const std::string& name, const std::exception_ptr& thrown)
{
    if (!thrown) {
        return;
    }
    try {
        std::rethrow_exception(thrown);
    }
    catch (const boost::system::system_error& error) {
        if (error.code() == boost::asio::error::operation_aborted) {
            return;
        }
        task_log.error("event=task_failed task=", name, " cause=\"", error.what(), "\"");
    }
    catch (const std::exception& error) {
        task_log.error("event=task_failed task=", name, " cause=\"", error.what(), "\"");
    }
    std::abort();
}

} // namespace

void spawn_task(const boost::asio::any_io_executor& executor, std::string name,
                boost::asio::awaitable<void> task)
{
    boost::asio::co_spawn(
        executor, std::move(task),
        [name = std::move(name)](const std::exception_ptr& thrown) { end_task(name, thrown); });
}

} // namespace chervildyke
