/** \file
 * Implements the commands that show the state of the fleet.
 */
#include "ctl/show_commands.h"

#include <iostream>

#include <nlohmann/json.hpp>

#include "base/program.h"
#include "ctl/control_status.h"
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

void print_control_status(const control_status& status)
{
    std::cout << "  " << status.address << "  ";
    if (!status.reply) {
        std::cout << "no reply: " << status.last_reason << "\n";
        return;
    }
    const schema::status_reply& reply = *status.reply;
    std::cout << reply.vm() << "  " << (reply.ready() ? "ready" : "not ready") << "  offset "
              << reply.highest_offset() << "  version " << reply.configuration_version()
              << "  entry version " << reply.entry_configuration_version() << "  log "
              << (reply.log_reachable() ? "up" : "down") << "\n";
}

void print_replicas(const schema::status_reply& reply)
{
    std::cout << "replicas:\n";
    for (const schema::replica_record& replica : reply.replicas()) {
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

void print_status_json(const std::vector<control_status>& statuses)
{
    json all = json::array();
    for (const control_status& status : statuses) {
        json one = {{"address", status.address}};
        if (status.reply) {
            one["status"] = to_json_value(*status.reply);
        }
        else {
            one["reason"] = status.last_reason;
        }
        all.push_back(std::move(one));
    }
    std::cout << all.dump() << "\n";
}

/** \return the reply with the highest journal offset; null when there is none. */
const schema::status_reply* find_newest_status(const std::vector<control_status>& statuses)
{
    const schema::status_reply* newest = nullptr;
    for (const control_status& status : statuses) {
        if (status.reply &&
            (newest == nullptr || status.reply->highest_offset() > newest->highest_offset())) {
            newest = &*status.reply;
        }
    }
    return newest;
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
                  << (entry.configuration ? "" : "  (configuration no longer kept)") << "\n";
    }
    if (as_json) {
        std::cout << all.dump() << "\n";
    }
    return exit_success;
}

boost::asio::awaitable<int> show_status(boost::asio::any_io_executor executor, ctl_command command,
                                        schema::ctl_settings settings)
{
    const auto statuses =
        co_await fetch_control_statuses(executor, control_addresses(settings), true);
    const schema::status_reply* newest = find_newest_status(statuses);
    if (command.json) {
        print_status_json(statuses);
        co_return newest != nullptr ? exit_success : exit_failure;
    }
    std::cout << "control nodes:\n";
    for (const control_status& status : statuses) {
        print_control_status(status);
    }
    if (newest == nullptr) {
        co_return exit_failure;
    }
    print_replicas(*newest);
    co_return exit_success;
}

boost::asio::awaitable<int> show_explanation(boost::asio::any_io_executor executor,
                                             ctl_command command, schema::ctl_settings settings)
{
    std::string last_reason = "the settings name no control node";
    for (const std::string& address : settings.control_addresses()) {
        control_client control(executor, address);
        schema::explain_request request;
        request.set_subject(command.arguments[0]);
        auto reply = co_await control.explain(std::move(request), explain_timeout);
        if (!reply) {
            last_reason = reply.failure().reason;
            continue;
        }
        for (const std::string& line : reply->lines()) {
            std::cout << line << "\n";
        }
        co_return exit_success;
    }
    std::cerr << "chervilctl: no control node replied: " << last_reason << "\n";
    co_return exit_failure;
}

} // namespace chervildyke
