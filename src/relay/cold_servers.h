/** \file
 * Defines cold_servers, which applies the limit on calls to cold servers to a node's view of the
 * fleet.
 */
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/metrics.h"
#include "fleet/backend_table.h"
#include "fleet/published_configuration.h"
#include "members/peer_gossip.h"
#include "routing/cold_server_limit.h"
#include "routing/replica_balancer.h"

namespace chervildyke {

/** \return the state of the fleet for cold_server_limit. */
cold_limit_peers peers_of(const peer_gossip& peers);

/** What cold_servers reads. */
struct cold_server_hooks {
    /** Returns the configuration; null before the first one is read. */
    std::function<published_configuration_ptr()> configuration;

    /** Returns the age of the list of servers; nothing before it was read. */
    std::function<std::optional<duration>()> list_age;

    /** Returns when the last evacuation of a failure domain was withdrawn; may be empty. */
    std::function<std::optional<time_point>(const std::string&)> evacuation_ended_at;
};

/** Servers of a service without a limit are never limited. */
class cold_servers {
  public:
    /** \param self the name of this node.
     * \param backends the list of servers; must outlive this object.
     */
    cold_servers(std::string self, const backend_table& backends,
                 std::shared_ptr<metrics_registry> metrics, cold_server_hooks hooks);

    /** \return whether this node may send a call to the server now. */
    bool may_call(const std::string& service, const std::string& id, time_point now);

    /** \return when this node may send the next call to the server. */
    time_point next_call_at(const std::string& service, const std::string& id, time_point now);

    /** Counts a call for which the server was chosen. */
    void note_chosen(const std::string& service, const std::string& id, time_point now);

    /** Records that a call for which the server was chosen is sent now. */
    void note_sent(const std::string& service, const std::string& id, time_point now);

    /** Makes a balancer treat a replica as full whose head may not be called now.
     * \param balancer must not choose after this object has ended.
     */
    void limit_replicas(replica_balancer& balancer);

    /** Sets the state of the fleet and logs which servers became cold; called periodically.
     * \param takes_calls false while this node leaves or is not ready.
     * \return true if a service has a limit, so that waiting calls may be admitted by now.
     */
    bool update(cold_limit_peers peers, bool takes_calls, time_point now);

  private:
    struct limited_server {
        cold_start_rule rule;
        time_point until{}; // The end of its cold time.
    };

    std::optional<limited_server> find_limited(const backend_service& service,
                                               const listed_backend& listed, time_point now) const;
    std::optional<limited_server> find_limited(const std::string& service, const std::string& id,
                                               time_point now) const;

    const backend_table& backends_;
    std::shared_ptr<metrics_registry> metrics_;
    cold_server_hooks hooks_;
    cold_server_limit limit_;
    std::map<std::string, time_point> cold_; // By id: the end of its cold time.
};

} // namespace chervildyke
