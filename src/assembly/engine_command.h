/** \file
 * Defines engine_command, a command to a VM's model engine on behalf of a replica, and its outcome.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "fleet/backend.h"

namespace chervildyke {

enum class command_kind {
    join,            // Become a member of the replica.
    open,            // To the head: accept calls.
    close_when_idle, // To the head: accept no new calls and let running calls finish.
    close_now,       // To the head: accept no new calls and abort running calls.
    leave,           // Stop being a member of the replica.
    stage,           // Load a model into the host's memory.
};

struct engine_command {
    command_kind kind = command_kind::join;
    std::string replica;
    std::uint64_t epoch = 0;
    std::string model;
    std::vector<std::string> members; // The head first.

    /** Set: the VM executes the command only if it has begun exactly so many commands since its
     * start. A command that is executed late thus has no effect after any other one.
     */
    std::optional<std::uint64_t> only_after;

    bool operator==(const engine_command&) const = default;
};

enum class command_outcome {
    begun,      // The VM executes the command or had already done so.
    refused,    // The command does not fit the VM's state; nothing was done.
    unclear,    // No answer; the VM may execute the command now or many seconds later.
    no_contact, // The VM can't be reached; nothing was done.
    other_vm,   // Another VM has the address: the intended VM has ended.
};

/** Whether a VM answers a probe. */
enum class probe_outcome {
    answered,
    silent,  // No answer within the timeout.
    refused, // The connection was refused, or another VM has the address.
};

/** What a VM answers about itself. Unlike its list entry, it is not delayed by the store. */
struct engine_state {
    std::uint64_t started_ms = 0; // Unix time of its start.

    // How many commands it has begun since its start; nothing if it does not say.
    std::optional<std::uint64_t> begun_commands;

    std::optional<replica_membership> membership;

    bool operator==(const engine_state&) const = default;
};

/** The requests that a node sends to model engines. */
struct engine_calls {
    std::function<boost::asio::awaitable<command_outcome>(backend vm, engine_command command)> send;

    /** \return nothing if the VM did not answer, or not with a state that can be read. */
    std::function<boost::asio::awaitable<std::optional<engine_state>>(backend vm)> read_state;

    std::function<boost::asio::awaitable<probe_outcome>(backend vm)> probe;
};

/** \return the kind of a command as shown in logs. */
const char* to_text(command_kind kind);

/** \return the outcome of a command as shown in logs. */
const char* to_text(command_outcome outcome);

} // namespace chervildyke
