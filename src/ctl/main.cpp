/** \file
 * The program chervilctl: the command line of operators.
 */
#include <iostream>
#include <memory>

#include "base/log.h"
#include "base/program.h"
#include "base/settings.h"
#include "ctl/command_line.h"
#include "ctl/journal_session.h"
#include "ctl/publish_commands.h"
#include "ctl/show_commands.h"

namespace chervildyke {

namespace {

bool load_settings(const std::string& file, schema::ctl_settings& settings)
{
    const auto faults = load_document(file, settings);
    for (const settings_fault& fault : faults) {
        std::cerr << fault.to_string() << "\n";
    }
    return faults.empty();
}

/** Runs a command that reads the journal. */
boost::asio::awaitable<int> run_with_journal(boost::asio::any_io_executor executor,
                                             ctl_command command, schema::ctl_settings settings)
{
    const auto session = std::make_shared<journal_session>(executor, settings);
    const bool current = co_await session->open(command.timeout);
    if (!current) {
        std::cerr << "chervilctl: the journal could not be read to its end within --wait seconds; "
                     "is the log service reachable?\n";
        co_return exit_failure;
    }
    if (command.verb == ctl_verb::history) {
        co_return show_history(*session->state(), command.json);
    }
    if (command.verb == ctl_verb::diff) {
        const auto next = read_configuration(command.arguments[0]);
        co_return next ? show_diff(*next, *session->state()) : exit_bad_settings;
    }
    co_return co_await publish(executor, std::move(command), std::move(settings), session);
}

boost::asio::awaitable<int> run_command(boost::asio::any_io_executor executor, ctl_command command,
                                        schema::ctl_settings settings)
{
    switch (command.verb) {
    case ctl_verb::status:
        return show_status(executor, std::move(command), std::move(settings));
    case ctl_verb::explain:
        return show_explanation(executor, std::move(command), std::move(settings));
    default:
        return run_with_journal(executor, std::move(command), std::move(settings));
    }
}

int run(int argc, char** argv)
{
    int exit_code = exit_success;
    const auto command = parse_ctl_command(argc, argv, CHERVIL_VERSION, exit_code);
    if (!command) {
        return exit_code;
    }
    if (command->verb == ctl_verb::validate) {
        const bool good = read_configuration(command->arguments[0]).has_value();
        std::cout << (good ? "valid\n" : "not valid\n");
        return good ? exit_success : exit_bad_settings;
    }
    schema::ctl_settings settings;
    if (!load_settings(command->settings_file, settings)) {
        return exit_bad_settings;
    }
    start_log(settings.log().level().empty() ? "error" : settings.log().level(),
              settings.log().file());
    boost::asio::io_context context;
    const auto executor = context.get_executor();
    return run_main_task(context, [&] { return run_command(executor, *command, settings); });
}

} // namespace

} // namespace chervildyke

int main(int argc, char** argv)
{
    return chervildyke::run(argc, argv);
}
