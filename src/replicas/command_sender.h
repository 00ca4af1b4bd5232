/** \file
 * Defines find_due_commands, which finds the commands that engines need, and command_sender, which
 * sends those that this control is responsible for.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "external/engine_client.h"
#include "replicas/repair_plan.h"
#include "replicas/report_table.h"

namespace chervildyke {

/** A command that an engine needs by the journal and its last report. */
struct due_command {
    std::string vm;
    std::string address;
    schema::engine_order_kind kind = schema::order_unknown_kind;
    replica_id replica = 0; // Also the command's fencing number.
    std::string model;
    std::uint64_t bytes = 0;           // Of the model's weights on one VM.
    std::vector<std::string> adapters; // To load with the model, for a join.
    std::string adapter;               // To load in addition, for order_load_adapter.
    std::vector<std::pair<std::string, std::string>> group; // VM and address of each member.

    bool operator==(const due_command&) const = default;
};

/** Compares the engines' reports with the journal's state. A member of a live replica that reports
 * another replica or none has to join, as soon as its load is admitted. A ready member has to load
 * the adapters that it lacks. An engine that reports a replica, while its VM is held by a retiring
 * replica or by none, has to leave. Engines that report a replica formed later than this state get
 * no command, since the state is behind.
 * \return the due commands for all VMs.
 */
std::vector<due_command> find_due_commands(const fleet_state& state, const observed_fleet& fleet,
                                           const repair_history& history,
                                           const repair_options& options, time_point now);

struct command_sender_options {
    bool engines_check_fencing = true;
    duration command_quarantine = 3s; // The longest time that a command can be in flight.
    duration timeout = 1s;            // Of one send.
    duration resend_interval = 1s;    // Between two sends of a command that stays due.
    std::function<void()> on_report;  // After a reply with a report. May be empty.
};

/** Sends due commands to the VMs that this control is responsible for, as the first alive control
 * by rendezvous hash. Each command has an id, so engines ignore copies. Engines that check fencing
 * may get commands from several controls at once. With other engines, a control that becomes
 * responsible or resumes after a pause sends nothing until no command of an earlier control can be
 * in flight, and a command with an unknown outcome delays commands for other replicas to the same
 * VM for as long. If a command arrives even later, the engine's next report does not match the
 * journal, and the next due command corrects it.
 */
class command_sender {
  public:
    command_sender(boost::asio::any_io_executor executor, std::string self, report_table& table,
                   engine_client engine, command_sender_options options);
    ~command_sender();
    command_sender(const command_sender&) = delete;
    command_sender& operator=(const command_sender&) = delete;

    /** Starts to send the due commands that are not in flight. Must be called regularly: with
     * engines that don't check fencing, a gap of more than half the quarantine counts as a pause of
     * this process. \param alive the controls that seem alive.
     */
    void send_due(const std::vector<due_command>& due, const std::vector<std::string>& alive,
                  time_point now);

    /** \return how many commands were sent so far, with copies. */
    std::uint64_t sent_count() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
