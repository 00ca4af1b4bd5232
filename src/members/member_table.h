/** \file
 * Defines member_table, what one control knows of the other entry VMs.
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

/** One entry VM as this process knows it. */
struct member {
    schema::member_news news;
    time_point condition_since;         // When this process learned of the condition.
    std::optional<time_point> heard_at; // When it last spoke to this process itself.
    log_offset heard_offset = 0;        // The highest offset it then stated.
    unsigned sends_left = 0;            // How often a change still goes out with precedence.
};

struct member_options {
    duration suspicion_timeout = 4s; // A suspect that does not refute counts as down.
    duration forget_after = 10min;   // Then a member that is down or left is dropped.
    duration heard_lately = 10s;
    std::size_t news_per_message = 5;
    std::size_t news_in_bulk = 1024; // In an answer that carries the whole table.
    duration refresh_interval = 2s;  // Time between two routine news of one member.
};

/** Keeps the newest news of each member and picks those that travel with the next message.
 *
 * News with a higher sequence number replace lower ones; with equal numbers the worse condition
 * stands. Only the member itself raises its number: one that was paused learns that it is suspect
 * or down and refutes. All of it is soft state: who is up speeds decisions and never makes them
 * safe.
 */
class member_table {
  public:
    /** \param self this process's own news; the sequence number is set here. */
    member_table(schema::member_news self, member_options options = {});

    /** Takes news from a message. News of this process itself that say anything but alive are
     * refuted.
     * \param passes_on whether a change is passed on with precedence; news that come in bulk
     * are old to the rest of the fleet.
     * \return whether anything changed.
     */
    bool take(const schema::member_news& news, bool passes_on = true);

    /** Notes that a member spoke to this process itself. */
    void note_contact(const std::string& vm, log_offset offset);

    /** A probe of the member went unanswered. */
    void suspect(const std::string& vm);

    /** Moves silent suspects to down and forgets those long gone. */
    void pass_time();

    /** Starts all waits anew; called when this process itself was paused. */
    void restart_waits();

    /** Sets what this process says of itself. A changed draining goes out at once, the rest at
     * most once in the refresh interval.
     */
    void update_self(const schema::entry_load& load, log_offset offset,
                     std::uint64_t entry_view_version);

    /** This process stops in an orderly way. */
    void leave();

    /** \param peer who gets the message; what is wrong with it always goes along.
     * \param wants_all the peer asks for the whole table.
     * \return own news first, then changes; what room is left goes to the whole table in turn,
     * which carries load and closes gaps. The number is bounded.
     */
    std::vector<schema::member_news> pick_news(const std::string& peer, bool wants_all = false);

    const schema::member_news& self() const { return self_; }

    /** All other members by VM name. */
    const std::map<std::string, member>& others() const { return others_; }

    /** Names of all members that are alive or suspect, this process among them, sorted. */
    std::vector<std::string> alive_members() const;

    /** The highest offset that a member stated lately; empty when none spoke lately. */
    std::optional<log_offset> highest_heard() const;

    /** The address of the member that stated it. */
    std::optional<std::string> most_advanced_address() const;

  private:
    const member* most_advanced() const;
    void spread_change(member& changed) const;
    void pick_changes(const std::string& peer, std::size_t limit,
                      std::vector<schema::member_news>& picked);
    void pick_in_turn(const std::string& peer, std::size_t limit,
                      std::vector<schema::member_news>& picked);

    member_options options_;
    schema::member_news self_;
    time_point refreshed_at_;
    std::string turn_; // The member whose news last went out in turn.
    std::map<std::string, member> others_;
};

} // namespace chervildyke
