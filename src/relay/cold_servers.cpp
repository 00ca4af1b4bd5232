/** \file
 * Implements cold_servers.
 */
#include "relay/cold_servers.h"

#include <utility>

#include "base/event_log.h"

namespace chervildyke {

namespace {

const event_log view_log("view");

} // namespace

cold_limit_peers peers_of(const peer_gossip& peers)
{
    cold_limit_peers found;
    found.known_addresses = peers.known_addresses();
    for (const known_node* node : peers.live()) {
        found.live.insert(node->state.name());
        if (node->state.ready() && !node->state.leaving()) {
            found.available.insert(node->state.name());
        }
    }
    return found;
}

cold_servers::cold_servers(std::string self, const backend_table& backends,
                           std::shared_ptr<metrics_registry> metrics, cold_server_hooks hooks)
    : backends_(backends), metrics_(std::move(metrics)), hooks_(std::move(hooks)),
      limit_(std::move(self))
{
    metrics_->add_gauge("chervil_cold_servers",
                        [this] { return static_cast<double>(cold_.size()); });
}

std::optional<cold_servers::limited_server>
cold_servers::find_limited(const backend_service& service, const listed_backend& listed,
                           time_point now) const
{
    if (service.cold.calls_per_s <= 0) {
        return std::nullopt;
    }
    const auto evacuation_ended_at = hooks_.evacuation_ended_at
                                         ? hooks_.evacuation_ended_at(listed.server.failure_domain)
                                         : std::nullopt;
    const auto until = cold_until(listed, service.cold, evacuation_ended_at, now, wall_clock_ms());
    if (!until || now >= limit_.limited_until(*until)) {
        return std::nullopt;
    }
    return limited_server{service.cold, *until};
}

std::optional<cold_servers::limited_server>
cold_servers::find_limited(const std::string& service, const std::string& id, time_point now) const
{
    const published_configuration_ptr configuration = hooks_.configuration();
    const backend_service* found = configuration ? configuration->find_service(service) : nullptr;
    const listed_backend* listed = backends_.find(id);
    return found != nullptr && listed != nullptr ? find_limited(*found, *listed, now)
                                                 : std::nullopt;
}

bool cold_servers::may_call(const std::string& service, const std::string& id, time_point now)
{
    const auto limited = find_limited(service, id, now);
    if (!limited || limit_.may_send(id, limited->until, limited->rule, hooks_.list_age(), now)) {
        return true;
    }
    ++metrics_->counter("chervil_cold_limited_total");
    return false;
}

time_point cold_servers::next_call_at(const std::string& service, const std::string& id,
                                      time_point now)
{
    const auto limited = find_limited(service, id, now);
    return limited ? limit_.next_send_at(id, limited->until, limited->rule, hooks_.list_age(), now)
                   : now;
}

void cold_servers::note_chosen(const std::string& service, const std::string& id, time_point now)
{
    if (find_limited(service, id, now)) {
        limit_.note_chosen(id, now);
    }
}

void cold_servers::note_sent(const std::string& service, const std::string& id, time_point now)
{
    if (find_limited(service, id, now)) {
        limit_.note_sent(id, now);
    }
}

void cold_servers::limit_replicas(replica_balancer& balancer)
{
    balancer.head_may_be_called = [this](const serving_replica& replica, time_point now) {
        return may_call(replica.service, replica.head_id, now);
    };
    balancer.on_chosen = [this](const serving_replica& replica, time_point now) {
        note_chosen(replica.service, replica.head_id, now);
    };
}

bool cold_servers::update(cold_limit_peers peers, bool takes_calls, time_point now)
{
    limit_.set_peers(std::move(peers), takes_calls, now);
    std::map<std::string, time_point> cold;
    const published_configuration_ptr configuration = hooks_.configuration();
    bool any_limited = false;
    if (configuration) {
        for (const auto& [name, service] : configuration->services()) {
            any_limited = any_limited || service.cold.calls_per_s > 0;
        }
    }
    if (any_limited) {
        for (const auto& [id, listed] : backends_.all()) {
            const backend_service* service = configuration->find_service(listed.server.service);
            const auto limited =
                service != nullptr ? find_limited(*service, listed, now) : std::nullopt;
            if (!limited || now >= limited->until) {
                continue;
            }
            cold[id] = limited->until;
            if (!cold_.contains(id)) {
                view_log.write("server_cold",
                               {{"backend", id},
                                {"failure_domain", listed.server.failure_domain},
                                {"cold_ms", to_ms_text(limited->until - now)},
                                {"entry_ms", listed.server.cold_remaining
                                                 ? to_ms_text(*listed.server.cold_remaining)
                                                 : "none"}});
            }
        }
    }
    cold_ = std::move(cold);
    return any_limited;
}

} // namespace chervildyke
