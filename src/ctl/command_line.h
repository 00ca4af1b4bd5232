/** \file
 * Defines ctl_command, one command of an operator as the command line states it.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace chervildyke {

enum class ctl_verb { validate, diff, publish, status, history, rollback, explain, drain, undrain };

struct ctl_command {
    ctl_verb verb = ctl_verb::status;
    std::vector<std::string> arguments; // A file, a version, a subject or VMs.
    std::string settings_file;
    std::optional<std::uint64_t> base_version;
    std::string comment;
    duration wait = 15s; // For the verdict, and again until it is in force.
    bool json = false;

    bool operator==(const ctl_command&) const = default;
};

/** Reads the command line; prints help, version or what is wrong with it.
 * \param exit_code set when there is no command to run.
 */
std::optional<ctl_command> read_ctl_command(int argc, char** argv, const std::string& version,
                                            int& exit_code);

} // namespace chervildyke
