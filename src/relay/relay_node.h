/** \file
 * Defines relay_node, everything that one node runs: it serves callers, follows the shared log,
 * talks with its peers and, where it leads, assembles replicas.
 */
#pragma once

#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "assembly/assembler.h"
#include "base/http_server.h"
#include "members/peer_gossip.h"
#include "node.pb.h"
#include "relay/call_dialect.h"
#include "relay/fleet_dialect.h"
#include "relay/fleet_view.h"
#include "relay/relay_context.h"
#include "relay/shared_reading.h"

namespace chervildyke {

/** The hooks with which a deployment connects a node to its surroundings. */
struct relay_surroundings {
    shared_log log;
    engine_calls engines;
    call_dialect calls;
    fleet_dialect fleet;
    std::shared_ptr<backend_notices> notices; // Of the answers to orders and probes as well.
};

class relay_node {
  public:
    relay_node(boost::asio::any_io_executor executor, schema::relay_settings settings,
               relay_surroundings surroundings, std::shared_ptr<http_client> http,
               random_source random);

    /** \return false with last_reason() set when an address can't be had. */
    bool start();
    const std::string& last_reason() const { return last_reason_; }

    /** Takes over the settings that may change while the node runs: all but its addresses. */
    void reload(const schema::relay_settings& settings);

    /** Lets callers go elsewhere, then waits for calls in progress, within the grace time. */
    boost::asio::awaitable<void> drain();

  private:
    boost::asio::awaitable<void> serve(http_exchange& exchange);
    boost::asio::awaitable<void> serve_ready(http_exchange& exchange);
    boost::asio::awaitable<void> serve_directory(http_exchange& exchange);
    boost::asio::awaitable<void> serve_metrics(http_exchange& exchange);
    boost::asio::awaitable<void> publish_address();
    boost::asio::awaitable<void> follow_peers();
    void take_configuration(const published_configuration_ptr& services);
    void take_change();
    boost::asio::awaitable<void> follow_fleet();
    void take_word(const schema::peer_word& word);
    void describe(schema::peer_word& word);
    std::vector<std::string> call_addresses() const;
    std::map<std::string, double> demand() const;
    bool listen(http_server& server, const std::string& address);
    void apply_limits();
    void note_standing(const backend_incarnation& server, const backend_availability& held);
    void introduce_seeds();
    bool ready() const;
    bool leads() const;

    boost::asio::any_io_executor executor_;
    schema::relay_settings settings_;
    relay_surroundings surroundings_;
    random_source random_;
    std::uint64_t incarnation_;
    time_point started_at_;
    relay_context context_;
    std::shared_ptr<fleet_view> view_;
    std::shared_ptr<peer_gossip> peers_;
    std::unique_ptr<shared_reading> reading_;
    std::shared_ptr<assembler> assembler_;
    http_server calls_;
    http_server ready_;
    http_server directory_;
    http_server metrics_;
    bool calls_began_ = false;
    std::string last_reason_;
};

} // namespace chervildyke
