/** \file
 * Tests that a process which has been asked to stop still completes its calls when it is asked
 * again.
 */
#include <csignal>
#include <functional>
#include <sys/wait.h>
#include <unistd.h>

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>

#include "base/clock.h"
#include "base/program.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

constexpr duration drain_time = 20ms;   // After each signal.
constexpr duration signal_delay = 20ms; // Until the process waits for signals.

/** Sends a signal to this process soon, while the current task waits. */
asio::awaitable<void> raise_soon(int signal)
{
    co_await sleep_for(signal_delay);
    std::raise(signal);
}

/** Gets three signals: one to stop and two while it stops.
 * \return the exit code.
 */
asio::awaitable<int> stop_under_signals(int first, int further)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::co_spawn(executor, raise_soon(first), asio::detached);
    co_await wait_for_stop_signal();
    for (int i = 0; i < 2; ++i) {
        std::raise(further);
        co_await sleep_for(drain_time);
    }
    co_return exit_success;
}

/** \return the wait status of a process that runs the task. */
int status_of(const std::function<asio::awaitable<int>()>& task)
{
    const pid_t child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        asio::io_context context(1);
        _exit(run_main_task(context, task));
    }
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    return status;
}

} // namespace

// Guards against calls that get no answer because a node that is stopping gets SIGTERM once more.
TEST_CASE("a second SIGTERM does not end a process that is stopping")
{
    const int status = status_of([] { return stop_under_signals(SIGTERM, SIGTERM); });
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == exit_success);
}

// Guards against a program without settings to reload that ends, with its calls, at a SIGHUP.
TEST_CASE("a SIGHUP does not end a process")
{
    const int status = status_of([]() -> asio::awaitable<int> {
        std::raise(SIGHUP);
        co_await sleep_for(drain_time);
        co_return exit_success;
    });
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == exit_success);
}

// Guards against a reload that is not made because SIGHUP is ignored.
TEST_CASE("a SIGHUP reloads the settings of a process that follows them")
{
    const int status = status_of([]() -> asio::awaitable<int> {
        const auto executor = co_await asio::this_coro::executor;
        bool reloaded = false;
        const std::function<void(bool)> reload = [&](bool on_signal) { reloaded = on_signal; };
        asio::co_spawn(executor, run_reload_loop(reload), asio::detached);
        asio::co_spawn(executor, raise_soon(SIGHUP), asio::detached);
        co_await sleep_for(signal_delay + drain_time);
        co_return reloaded ? exit_success : exit_failure;
    });
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == exit_success);
}
