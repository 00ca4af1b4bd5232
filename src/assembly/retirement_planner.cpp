/** \file
 * Implements retirement_planner.
 */
#include "assembly/retirement_planner.h"

#include "assembly/member_pool.h"
#include "assembly/replica_command.h"

namespace chervildyke {

namespace {

bool has_outcome(const sent_command* command, command_outcome outcome)
{
    return command != nullptr && command->outcome == outcome;
}

/** \return true when the VM executes the command, or refused it because there is nothing to do.
 */
bool is_settled(const sent_command* command)
{
    return has_outcome(command, command_outcome::begun) ||
           has_outcome(command, command_outcome::refused);
}

} // namespace

void retirement_planner::finish(const ledger_entry& entry)
{
    const schema::shared_member& head = entry.second.members(0);
    const listed_backend* listed = in_.backends->find(head.id());
    if (listed == nullptr) {
        finish_without_head(entry);
        return;
    }
    const replica_membership* joined = membership_in(listed, entry);
    const sent_command* leave =
        in_.history->find(head.id(), command_kind::leave, entry.second.epoch());
    // A list entry changes only when its VM's state does. An old entry that does not show the
    // head in this replica, together with its refusal to leave, is thus as conclusive as a new
    // one.
    const bool not_a_member = joined == nullptr && has_outcome(leave, command_outcome::refused);
    const bool confirmed = not_a_member || has_outcome(leave, command_outcome::begun);
    const bool other_incarnation = listed->server.started_ms != head.started_ms();
    if (confirmed || other_incarnation) {
        builder_.drop_closed(entry);
        return;
    }
    const sent_command* close =
        in_.history->find(head.id(), command_kind::close_now, entry.second.epoch());
    if (close != nullptr && close->unanswered > 0) {
        release_members(entry);
    }
    const bool is_open = joined != nullptr && (joined->phase == membership_phase::open ||
                                               joined->phase == membership_phase::closing);
    if (is_open &&
        !close_head(head.id(), make_command(command_kind::close_now, entry.first, entry.second),
                    entry.second.abort_calls())) {
        return;
    }
    builder_.add_command(head.id(), make_command(command_kind::leave, entry.first, entry.second));
}

/** Makes the members leave a replica whose head can't be reached, and then gives it up. */
void retirement_planner::release_members(const ledger_entry& entry)
{
    for (const std::string& vm : release_.members_to_leave(entry.second)) {
        builder_.add_command(vm, make_command(command_kind::leave, entry.first, entry.second));
    }
    if (release_.may_give_up(entry.second)) {
        builder_.drop(entry); // Members that are listed again leave first, as orphaned ones.
    }
}

/** Closes a head for calls.
 * \param close_now the command that aborts its calls.
 * \return true once it may leave.
 */
bool retirement_planner::close_head(const std::string& head, const engine_command& close_now,
                                    bool abort_calls)
{
    const sent_command* idle_close =
        in_.history->find(head, command_kind::close_when_idle, close_now.epoch);
    const bool waits_for_calls =
        !abort_calls &&
        (idle_close == nullptr || in_.now - idle_close->at < settings_.idle_close_timeout);
    if (waits_for_calls) {
        if (idle_close == nullptr) {
            engine_command close_when_idle = close_now;
            close_when_idle.kind = command_kind::close_when_idle;
            builder_.add_command(head, close_when_idle);
        }
        return false;
    }
    const sent_command* immediate_close =
        in_.history->find(head, command_kind::close_now, close_now.epoch);
    // A refusal means that the head no longer takes calls.
    if (is_settled(immediate_close)) {
        return true;
    }
    builder_.add_command(head, close_now);
    return false;
}

void retirement_planner::close_orphans()
{
    for (const auto& [id, listed] : in_.backends->all()) {
        const backend& vm = listed.server;
        const bool member = release_.is_orphaned_member(vm);
        const bool orphan =
            vm.service == in_.service && !vm.leaving && (takes_calls(vm) || member) &&
            vm.membership->epoch < epoch_at(in_.ledger->end()) && !in_.ledger->holder_of(id);
        if (!orphan) {
            continue;
        }
        const replica_membership& membership = *vm.membership;
        const sent_command* leave = in_.history->find(id, command_kind::leave, membership.epoch);
        if (is_settled(leave) && !member) {
            builder_.plan.closed.push_back(membership.epoch);
        }
        if (is_settled(leave) && in_.now - leave->at < list_lag) {
            continue;
        }
        if (member) {
            builder_.add_command(id, make_command(command_kind::leave, membership));
            continue;
        }
        const auto use = in_.uses.find(membership.epoch);
        const bool has_calls = use != in_.uses.end() && use->second.running > 0;
        if (close_head(id, make_command(command_kind::close_now, membership), !has_calls)) {
            builder_.add_command(id, make_command(command_kind::leave, membership));
        }
    }
}

/** Handles a head that is no longer listed: its process ended, or it is disconnected and may
 * still serve calls.
 */
void retirement_planner::finish_without_head(const ledger_entry& entry)
{
    const std::string& head = entry.second.members(0).id();
    const lost_head* lost = in_.history->find_lost_head(entry.second.epoch());
    if (lost == nullptr) {
        return; // The assembler has not recorded the loss yet.
    }
    const probe_state* probed = in_.history->find_probe(head);
    const bool was_silent = probed != nullptr && probed->failures > 0 &&
                            in_.now - probed->first_failure_at >= settings_.silent_head_wait;
    const bool wait_is_over = was_silent || in_.now - lost->since >= settings_.lost_head_wait;
    const sent_command* immediate_close =
        in_.history->find(head, command_kind::close_now, entry.second.epoch());
    const sent_command* idle_close =
        in_.history->find(head, command_kind::close_when_idle, entry.second.epoch());
    const sent_command* leave = in_.history->find(head, command_kind::leave, entry.second.epoch());
    // A refusal to leave means that the head is no longer in the replica.
    const bool confirmed = is_settled(leave) || has_outcome(leave, command_outcome::other_vm) ||
                           has_outcome(idle_close, command_outcome::other_vm) ||
                           has_outcome(immediate_close, command_outcome::other_vm);
    const auto use = in_.uses.find(entry.second.epoch());
    const bool has_recent_events = use != in_.uses.end() && use->second.running > 0 &&
                                   use->second.silent < settings_.lost_head_wait;
    if (confirmed) {
        builder_.drop_closed(entry);
        return;
    }
    // A head that refuses connections may have stopped listening and still finish calls, so its
    // members leave too.
    if (wait_is_over && lost->no_contact && !has_recent_events) {
        release_members(entry);
    }
    if (!lost->address_known) {
        return;
    }
    if (waits_for_lost_head(entry, *lost, idle_close)) {
        return;
    }
    // A refusal to close means that the head no longer takes calls.
    builder_.add_command(head, make_command(is_settled(immediate_close) ? command_kind::leave
                                                                        : command_kind::close_now,
                                            entry.first, entry.second));
}

/** Closes a head that is no longer listed for new calls, and probes it when its calls are
 * silent.
 * \return true while the calls may finish.
 */
bool retirement_planner::waits_for_lost_head(const ledger_entry& entry, const lost_head& lost,
                                             const sent_command* idle_close)
{
    const bool in_time = in_.now - lost.since < settings_.idle_close_timeout;
    if (entry.second.abort_calls() || !in_time || !evidence_.calls_may_finish(entry.second)) {
        return false;
    }
    const std::string& head = entry.second.members(0).id();
    if (!evidence_.makes_progress(entry.second)) {
        builder_.add_probe(head);
    }
    if (!is_settled(idle_close)) {
        builder_.add_command(
            head, make_command(command_kind::close_when_idle, entry.first, entry.second));
    }
    return true;
}

} // namespace chervildyke
