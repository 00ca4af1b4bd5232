/** \file
 * Implements the reading of chervilctl's command line over cxxopts.
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

constexpr std::size_t any_number = std::numeric_limits<std::size_t>::max();

/** A verb with how many arguments it takes. */
struct verb_form {
    const char* name;
    ctl_verb verb;
    std::size_t least;
    std::size_t most;
    const char* usage;
};

constexpr verb_form forms[] = {
    {"validate", ctl_verb::validate, 1, 1, "validate FILE         check a configuration file"},
    {"diff", ctl_verb::diff, 1, 1, "diff FILE             show what a file would change"},
    {"publish", ctl_verb::publish, 1, 1, "publish FILE          put a configuration in force"},
    {"status", ctl_verb::status, 0, 0, "status                show members and replicas"},
    {"history", ctl_verb::history, 0, 0, "history               show accepted configurations"},
    {"rollback", ctl_verb::rollback, 1, 1,
     "rollback VERSION      publish an older one as a new one"},
    {"explain", ctl_verb::explain, 1, 1, "explain TEAM|VM       say why it is as it is"},
    {"drain", ctl_verb::drain, 1, any_number, "drain VM...           have VMs emptied"},
    {"undrain", ctl_verb::undrain, 1, any_number, "undrain VM...         have VMs used again"},
};

const verb_form* find_form(const std::string& name)
{
    for (const verb_form& form : forms) {
        if (name == form.name) {
            return &form;
        }
    }
    return nullptr;
}

void print_help(const cxxopts::Options& options)
{
    std::cout << options.help() << "\nCommands:\n";
    for (const verb_form& form : forms) {
        std::cout << "  " << form.usage << "\n";
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

std::optional<ctl_command> to_command(const cxxopts::ParseResult& given)
{
    const auto words = given.count("words") != 0 ? given["words"].as<std::vector<std::string>>()
                                                 : std::vector<std::string>();
    const verb_form* form = words.empty() ? nullptr : find_form(words[0]);
    if (form == nullptr) {
        std::cerr << "chervilctl: give one of the commands that --help lists\n";
        return std::nullopt;
    }
    if (words.size() - 1 < form->least || words.size() - 1 > form->most) {
        std::cerr << "chervilctl: expected " << form->usage << "\n";
        return std::nullopt;
    }
    if (given.count("settings") == 0 && form->verb != ctl_verb::validate) {
        std::cerr << "chervilctl: give --settings FILE\n";
        return std::nullopt;
    }
    ctl_command command;
    command.verb = form->verb;
    command.arguments.assign(words.begin() + 1, words.end());
    if (given.count("settings") != 0) {
        command.settings_file = given["settings"].as<std::string>();
    }
    if (given.count("base") != 0) {
        command.base_version = given["base"].as<std::uint64_t>();
    }
    command.comment = given["comment"].as<std::string>();
    command.wait = std::chrono::seconds(given["wait"].as<std::uint32_t>());
    command.json = given.count("json") != 0;
    return command;
}

} // namespace

std::optional<ctl_command> read_ctl_command(int argc, char** argv, const std::string& version,
                                            int& exit_code)
{
    cxxopts::Options options("chervilctl", "Publishes configuration and shows the fleet.");
    options.positional_help("COMMAND ARGUMENTS");
    options.add_options()("settings", "the settings file", cxxopts::value<std::string>())(
        "check-settings", "check a settings file and end", cxxopts::value<std::string>())(
        "base", "the version that is edited; the one in force if not given",
        cxxopts::value<std::uint64_t>())("comment", "kept beside the version",
                                         cxxopts::value<std::string>()->default_value(""))(
        "wait", "seconds to wait for the verdict and until it is in force",
        cxxopts::value<std::uint32_t>()->default_value("15"))("json", "print JSON")(
        "version", "print the version and end")("help", "print this and end")(
        "words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    exit_code = exit_success;
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0) {
            print_help(options);
            return std::nullopt;
        }
        if (given.count("version") != 0) {
            std::cout << "chervilctl " << version << "\n";
            return std::nullopt;
        }
        if (given.count("check-settings") != 0) {
            exit_code = check_settings(given["check-settings"].as<std::string>());
            return std::nullopt;
        }
        auto command = to_command(given);
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
