/** \file
 * Implements command_sender.
 */
#include "replicas/command_sender.h"

#include <algorithm>
#include <map>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/log.h"
#include "members/watch_assignment.h"

namespace chervildyke {

namespace {

const logger sender_log("engine-orders");

/** How long a command that is no longer due is kept after it could have been sent again. */
constexpr duration sent_command_retention = 600s;

schema::engine_order to_message(const due_command& due, const std::string& command_id,
                                const std::string& sender)
{
    schema::engine_order message;
    message.set_order_id(command_id);
    message.set_fencing(due.replica);
    message.set_holder(sender);
    message.set_kind(due.kind);
    message.set_replica_id(due.replica);
    message.set_model(due.model);
    message.set_bytes(due.bytes);
    for (const std::string& adapter : due.adapters) {
        message.add_adapters(adapter);
    }
    message.set_adapter(due.adapter);
    for (const auto& [vm, address] : due.group) {
        schema::engine_peer& peer = *message.add_group();
        peer.set_vm(vm);
        peer.set_address(address);
    }
    return message;
}

/** \return the key by which sent commands are kept; equal for a command that is due repeatedly. */
std::string command_key(const due_command& due)
{
    return std::to_string(due.kind) + "-" + std::to_string(due.replica) + "-" + due.vm + "-" +
           due.adapter;
}

} // namespace

struct command_sender::state : std::enable_shared_from_this<command_sender::state> {
    state(boost::asio::any_io_executor the_executor, std::string the_self, report_table& the_table,
          engine_client the_engine, command_sender_options the_options)
        : executor(std::move(the_executor)), self(std::move(the_self)), table(the_table),
          engine(std::move(the_engine)), options(std::move(the_options))
    {
    }

    /** A command that was sent at least once. It is kept while it is due and for some time
     * after.
     */
    struct sent_command {
        std::string incarnation; // Of the engine when the command got its id.
        unsigned generation = 0; // Raised when the command is needed once more.
        time_point next_send_at{};
        std::optional<time_point> accepted_at;
        bool in_flight = false;
        bool still_due = false;
    };

    /** A command that the engine may still execute, since its outcome is unknown. */
    struct unresolved_command {
        replica_id replica = 0;
        time_point until{};
    };

    bool may_send(const due_command& due, const std::vector<std::string>& alive, time_point now);
    void update_responsibility(const std::vector<std::string>& alive, time_point now);
    void start_send(const due_command& due, time_point now);
    boost::asio::awaitable<void> send(due_command due, std::string key, std::string command_id);

    boost::asio::any_io_executor executor;
    std::string self;
    report_table& table;
    engine_client engine;
    command_sender_options options;
    std::map<std::string, sent_command> sent_commands; // By command_key().

    /** By VM: since when this control has been responsible for it. */
    std::map<std::string, time_point> responsible_since;

    std::map<std::string, unresolved_command> unresolved; // By VM.
    std::vector<std::string> assigned_members;
    std::size_t assigned_vm_count = 0;
    std::optional<time_point> last_call_at;
    std::uint64_t sent_count = 0;
    bool stopped = false;
};

/** Updates since when this control has been responsible for each VM, for engines that don't check
 * fencing.
 */
void command_sender::state::update_responsibility(const std::vector<std::string>& alive,
                                                  time_point now)
{
    const bool was_paused = last_call_at && now - *last_call_at > options.command_quarantine / 2;
    last_call_at = now;
    if (was_paused) {
        responsible_since.clear();
    }
    const auto& vms = table.fleet().vms;
    if (!was_paused && alive == assigned_members && vms.size() == assigned_vm_count) {
        return;
    }
    std::map<std::string, time_point> updated;
    for (const auto& [name, vm] : vms) {
        if (is_first_member_for("orders-" + name, self, alive)) {
            const auto known = responsible_since.find(name);
            updated[name] = known == responsible_since.end() ? now : known->second;
        }
    }
    responsible_since = std::move(updated);
    assigned_members = alive;
    assigned_vm_count = vms.size();
}

bool command_sender::state::may_send(const due_command& due, const std::vector<std::string>& alive,
                                     time_point now)
{
    if (options.engines_check_fencing) {
        return is_first_member_for("replica-" + std::to_string(due.replica), self, alive);
    }
    const auto since = responsible_since.find(due.vm);
    if (since == responsible_since.end() || now - since->second < options.command_quarantine) {
        return false;
    }
    const auto earlier = unresolved.find(due.vm);
    return earlier == unresolved.end() || earlier->second.replica == due.replica ||
           now >= earlier->second.until;
}

void command_sender::state::start_send(const due_command& due, time_point now)
{
    const std::string key = command_key(due);
    sent_command& command = sent_commands[key];
    command.still_due = true;
    const observed_vm* vm = table.fleet().find(due.vm);
    if (command.in_flight || now < command.next_send_at || vm == nullptr || !vm->report) {
        return;
    }
    const std::string incarnation = vm->report->incarnation();
    const bool needed_again = command.accepted_at && vm->last_answer_at > command.accepted_at &&
                              due.kind != schema::order_leave;
    if (needed_again || command.incarnation != incarnation) {
        command.incarnation = incarnation;
        ++command.generation;
        command.accepted_at.reset();
    }
    command.in_flight = true;
    command.next_send_at = now + options.resend_interval;
    const std::string command_id =
        key + "-" + incarnation + "-" + self + "-" + std::to_string(command.generation);
    boost::asio::co_spawn(executor, send(due, key, command_id), boost::asio::detached);
}

boost::asio::awaitable<void> command_sender::state::send(due_command due, std::string key,
                                                         std::string command_id)
{
    const auto keep = shared_from_this();
    const time_point sent_at = monotonic_clock::now();
    const schema::engine_order message = to_message(due, command_id, self);
    unresolved_command pending;
    pending.replica = due.replica;
    pending.until = sent_at + options.command_quarantine;
    unresolved[due.vm] = pending;
    ++sent_count;
    const auto reply = co_await engine.order(due.address, message, options.timeout);
    if (stopped) {
        co_return;
    }
    const auto found = sent_commands.find(key);
    if (found != sent_commands.end()) {
        found->second.in_flight = false;
    }
    if (!reply) {
        if (reply.failure().code != external_error::unknown_outcome) {
            unresolved.erase(due.vm);
        }
        co_return;
    }
    unresolved.erase(due.vm);
    if (!reply->accepted()) {
        sender_log.warning(due.vm, " refused ", command_id, ": ", reply->reason());
    }
    else if (found != sent_commands.end()) {
        found->second.accepted_at = monotonic_clock::now();
    }
    if (reply->has_report()) {
        table.add_report(due.vm, reply->report(), sent_at);
        if (options.on_report) {
            options.on_report();
        }
    }
}

command_sender::command_sender(boost::asio::any_io_executor executor, std::string self,
                               report_table& table, engine_client engine,
                               command_sender_options options)
    : state_(std::make_shared<state>(std::move(executor), std::move(self), table, std::move(engine),
                                     options))
{
}

command_sender::~command_sender()
{
    state_->stopped = true;
}

void command_sender::send_due(const std::vector<due_command>& due,
                              const std::vector<std::string>& alive, time_point now)
{
    if (!state_->options.engines_check_fencing) {
        state_->update_responsibility(alive, now);
    }
    for (auto& [key, command] : state_->sent_commands) {
        command.still_due = false;
    }
    for (const due_command& command : due) {
        const auto known = state_->sent_commands.find(command_key(command));
        if (state_->may_send(command, alive, now)) {
            state_->start_send(command, now);
        }
        else if (known != state_->sent_commands.end()) {
            known->second.still_due = true;
        }
    }
    // A command that was executed and is no longer due keeps its generation for some time, so that
    // it gets a new id when its engine needs it again.
    for (auto position = state_->sent_commands.begin(); position != state_->sent_commands.end();) {
        const auto& command = position->second;
        const bool expired = !command.still_due && !command.in_flight &&
                             now > command.next_send_at + sent_command_retention;
        position = expired ? state_->sent_commands.erase(position) : std::next(position);
    }
}

std::uint64_t command_sender::sent_count() const
{
    return state_->sent_count;
}

} // namespace chervildyke
