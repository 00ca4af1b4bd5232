/** \file
 * Implements the commands that check, compare and publish configurations.
 */
#include "ctl/publish_commands.h"

#include <algorithm>
#include <charconv>
#include <iostream>

#include <google/protobuf/util/message_differencer.h>

#include "base/program.h"
#include "base/settings.h"
#include "ctl/control_status.h"
#include "journal/validate.h"

namespace chervildyke {

namespace {

using schema::fleet_configuration;

constexpr duration rollout_poll_interval = 200ms;

std::optional<fleet_configuration> find_version(const fleet_state& state, const std::string& text)
{
    std::uint64_t version = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), version);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        std::cerr << "chervilctl: expected a version number, found " << text << "\n";
        return std::nullopt;
    }
    for (const configuration_entry& entry : state.history()) {
        if (entry.version == version && entry.configuration) {
            return *entry.configuration;
        }
    }
    std::cerr << "chervilctl: version " << version
              << " is not in the kept history; see 'chervilctl history'\n";
    return std::nullopt;
}

fleet_configuration apply_drain_command(const fleet_state& state, const ctl_command& command)
{
    fleet_configuration next = *state.configuration();
    std::vector<std::string> drained(next.drained_vms().begin(), next.drained_vms().end());
    for (const std::string& vm : command.arguments) {
        std::erase(drained, vm);
        if (command.verb == ctl_verb::drain) {
            drained.push_back(vm);
        }
    }
    std::sort(drained.begin(), drained.end());
    next.mutable_drained_vms()->Assign(drained.begin(), drained.end());
    return next;
}

std::optional<fleet_configuration> make_next_configuration(const ctl_command& command,
                                                           const fleet_state& state)
{
    switch (command.verb) {
    case ctl_verb::rollback:
        return find_version(state, command.arguments[0]);
    case ctl_verb::drain:
    case ctl_verb::undrain:
        return apply_drain_command(state, command);
    default:
        return read_configuration(command.arguments[0]);
    }
}

std::string make_comment(const ctl_command& command)
{
    if (!command.comment.empty()) {
        return command.comment;
    }
    switch (command.verb) {
    case ctl_verb::rollback:
        return "rollback to version " + command.arguments[0];
    case ctl_verb::drain:
        return "drain";
    case ctl_verb::undrain:
        return "undrain";
    default:
        return "";
    }
}

void print_current_version(const fleet_state& state)
{
    if (state.history().empty()) {
        return;
    }
    const configuration_entry& current = state.history().back();
    std::cout << "in force is version " << current.version << " by "
              << (current.author.empty() ? "an unnamed author" : current.author)
              << (current.comment.empty() ? "" : " (" + current.comment + ")") << "\n";
}

/** Waits until every control node that replies, and its entry, has the version in force, and prints
 * the progress at the end.
 * \return false after the timeout.
 */
boost::asio::awaitable<bool> wait_for_rollout(boost::asio::any_io_executor executor,
                                              std::vector<std::string> addresses,
                                              std::uint64_t version, duration timeout)
{
    const time_point end = monotonic_clock::now() + timeout;
    rollout_progress progress;
    while (true) {
        const auto statuses = co_await fetch_control_statuses(executor, addresses, false);
        progress = measure_rollout(statuses, version);
        if (progress.is_complete() || monotonic_clock::now() >= end) {
            break;
        }
        co_await sleep_for(rollout_poll_interval);
    }
    std::cout << "in force on " << progress.updated_controls << " control nodes and "
              << progress.updated_entries << " entries; " << progress.responding_controls << " of "
              << progress.total_controls << " control nodes replied\n";
    co_return progress.is_complete();
}

int print_failure(const journal_failure& failure)
{
    if (failure.code == journal_error::unknown_outcome) {
        std::cout << "unknown outcome: the record may be in the journal; see 'chervilctl history' ("
                  << failure.reason << ")\n";
    }
    else {
        std::cout << "not published: " << failure.reason << "\n";
    }
    return exit_failure;
}

} // namespace

std::optional<fleet_configuration> read_configuration(const std::string& file)
{
    fleet_configuration configuration;
    const auto document_faults = load_document(file, configuration);
    for (const settings_fault& fault : document_faults) {
        std::cerr << fault.to_string() << "\n";
    }
    if (!document_faults.empty()) {
        return std::nullopt;
    }
    const auto faults = validate(configuration);
    for (const configuration_fault& fault : faults) {
        std::cerr << file << ": " << fault.to_string() << "\n";
    }
    if (!faults.empty()) {
        return std::nullopt;
    }
    return configuration;
}

int show_diff(const fleet_configuration& next, const fleet_state& state)
{
    std::string report;
    google::protobuf::util::MessageDifferencer differencer;
    differencer.ReportDifferencesToString(&report);
    if (differencer.Compare(*state.configuration(), next)) {
        std::cout << "no difference from version " << state.configuration_version() << "\n";
        return exit_success;
    }
    std::cout << "changes from version " << state.configuration_version() << ":\n" << report;
    return exit_success;
}

boost::asio::awaitable<int> publish(boost::asio::any_io_executor executor, ctl_command command,
                                    schema::ctl_settings settings,
                                    std::shared_ptr<journal_session> session)
{
    const auto next = make_next_configuration(command, *session->state());
    if (!next) {
        co_return exit_bad_settings;
    }
    schema::configuration_change change;
    change.set_base_version(
        command.base_version.value_or(session->state()->configuration_version()));
    *change.mutable_configuration() = *next;
    change.set_author(settings.author());
    change.set_comment(make_comment(command));
    auto proposal = co_await session->propose(std::move(change), command.timeout);
    if (!proposal) {
        co_return print_failure(proposal.failure());
    }
    if (!proposal->outcome.accepted()) {
        std::cout << "rejected at offset " << proposal->offset << ": " << proposal->outcome.reason
                  << "\n";
        print_current_version(*session->state());
        co_return exit_failure;
    }
    std::cout << "accepted as version " << proposal->offset << "\n";
    const std::vector<std::string> controls(settings.control_addresses().begin(),
                                            settings.control_addresses().end());
    const bool is_complete =
        co_await wait_for_rollout(executor, controls, proposal->offset, command.timeout);
    co_return is_complete ? exit_success : exit_failure;
}

} // namespace chervildyke
