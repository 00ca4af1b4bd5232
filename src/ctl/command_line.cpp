/** \file
 * Implements the parsing of chervilctl's command line with cxxopts.
 */
#include "ctl/command_line.h"

#include <iostream>
#include <limits>

#include <cxxopts.hpp>

#include "base/program.h"
#include "base/settings.h"
#include "settings.pb.h"

namespace chervildyke {

namespace {

constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

/** The syntax of one verb: its name and the number of arguments that it takes. */
struct verb_syntax {
    const char* name;
    ctl_verb verb;
    std::size_t min_arguments;
    std::size_t max_arguments;
    const char* usage;
};

constexpr verb_syntax verb_syntaxes[] = {
    {"validate", ctl_verb::validate, 1, 1, "validate FILE         check a configuration file"},
    {"diff", ctl_verb::diff, 1, 1,
     "diff FILE             show the changes from the version in force"},
    {"publish", ctl_verb::publish, 1, 1, "publish FILE          put a configuration in force"},
    {"status", ctl_verb::status, 0, 0, "status                show control nodes and replicas"},
    {"history", ctl_verb::history, 0, 0, "history               show accepted configurations"},
    {"rollback", ctl_verb::rollback, 1, 1,
     "rollback VERSION      publish an older version as a new version"},
    {"explain", ctl_verb::explain, 1, 1,
     "explain TEAM|VM       show the state of a team or VM and its causes"},
    {"drain", ctl_verb::drain, 1, unlimited, "drain VM...           stop using VMs for replicas"},
    {"undrain", ctl_verb::undrain, 1, unlimited, "undrain VM...         use drained VMs again"},
};

const verb_syntax* find_verb_syntax(const std::string& name)
{
    for (const verb_syntax& syntax : verb_syntaxes) {
        if (name == syntax.name) {
            return &syntax;
        }
    }
    return nullptr;
}

void print_help(const cxxopts::Options& options)
{
    std::cout << options.help() << "\nCommands:\n";
    for (const verb_syntax& syntax : verb_syntaxes) {
        std::cout << "  " << syntax.usage << "\n";
    }
}

int check_settings(const std::string& file)
{
    schema::ctl_settings settings;
    const auto faults = load_document(file, settings);
    for (const settings_fault& fault : faults) {
        std::cerr << fault.to_string() << "\n";
    }
    return faults.empty() ? exit_success : exit_bad_settings;
}

std::optional<ctl_command> make_command(const cxxopts::ParseResult& parsed)
{
    const auto positional = parsed.count("words") != 0
                                ? parsed["words"].as<std::vector<std::string>>()
                                : std::vector<std::string>();
    const verb_syntax* syntax = positional.empty() ? nullptr : find_verb_syntax(positional[0]);
    if (syntax == nullptr) {
        std::cerr << "chervilctl: expected a command, found "
                  << (positional.empty() ? std::string("none") : positional[0])
                  << "; --help lists all commands\n";
        return std::nullopt;
    }
    if (positional.size() - 1 < syntax->min_arguments ||
        positional.size() - 1 > syntax->max_arguments) {
        std::cerr << "chervilctl: found " << positional.size() - 1
                  << " arguments, expected: " << syntax->usage << "\n";
        return std::nullopt;
    }
    if (parsed.count("settings") == 0 && syntax->verb != ctl_verb::validate) {
        std::cerr << "chervilctl: this command requires --settings FILE\n";
        return std::nullopt;
    }
    ctl_command command;
    command.verb = syntax->verb;
    command.arguments.assign(positional.begin() + 1, positional.end());
    if (parsed.count("settings") != 0) {
        command.settings_file = parsed["settings"].as<std::string>();
    }
    if (parsed.count("base") != 0) {
        command.base_version = parsed["base"].as<std::uint64_t>();
    }
    command.comment = parsed["comment"].as<std::string>();
    command.timeout = std::chrono::seconds(parsed["wait"].as<std::uint32_t>());
    command.json = parsed.count("json") != 0;
    return command;
}

} // namespace

std::optional<ctl_command> parse_ctl_command(int argc, char** argv, const std::string& version,
                                             int& exit_code)
{
    cxxopts::Options options("chervilctl",
                             "Publishes configurations and shows the state of the fleet.");
    options.positional_help("COMMAND ARGUMENTS");
    options.add_options()("settings", "the settings file", cxxopts::value<std::string>())(
        "check-settings", "check a settings file and exit", cxxopts::value<std::string>())(
        "base", "the version that the configuration edits; default: the version in force",
        cxxopts::value<std::uint64_t>())("comment", "comment to store with the version",
                                         cxxopts::value<std::string>()->default_value(""))(
        "wait",
        "time limit in seconds for each step: reading the journal, the outcome, the rollout",
        cxxopts::value<std::uint32_t>()->default_value("15"))("json", "print JSON")(
        "version", "print the version and exit")("help", "print this help and exit")(
        "words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    exit_code = exit_success;
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0) {
            print_help(options);
            return std::nullopt;
        }
        if (parsed.count("version") != 0) {
            std::cout << "chervilctl " << version << "\n";
            return std::nullopt;
        }
        if (parsed.count("check-settings") != 0) {
            exit_code = check_settings(parsed["check-settings"].as<std::string>());
            return std::nullopt;
        }
        auto command = make_command(parsed);
        exit_code = command ? exit_success : exit_bad_settings;
        return command;
    }
    catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "chervilctl: " << error.what() << "\n";
        exit_code = exit_bad_settings;
        return std::nullopt;
    }
}

} // namespace chervildyke
