/** \file
 * Implements the commands that show the fleet.
 */
#include "ctl/showing.h"

#include <iostream>

#include <nlohmann/json.hpp>

#include "base/program.h"
#include "ctl/control_fanout.h"
#include "external/json_message.h"

namespace chervildyke {

namespace {

using nlohmann::json;

constexpr duration explain_timeout = 3s;

std::vector<std::string> control_addresses(const schema::ctl_settings& settings)
{
    return {settings.control_addresses().begin(), settings.control_addresses().end()};
}

const char* phase_name(schema::replica_phase phase)
{
    switch (phase) {
    case schema::forming:
        return "forming";
    case schema::serving:
        return "serving";
    case schema::retiring:
        return "retiring";
    default:
        return "unknown";
    }
}

void print_control(const control_answer& answer)
{
    std::cout << "  " << answer.address << "  ";
    if (!answer.status) {
        std::cout << "no answer: " << answer.last_reason << "\n";
        return;
    }
    const schema::status_reply& status = *answer.status;
    std::cout << status.vm() << "  " << (status.ready() ? "ready" : "not ready") << "  offset "
              << status.highest_offset() << "  version " << status.configuration_version()
              << "  entry's version " << status.entry_configuration_version() << "  log "
              << (status.log_reachable() ? "up" : "down") << "\n";
}

void print_replicas(const schema::status_reply& status)
{
    std::cout << "replicas:\n";
    for (const schema::replica_record& replica : status.replicas()) {
        std::cout << "  " << replica.replica_id() << "  " << replica.team() << "  "
                  << phase_name(replica.phase()) << " ";
        for (const schema::replica_member& member : replica.members()) {
            std::cout << " " << member.vm() << (member.released() ? "(released)" : "");
        }
        std::cout << "\n";
    }
}

json to_json_value(const google::protobuf::Message& message)
{
    return json::parse(to_json(message), nullptr, false);
}

void print_status_json(const std::vector<control_answer>& answers)
{
    json all = json::array();
    for (const control_answer& answer : answers) {
        json one = {{"address", answer.address}};
        if (answer.status) {
            one["status"] = to_json_value(*answer.status);
        }
        else {
            one["reason"] = answer.last_reason;
        }
        all.push_back(std::move(one));
    }
    std::cout << all.dump() << "\n";
}

/** The newest status among the answers, or null. */
const schema::status_reply* newest(const std::vector<control_answer>& answers)
{
    const schema::status_reply* best = nullptr;
    for (const control_answer& answer : answers) {
        if (answer.status &&
            (best == nullptr || answer.status->highest_offset() > best->highest_offset())) {
            best = &*answer.status;
        }
    }
    return best;
}

} // namespace

int show_history(const fleet_state& state, bool as_json)
{
    json all = json::array();
    for (const configuration_entry& entry : state.history()) {
        const bool in_force = entry.version == state.configuration_version();
        if (as_json) {
            all.push_back({{"version", entry.version},
                           {"author", entry.author},
                           {"comment", entry.comment},
                           {"written_at_ms", entry.written_at_ms},
                           {"kept", entry.configuration != nullptr},
                           {"in_force", in_force}});
            continue;
        }
        std::cout << "version " << entry.version << "  by "
                  << (entry.author.empty() ? "-" : entry.author) << "  at " << entry.written_at_ms
                  << " ms  " << entry.comment << (in_force ? "  (in force)" : "")
                  << (entry.configuration ? "" : "  (text no longer kept)") << "\n";
    }
    if (as_json) {
        std::cout << all.dump() << "\n";
    }
    return exit_success;
}

boost::asio::awaitable<int> show_status(boost::asio::any_io_executor executor, ctl_command command,
                                        schema::ctl_settings settings)
{
    const auto answers = co_await ask_all(executor, control_addresses(settings), true);
    const schema::status_reply* best = newest(answers);
    if (command.json) {
        print_status_json(answers);
        co_return best != nullptr ? exit_success : exit_failure;
    }
    std::cout << "controls:\n";
    for (const control_answer& answer : answers) {
        print_control(answer);
    }
    if (best == nullptr) {
        co_return exit_failure;
    }
    print_replicas(*best);
    co_return exit_success;
}

boost::asio::awaitable<int> show_explanation(boost::asio::any_io_executor executor,
                                             ctl_command command, schema::ctl_settings settings)
{
    std::string last_reason = "no control is named in the settings";
    for (const std::string& address : settings.control_addresses()) {
        control_client control(executor, address);
        schema::explain_request request;
        request.set_subject(command.arguments[0]);
        auto reply = co_await control.explain(std::move(request), explain_timeout);
        if (!reply) {
            last_reason = reply.last_reason().reason;
            continue;
        }
        for (const std::string& line : reply->lines()) {
            std::cout << line << "\n";
        }
        co_return exit_success;
    }
    std::cerr << "chervilctl: no control answered: " << last_reason << "\n";
    co_return exit_failure;
}

} // namespace chervildyke
