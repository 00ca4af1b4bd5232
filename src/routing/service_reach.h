/** \file
 * Defines service_reach, which decides whether this node is cut off from all backend servers of a
 * service.
 */
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace chervildyke {

struct service_reach_settings {
    // Servers that failed, within the window and with no new connection in between, after which the
    // service is checked.
    std::size_t suspect_servers = 2;
    duration suspect_window = 1s;

    // One failed server is enough if no server has answered for so long: a node with few calls
    // would otherwise lose several of them.
    duration answer_gap = 500ms;

    // Servers that one check connects to. Few of them are dead at a time in a service that works.
    std::size_t servers_per_check = 4;

    // The same while the node is cut off, and the time between two checks.
    std::size_t servers_per_recheck = 2;
    duration recheck_interval = 500ms;

    // After a check that reached a server, failures cause no other check for so long.
    duration check_holdoff = 1s;
};

/** Decides from the outcomes of requests and of new connections. An answer on a kept connection
 * does not show that a node is not cut off: such connections may live on while new ones fail. A
 * failure shows little, since its server may be dead for all nodes; so the node connects to a few
 * others before it counts as cut off.
 */
class service_reach {
  public:
    explicit service_reach(service_reach_settings settings = {}) : settings_(settings) {}

    /** Records that a server of the service could not be connected to, or did not answer. */
    void note_failure(const std::string& service, const std::string& server, time_point now);

    /** Records an answer of a server of the service.
     * \param new_connection false if the connection had carried an earlier answer.
     */
    void note_answer(const std::string& service, bool new_connection, time_point now);

    /** \return the number of servers to connect to now, or zero if no check is due. The check
     * counts as begun.
     */
    std::size_t begin_check(const std::string& service, time_point now);

    std::size_t servers_per_check() const { return settings_.servers_per_check; }

    /** Records the end of a check.
     * \param tried servers that the node tried to connect to; without any, there is nothing to be
     * cut off from.
     * \param connected those of them that accepted.
     * \return true if the node was cut off and is not any more, or the other way round.
     */
    bool end_check(const std::string& service, std::size_t tried, std::size_t connected,
                   time_point now);

    bool is_cut_off(const std::string& service) const;

    /** \return true if new connections have failed lately and a check may be needed. */
    bool is_suspect(const std::string& service, time_point now) const;

    /** \return the services from which the node is cut off, sorted. */
    std::vector<std::string> cut_off_services() const;

  private:
    struct state {
        std::map<std::string, time_point> failed; // Servers, since the last new connection.
        std::optional<time_point> answered_at;
        bool cut_off = false;
        bool checking = false;
        std::optional<time_point> checked_at;
    };

    std::size_t recent_failures(const state& current, time_point now) const;
    bool needs_check(const state& current, time_point now) const;

    service_reach_settings settings_;
    std::map<std::string, state> services_;
};

} // namespace chervildyke
