/** \file
 * Defines member_table, the state of all entry VMs as one control node sees it.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "control_api.pb.h"
#include "external/log_client.h"

namespace chervildyke {

/** Another entry VM as this process sees it. */
struct member {
    schema::member_news state;          // The newest state that this process received or derived.
    time_point condition_since;         // When this process learned of the condition.
    std::optional<time_point> heard_at; // When the last message from the member itself arrived.
    log_offset heard_offset = 0;        // The highest offset that this message stated.
    unsigned sends_left = 0;            // How many more messages send its last change first.
};

struct member_options {
    duration suspicion_timeout = 4s;      // A suspect that has not refuted by then becomes down.
    duration forget_after = 10min;        // Then a member that is down or left is removed.
    duration recent_contact_window = 10s; // Only offsets that are not older count.
    std::size_t updates_per_message = 5;  // Own state and that of others.
    std::size_t updates_per_full_sync = 1024; // In a reply that carries the whole table.
    duration refresh_interval = 2s;           // Between two routine updates of the own state.
};

/** Holds the newest state of each member and selects the updates that the next message carries, as
 * gossip protocols of the SWIM family do. An update is a schema::member_news, the state of one
 * member.
 *
 * A state with a higher sequence number replaces one with a lower number; of two with equal numbers
 * the worse condition stands. Only the member itself raises its number: a process that was paused
 * refutes as soon as it receives that it is suspect or down. The table is soft state: which members
 * are up speeds up decisions, but no decision relies on it to be safe.
 */
class member_table {
  public:
    /** \param self this process's own state; its condition and sequence number are set here. */
    member_table(schema::member_news self, member_options options = {});

    /** Applies an update from a message. An update about this process itself that supersedes its
     * own state is refuted by a higher sequence number, unless this process has left.
     * \param disseminate whether a change is sent on ahead of other updates. To be false for the
     * updates of a full sync, which most of the fleet has already.
     * \return whether the update superseded what was known.
     */
    bool apply(const schema::member_news& update, bool disseminate = true);

    /** Records that a message from the member itself arrived.
     * \param offset the highest log offset that it stated.
     */
    void note_contact(const std::string& vm, log_offset offset);

    /** Marks an alive member as suspect; called when it did not answer a probe. */
    void mark_suspect(const std::string& vm);

    /** Moves suspects whose timeout has passed to down, and removes members that have been down or
     * left for long.
     */
    void apply_timeouts();

    /** Restarts the timeouts of all members; called when this process itself was paused. */
    void restart_timeouts();

    /** Updates this process's own state: at once when load.draining changes, else at most once in
     * the refresh interval.
     * \param offset the highest log offset that this process has applied.
     * \param entry_view_version the configuration version in force at this VM's entry.
     */
    void update_self(const schema::entry_load& load, log_offset offset,
                     std::uint64_t entry_view_version);

    /** Marks this process as left; called when it stops in an orderly way. */
    void leave();

    /** Selects the updates for the next message.
     * \param peer the receiver. Its own state is included when it is not alive, so that it refutes.
     * \param wants_all whether the peer asks for a full sync.
     * \return the own state, then changes, then members in round-robin order as far as there is
     * room, which spreads their load and repairs missed updates. At most updates_per_message, or
     * updates_per_full_sync.
     */
    std::vector<schema::member_news> select_updates(const std::string& peer,
                                                    bool wants_all = false);

    const schema::member_news& self() const { return self_; }

    /** All other members by VM name. */
    const std::map<std::string, member>& others() const { return others_; }

    /** Names of all members that are alive or suspect, this process among them, sorted. */
    std::vector<std::string> alive_members() const;

    /** The highest offset that another member stated within recent_contact_window; empty when no
     * member sent a message in that time.
     */
    std::optional<log_offset> highest_heard_offset() const;

    /** The address of the member that stated the highest offset; empty as above. */
    std::optional<std::string> most_advanced_address() const;

  private:
    const member* most_advanced() const;
    void schedule_dissemination(member& changed) const;
    void select_changes(const std::string& peer, std::size_t limit,
                        std::vector<schema::member_news>& selected);
    void select_round_robin(const std::string& peer, std::size_t limit,
                            std::vector<schema::member_news>& selected);

    member_options options_;
    schema::member_news self_;
    time_point refreshed_at_;
    std::string last_round_robin_; // The member that select_round_robin visited last.
    std::map<std::string, member> others_;
};

} // namespace chervildyke
