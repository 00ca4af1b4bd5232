/** \file
 * Defines relay_node, which runs all tasks of one node: it serves callers, follows the shared log,
 * exchanges state with its peers and, if it is the leader, assembles replicas.
 */
#pragma once

#include <map>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "assembly/assembler.h"
#include "base/http_server.h"
#include "detour/detour_carrier.h"
#include "members/peer_gossip.h"
#include "node.pb.h"
#include "relay/call_codec.h"
#include "relay/crash_evidence_exchange.h"
#include "relay/fleet_codec.h"
#include "relay/fleet_restorer.h"
#include "relay/fleet_view.h"
#include "relay/peer_addresses.h"
#include "relay/relay_context.h"
#include "relay/shared_reading.h"

namespace chervildyke {

/** Hooks through which a deployment connects a node to its log, engines and wire formats. */
struct relay_hooks {
    shared_log log;
    engine_calls engines;
    call_codec calls;
    fleet_codec fleet;
    // Shared with the calls to engines, whose answers carry notices too.
    std::shared_ptr<backend_notices> notices;
};

class relay_node {
  public:
    relay_node(boost::asio::any_io_executor executor, schema::relay_settings settings,
               relay_hooks hooks, std::shared_ptr<http_client> http, random_source random);

    /** Starts to listen and spawns the node's tasks.
     * \return false with last_reason() set if an address can't be bound.
     */
    bool start();
    const std::string& last_reason() const { return last_reason_; }

    /** Applies the settings that may change while the node runs: seeds, limits and times. */
    void reload(const schema::relay_settings& settings);

    /** Announces that the node leaves, so that callers use other nodes, then waits for calls in
     * progress until the grace time ends.
     */
    boost::asio::awaitable<void> drain();

  private:
    boost::asio::awaitable<void> serve(http_exchange& exchange);
    boost::asio::awaitable<void> serve_ready(http_exchange& exchange);
    boost::asio::awaitable<void> serve_directory(http_exchange& exchange);
    boost::asio::awaitable<void> serve_metrics(http_exchange& exchange);
    void apply_configuration(const published_configuration_ptr& configuration);
    void apply_fleet_change();
    boost::asio::awaitable<void> run_fleet_checks();
    void apply_peer_state(const schema::peer_word& state);
    void fill_own_state(schema::peer_word& state);
    std::vector<std::string> call_addresses();
    bool listen(http_server& server, const std::string& address);
    void apply_limits();
    void add_replica_gauges();
    void record_availability(const backend_incarnation& server,
                             const backend_availability& availability);
    void add_seed_addresses();
    published_configuration_ptr served_configuration();
    bool knows_newest_configuration();
    bool ready();
    bool is_leader() const;

    boost::asio::any_io_executor executor_;
    schema::relay_settings settings_;
    relay_hooks hooks_;
    random_source random_;
    std::uint64_t incarnation_;
    time_point started_at_;
    relay_context context_;
    std::shared_ptr<fleet_view> view_;
    std::shared_ptr<peer_gossip> peers_;
    std::shared_ptr<peer_addresses> addresses_;
    std::unique_ptr<shared_reading> reading_;
    std::shared_ptr<assembler> assembler_;
    std::shared_ptr<fleet_restorer> restorer_;
    std::shared_ptr<crash_evidence_exchange> crash_exchange_;
    http_limits call_limits_; // Of the port for calls, as last set.
    http_server calls_;
    http_server ready_;
    http_server directory_;
    http_server metrics_;
    std::unique_ptr<detour_carrier> carrier_;
    http_server detours_; // Requests of other nodes for backend servers.
    bool calls_began_ = false;
    bool caught_up_ = false; // Since its start, with what the other nodes know.
    std::map<std::string, double> replica_targets_; // By model, where priorities differ.
    std::string last_reason_;
};

} // namespace chervildyke
