/** \file
 * Implements the command line with cxxopts and the signals with asio.
 */
#include "base/program.h"

#include <csignal>
#include <iostream>
#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cxxopts.hpp>

#include "base/clock.h"
#include "base/free_memory.h"
#include "base/settings.h"

namespace chervildyke {

namespace {

constexpr duration reload_interval = 5s; // Settings change rarely and are not urgent.

/** Prints the faults.
 * \return the exit code.
 */
int report_faults(const std::vector<settings_fault>& faults)
{
    for (const settings_fault& fault : faults) {
        std::cerr << fault.to_string() << "\n";
    }
    return faults.empty() ? exit_success : exit_bad_settings;
}

/** Ignores further signals of the set, whose default action would end the process at once. */
boost::asio::awaitable<void> ignore_signals(std::shared_ptr<boost::asio::signal_set> signals)
{
    while (true) {
        co_await signals->async_wait(boost::asio::use_awaitable);
    }
}

} // namespace

bool read_command_line(int argc, char** argv, const program_description& description,
                       google::protobuf::Message& settings, int& exit_code,
                       std::string* settings_file)
{
    cxxopts::Options options(description.name, description.purpose);
    options.add_options()("settings", "the settings file", cxxopts::value<std::string>())(
        "check-settings", "check a settings file and exit", cxxopts::value<std::string>())(
        "version", "print the version and exit")("help", "print this help and exit");
    exit_code = exit_success;
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0) {
            std::cout << options.help() << "\n";
            return false;
        }
        if (given.count("version") != 0) {
            std::cout << description.name << " " << description.version << "\n";
            return false;
        }
        if (given.count("check-settings") != 0) {
            exit_code =
                report_faults(load_document(given["check-settings"].as<std::string>(), settings));
            return false;
        }
        if (given.count("settings") == 0) {
            std::cerr << description.name << ": expected --settings FILE; see --help\n";
            exit_code = exit_bad_settings;
            return false;
        }
        const auto file = given["settings"].as<std::string>();
        if (settings_file != nullptr) {
            *settings_file = file;
        }
        exit_code = report_faults(load_document(file, settings));
        return exit_code == exit_success;
    }
    catch (const cxxopts::exceptions::exception& error) {
        std::cerr << description.name << ": " << error.what() << "\n";
        exit_code = exit_bad_settings;
        return false;
    }
}

boost::asio::awaitable<void> wait_for_stop_signal()
{
    const auto executor = co_await boost::asio::this_coro::executor;
    const auto signals = std::make_shared<boost::asio::signal_set>(executor, SIGTERM, SIGINT);
    co_await signals->async_wait(boost::asio::use_awaitable);
    signals->remove(SIGINT);
    boost::asio::co_spawn(executor, ignore_signals(signals), boost::asio::detached);
}

boost::asio::awaitable<void> run_reload_loop(std::function<void(bool)> reload)
{
    using namespace boost::asio::experimental::awaitable_operators;
    boost::asio::signal_set signals(co_await boost::asio::this_coro::executor, SIGHUP);
    timer next(co_await boost::asio::this_coro::executor);
    while (true) {
        next.expires_after(reload_interval);
        const auto which = co_await (signals.async_wait(boost::asio::use_awaitable) ||
                                     next.async_wait(boost::asio::use_awaitable));
        reload(which.index() == 0);
    }
}

int run_main_task(boost::asio::io_context& context,
                  const std::function<boost::asio::awaitable<int>()>& main_task)
{
    return_large_blocks();
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN); // Until run_reload_loop() handles it.
    int exit_code = exit_failure;
    boost::asio::co_spawn(context, return_free_memory(), boost::asio::detached);
    boost::asio::co_spawn(context, main_task(), [&](const std::exception_ptr& thrown, int code) {
        exit_code = code;
        context.stop();
        if (thrown) {
            std::rethrow_exception(thrown);
        }
    });
    context.run();
    return exit_code;
}

} // namespace chervildyke
