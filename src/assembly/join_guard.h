/** \file
 * Defines send_join, which lets a VM join a replica only if the VM itself says that it is in no
 * replica whose head may still serve.
 */
#pragma once

#include <cstdint>
#include <functional>

#include <boost/asio/awaitable.hpp>

#include "assembly/engine_command.h"

namespace chervildyke {

/** What to send to a VM that is to join a replica. */
enum class join_step {
    join,
    leave_first, // It is a member of another replica, whose head may serve.
    wait,        // It is itself a head that takes calls, or belongs to a newer replica.
};

/** \return true if the head of the replica with the epoch is known to serve no more. */
using is_closed_hook = std::function<bool(std::uint64_t epoch)>;

/** Called with a leave that was sent, and its outcome. */
using leave_hook = std::function<void(const engine_command& leave, command_outcome outcome)>;

/** \return the next step for a VM that says the given of itself. */
join_step next_join_step(const engine_state& state, const engine_command& join,
                         const is_closed_hook& is_closed);

/** Sends a join after the VM has told its state, and a leave before it where one is needed.
 *
 * A list entry and the outcome of an earlier leave can both be older than a join that the VM
 * executed late, so neither shows that the VM is free. The join is conditional on the state that
 * the VM told: the VM refuses it if it has begun another command since.
 * \return the outcome of the join; no_contact if none was sent.
 */
boost::asio::awaitable<command_outcome> send_join(engine_calls engines, backend vm,
                                                  engine_command join, is_closed_hook is_closed,
                                                  leave_hook on_leave);

} // namespace chervildyke
