/** \file
 * Defines the shell that every daemon shares: command line, settings check, signals and exit codes.
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
constexpr int exit_bad_settings = 2; // Also a bad command line.

struct program_description {
    std::string name;
    std::string version;
    std::string purpose;
};

/** Reads --help, --version, --check-settings FILE and --settings FILE.
 * \param settings filled from the file.
 * \param exit_code set when the program should end.
 * \param settings_file set to the name of the settings file, unless null.
 * \return true when the program should run.
 */
bool read_command_line(int argc, char** argv, const program_description& description,
                       google::protobuf::Message& settings, int& exit_code,
                       std::string* settings_file = nullptr);

/** Completes when the process is asked to stop by SIGTERM or SIGINT. */
boost::asio::awaitable<void> wait_for_stop_signal();

/** Calls the hook when the process is told to reload by SIGHUP, and in each interval, since a file
 * may also change without a signal.
 * \param reload gets true for a signal.
 */
boost::asio::awaitable<void> follow_reloads(std::function<void(bool)> reload);

/** Runs the main task until it completes.
 * \param context the process's only context.
 * \param main_task returns the exit code.
 * \return the exit code.
 */
int run_main_task(boost::asio::io_context& context,
                  const std::function<boost::asio::awaitable<int>()>& main_task);

} // namespace chervildyke
