/** \file
 * Defines ctl_command, the parsed command line of chervilctl.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace chervildyke {

/** What a command does. */
enum class ctl_verb { validate, diff, publish, status, history, rollback, explain, drain, undrain };

/** One command of an operator with its options. */
struct ctl_command {
    ctl_verb verb = ctl_verb::status;
    std::vector<std::string> arguments; // A file, a version, a team or VM, or several VMs.
    std::string settings_file;
    std::optional<std::uint64_t> base_version; // The version that a published configuration edits.
    std::string comment;

    /** Applies in turn to reading the journal, to the outcome of the appended record, and to the
     * rollout of the accepted version.
     */
    duration timeout = 15s;
    bool json = false;

    bool operator==(const ctl_command&) const = default;
};

/** Parses the command line. Prints the help, the version, the result of --check-settings or an
 * error when there is no command to run.
 * \param version the program's version, for --version.
 * \param exit_code set to the exit code of the program when there is no command to run.
 * \return the command; empty when there is none to run.
 */
std::optional<ctl_command> parse_ctl_command(int argc, char** argv, const std::string& version,
                                             int& exit_code);

} // namespace chervildyke
