/** \file
 * Defines what every daemon needs: command line, settings check, signals and exit codes.
 */
#pragma once

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <google/protobuf/message.h>

namespace chervildyke {

constexpr int exit_success = 0;
constexpr int exit_failure = 1;
constexpr int exit_bad_settings = 2; // Also for an invalid command line.

/** The texts that --help and --version print. */
struct program_description {
    std::string name;
    std::string version;
    std::string purpose;
};

/** Handles --help, --version, --check-settings FILE and --settings FILE, and prints errors to
 * standard error.
 * \param settings set from the settings file.
 * \param exit_code the exit code to use if the result is false.
 * \param settings_file set to the path of the settings file, unless null.
 * \return true if the program should run, false if it should exit.
 */
bool read_command_line(int argc, char** argv, const program_description& description,
                       google::protobuf::Message& settings, int& exit_code,
                       std::string* settings_file = nullptr);

/** Completes when the process receives SIGTERM or SIGINT. From then on a further SIGTERM is
 * ignored, so that the process can complete its calls, and a SIGINT ends the process.
 */
boost::asio::awaitable<void> wait_for_stop_signal();

/** Calls the hook whenever the process receives SIGHUP, and also every 5 s, since a file may change
 * without a signal. Runs until the task is cancelled.
 * \param reload gets true after a signal, false after an interval without one.
 */
boost::asio::awaitable<void> run_reload_loop(std::function<void(bool)> reload);

/** Runs the io_context until the main task completes. SIGPIPE is ignored, and so is SIGHUP unless
 * run_reload_loop() runs. An exception of the main task is rethrown.
 * \param context the only io_context of the process.
 * \param main_task returns the exit code.
 * \return the exit code.
 */
int run_main_task(boost::asio::io_context& context,
                  const std::function<boost::asio::awaitable<int>()>& main_task);

} // namespace chervildyke
