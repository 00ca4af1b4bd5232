/** \file
 * Implements send_join.
 */
#include "assembly/join_guard.h"

#include <utility>

#include "assembly/replica_command.h"
#include "base/event_log.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log join_log("assembly");

/** \param found why the join is not sent. */
void log_withheld(const backend& vm, const engine_command& join, const char* found)
{
    join_log.write("join_withheld", {{"vm", vm.id},
                                     {"replica", join.replica},
                                     {"epoch", std::to_string(join.epoch)},
                                     {"reason", found}});
}

} // namespace

join_step next_join_step(const engine_state& state, const engine_command& join,
                         const is_closed_hook& is_closed)
{
    if (!state.membership || state.membership->epoch == join.epoch) {
        return join_step::join;
    }
    const replica_membership& current = *state.membership;
    if (current.epoch > join.epoch) {
        return join_step::wait;
    }
    if (current.rank == 0) {
        const bool takes_calls =
            current.phase == membership_phase::open || current.phase == membership_phase::closing;
        return takes_calls ? join_step::wait : join_step::join;
    }
    return is_closed(current.epoch) ? join_step::join : join_step::leave_first;
}

asio::awaitable<command_outcome> send_join(engine_calls engines, backend vm, engine_command join,
                                           is_closed_hook is_closed, leave_hook on_leave)
{
    const std::optional<engine_state> state = co_await engines.read_state(vm);
    if (!state || state->started_ms != vm.started_ms) {
        log_withheld(vm, join, state ? "the VM has restarted" : "the VM did not tell its state");
        co_return command_outcome::no_contact;
    }
    const join_step step = next_join_step(*state, join, is_closed);
    if (step == join_step::wait) {
        log_withheld(vm, join, "the VM serves, or belongs to a newer replica");
        co_return command_outcome::no_contact;
    }
    join.only_after = state->begun_commands;
    if (step == join_step::leave_first) {
        const engine_command leave = make_command(command_kind::leave, *state->membership);
        const command_outcome left = co_await engines.send(vm, leave);
        on_leave(leave, left);
        if (left != command_outcome::begun) {
            log_withheld(vm, join, "the VM did not confirm that it left another replica");
            co_return command_outcome::no_contact;
        }
        if (join.only_after) {
            ++*join.only_after;
        }
    }
    co_return co_await engines.send(std::move(vm), std::move(join));
}

} // namespace chervildyke
