/** \file
 * Defines assembly_history, the commands and probes that one node has sent and their outcomes. It
 * is soft state: a node with an empty history repeats commands, which is harmless.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "assembly/engine_command.h"
#include "base/clock.h"

namespace chervildyke {

struct sent_command {
    time_point at{};
    std::string model;
    std::optional<command_outcome> outcome; // None: no outcome yet.
    std::uint32_t unanswered = 0;           // Such commands in a row that the VM did not answer.

    bool operator==(const sent_command&) const = default;
};

/** The results of the probes of one VM. */
struct probe_state {
    time_point last_at{};
    std::uint32_t failures = 0; // Consecutive.
    time_point first_failure_at{};
    time_point last_failure_at{};
    bool refused = false; // The last connection attempt was refused: no process listens.
    time_point answered_at{};

    bool operator==(const probe_state&) const = default;
};

/** The head of a retiring replica that is missing from the backend list. */
struct lost_head {
    time_point since{};
    bool address_known = false; // It can still be sent a command to close.
    bool no_contact = false;    // The last attempt to reach it failed.

    bool operator==(const lost_head&) const = default;
};

class assembly_history {
  public:
    /** Records that a command was sent. The command has no outcome until note_outcome().
     * \param loads_weights for a join: the VM's host first loads the model, which replaces the
     * model that an earlier command made it load.
     */
    void note_sent(const std::string& vm, const engine_command& command, time_point now,
                   bool loads_weights = false);
    void note_outcome(const std::string& vm, const engine_command& command,
                      command_outcome outcome);

    /** \return the last command of the kind to the VM for the epoch, or null. */
    const sent_command* find(const std::string& vm, command_kind kind, std::uint64_t epoch) const;

    /** \return true when a command of the kind was sent to the VM at or after the given time, for
     * any replica.
     */
    bool sent_since(const std::string& vm, command_kind kind, time_point time) const;

    /** \return the VMs and stage commands that were sent at or after the given time. */
    std::vector<std::pair<std::string, sent_command>> loads_since(time_point time) const;

    void note_probe_sent(const std::string& vm, time_point now);
    void note_probe_outcome(const std::string& vm, probe_outcome outcome, time_point now);

    /** \return the probe state of the VM, or null if it was never probed. */
    const probe_state* find_probe(const std::string& vm) const;

    /** \return the lost head of the replica with the epoch, created if there is none. */
    lost_head& lost_head_entry(std::uint64_t epoch) { return lost_heads_[epoch]; }

    /** \return the lost head of the replica with the epoch, or null. */
    const lost_head* find_lost_head(std::uint64_t epoch) const;

    /** Records that the head of the replica with the epoch serves no more: it has closed and left,
     * or its process has ended.
     */
    void note_closed(std::uint64_t epoch, time_point now) { closed_[epoch] = now; }
    bool is_closed(std::uint64_t epoch) const { return closed_.contains(epoch); }

    /** Removes entries that are older than the given time. */
    void erase_older_than(time_point time);

  private:
    using command_key = std::tuple<std::string, command_kind, std::uint64_t>; // VM, kind, epoch.

    std::map<command_key, sent_command> commands_;
    std::map<std::string, probe_state> probes_;     // By VM.
    std::map<std::uint64_t, lost_head> lost_heads_; // By epoch.
    std::map<std::uint64_t, time_point> closed_;    // By epoch; when it was noted.
};

} // namespace chervildyke
