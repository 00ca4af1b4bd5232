/** \file
 * Defines soak_fleet, which runs real nodes as processes together with stand-ins for the store, the
 * backend servers and the callers, connected by link proxies.
 */
#pragma once

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "soak/caller_pool.h"
#include "soak/configuration_check.h"
#include "soak/fault_tracker.h"
#include "soak/link_proxy.h"
#include "soak/metadata_store.h"
#include "soak/model_server.h"
#include "soak/node_process.h"

namespace chervildyke::soak {

struct fleet_options {
    std::string node_program;
    std::string other_node_program;   // Of every second node; empty: the same.
    bool small_store_answers = false; // The store returns a few records in each answer to a read.
    std::filesystem::path folder;     // For the nodes' settings and logs.
    std::uint64_t seed = 1;
    std::size_t node_count = 4;
    std::size_t model_server_count = 14;
    std::size_t order_server_count = 2;
    std::size_t caller_count = 24;
    std::uint32_t network_number = 100; // Second byte of the fleet's addresses, 127.NET.x.y.
};

/** Nodes, or backend servers of both kinds together. Each has an address in a network of its own.
 */
constexpr std::size_t max_addresses = 250;
constexpr duration restart_delay = 400ms;         // From a node's end to its restart.
constexpr duration node_poll_interval = 10ms;     // Between two checks for ended processes.
constexpr duration server_restart_delay = 2500ms; // From a server's end to the next start.

/** A node, and the proxies between it and its callers and the store. */
struct soak_node {
    std::size_t index = 0;
    std::string name;
    std::string ip;
    std::unique_ptr<node_process> process;
    std::unique_ptr<link_proxy> caller_link;
    std::unique_ptr<link_proxy> store_link;
    bool exit_expected = false; // The node was stopped or killed by a fault.
    int active_freezes = 0;     // Freeze faults that are active; they may overlap.
    std::uint64_t restart_count = 0;
    std::size_t peak_bytes = 0; // The most memory that one of its processes used.
};

/** An address at which one backend server runs after another, behind a proxy. */
struct server_endpoint {
    std::size_t index = 0;
    std::string ip;
    std::string service;
    std::string failure_domain;
    std::string fabric_domain;
    std::unique_ptr<link_proxy> link;
    std::shared_ptr<backend_server> server;
    std::uint64_t start_count = 0;
};

/** Runs all processes and stand-ins of one soak and restarts those that end. */
class soak_fleet {
  public:
    soak_fleet(boost::asio::any_io_executor executor, fleet_options options);
    ~soak_fleet();

    /** Starts the backend servers, the nodes and the callers.
     * \return false with last_reason() set.
     */
    bool start();
    const std::string& last_reason() const { return last_reason_; }

    /** Stops the callers, then asks the nodes to stop and waits for them. Nodes that fail to stop
     * in time or end with an error are added to the findings.
     */
    boost::asio::awaitable<void> stop();

    caller_pool& callers() { return *caller_pool_; }
    invariant_checker& checker() { return checker_; }
    fault_tracker& tracker() { return fault_tracker_; }
    poison_check& poison() { return poison_check_; }
    metadata_store& store() { return store_; }
    bool stopping() const { return stopping_; }

    /** \return all nodes, and all endpoints of backend servers: those of models first. */
    const std::vector<std::unique_ptr<soak_node>>& nodes() const { return nodes_; }
    const std::vector<std::unique_ptr<server_endpoint>>& endpoints() const { return endpoints_; }
    std::size_t model_endpoint_count() const { return options_.model_server_count; }

    /** Writes the settings file of a node.
     * \param address_validity_s for how long callers may use resolved addresses, in seconds.
     */
    void write_settings(const soak_node& node, double address_validity_s);

    /** Publishes a configuration with one more route. */
    void change_configuration();

    /** Publishes a configuration without one of the first team's keys, unless it has only one. */
    void revoke_key();

  private:
    /** \return 127.NET.SUBNET.(INDEX + 1). */
    std::string ip_of(std::uint32_t subnet, std::size_t index) const;
    bool start_nodes();
    bool start_servers();

    /** Starts the next server at an endpoint.
     * \param same_id true to reuse the id and staged models of the previous server.
     */
    bool start_server(server_endpoint& endpoint, bool same_id);
    void start_callers();
    void publish_configuration();

    /** Restarts nodes that have ended until the fleet stops. */
    boost::asio::awaitable<void> watch_nodes();

    /** Starts a new server at the endpoint of each server that has ended until the fleet stops. */
    boost::asio::awaitable<void> watch_servers();

    /** Adds a finding if a node uses more memory than its settings give it. */
    boost::asio::awaitable<void> watch_memory();

    /** Adds a finding if a node ended by itself. */
    void check_exit(const soak_node& node, int status);

    boost::asio::any_io_executor executor_;
    fleet_options options_;
    invariant_checker checker_;
    fault_tracker fault_tracker_;
    poison_check poison_check_;
    configuration_check configuration_check_;
    metadata_store store_;
    server_environment environment_;
    deployment deployment_;         // As last published.
    deployment initial_deployment_; // Used by callers; includes keys that were revoked since.
    std::vector<std::unique_ptr<soak_node>> nodes_;
    std::vector<std::unique_ptr<server_endpoint>> endpoints_;
    std::unique_ptr<caller_pool> caller_pool_;
    std::string last_reason_;
    bool stopping_ = false;
};

} // namespace chervildyke::soak
