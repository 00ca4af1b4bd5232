/** \file
 * Defines cold_server_limit, which limits the calls of all nodes to a backend server that is cold,
 * and the rule by which a server counts as cold.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/backend_table.h"
#include "fleet/published_configuration.h"

namespace chervildyke {

/** Times and shares of a cold_server_limit. */
struct cold_limit_settings {
    // The calls a second for which one node is chosen. With fewer, more nodes would share the rate,
    // and each call would more often find that this node has none.
    double calls_of_node_per_s = 2;
    duration settle_time = 2s;       // After a start or a suspension: until all peers were heard.
    duration max_update_gap = 1s;    // With a longer one the process was suspended.
    duration max_list_age = 4s;      // Four reads of the list: the node can't reach the store.
    double min_live_share = 1.0 / 3; // With fewer nodes live, the rounded shares of many partitions
                                     // would add up to more than the rate.
    duration peak_window = 300s;     // A node that went down stays counted for up to twice as long.
    duration end_margin = 250ms;     // For calls in flight and clocks that differ in rate.
    duration ramp_time = 1s;         // After the cold time: more nodes send, so that not all find
    std::size_t ramp_factor = 4;     // the server without calls at the same moment.
};

/** \return when the server stops being cold, or when it did; nothing if it is not known to be cold.
 * \param rule of the server's service.
 * \param evacuation_ended_at when the last evacuation of its failure domain was withdrawn.
 * \param wall_ms the Unix time now.
 */
std::optional<time_point> cold_until(const listed_backend& listed, const cold_start_rule& rule,
                                     std::optional<time_point> evacuation_ended_at, time_point now,
                                     std::uint64_t wall_ms);

/** The state of the fleet that the shares are computed from. */
struct cold_limit_peers {
    std::set<std::string> live;      // Names of the other nodes that are live.
    std::set<std::string> available; // Of these, the nodes that take calls.
    std::size_t known_addresses = 0; // Of other nodes, whether or not they are live.

    bool operator==(const cold_limit_peers&) const = default;
};

/** Decides whether this node may send a call to a cold server now. A few of the live nodes may,
 * chosen by rendezvous hashing, each with an equal number of calls in any second. A node that hears
 * a part of the fleet only chooses as many as correspond to that part, so that the parts of a
 * partitioned fleet together stay within the rate.
 */
class cold_server_limit {
  public:
    /** \param self the name of this node. */
    explicit cold_server_limit(std::string self, cold_limit_settings settings = {});

    /** Sets the state of the fleet. Must be called at least every max_update_gap; the node counts
     * as just started after a longer gap.
     * \param takes_calls false while this node leaves or is not ready.
     */
    void set_peers(cold_limit_peers peers, bool takes_calls, time_point now);

    /** \return whether this node may send a call to a server that is cold or was until recently.
     * \param server its id.
     * \param until the end of its cold time.
     * \param rule of its service.
     * \param list_age the age of this node's list of servers; nothing before it was read.
     */
    bool may_send(const std::string& server, time_point until, const cold_start_rule& rule,
                  std::optional<duration> list_age, time_point now);

    /** \return when this node may send the next call, for a Retry-After; parameters as above. */
    time_point next_send_at(const std::string& server, time_point until,
                            const cold_start_rule& rule, std::optional<duration> list_age,
                            time_point now);

    /** Counts a call for which the server was chosen, whatever becomes of it. */
    void note_chosen(const std::string& server, time_point now);

    /** Records that a call for which the server was chosen is sent only now. */
    void note_sent(const std::string& server, time_point now);

    /** \return until when calls are limited to a server that is cold until the given time. */
    time_point limited_until(time_point until) const
    {
        return until + settings_.end_margin + settings_.ramp_time;
    }

  private:
    struct counted_call {
        time_point at{};
        bool sent = false;
    };
    struct share {
        std::size_t nodes = 0; // That may send at all.
        std::size_t calls = 0; // Of each of them in any window.
        duration window = 1s;
    };
    struct server_state {
        std::deque<counted_call> calls; // The oldest first.
        std::vector<std::string> order; // The best nodes by rendezvous; empty until needed.
    };

    bool is_current(std::optional<duration> list_age, time_point now) const;
    std::size_t known_nodes() const;
    share share_of(const cold_start_rule& rule, bool in_ramp) const;
    bool is_chosen(const std::string& server, std::size_t nodes);

    std::string self_;
    cold_limit_settings settings_;
    std::vector<std::string> candidates_; // The nodes that take calls, with this one.
    std::size_t live_nodes_ = 1;          // With this one.
    std::size_t known_addresses_ = 0;
    bool had_addresses_ = false;
    std::size_t peak_nodes_ = 1;         // Most live nodes since peak_began_at_,
    std::size_t earlier_peak_nodes_ = 1; // and in the window before.
    std::optional<time_point> peak_began_at_;
    std::optional<time_point> updated_at_;
    time_point settled_at_{};
    std::map<std::string, server_state> servers_; // By id.
};

} // namespace chervildyke
