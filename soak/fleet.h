/** \file
 * Defines soak_fleet: the real nodes as processes, and the stand-ins and links around them.
 */
#pragma once

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "soak/callers.h"
#include "soak/calm.h"
#include "soak/link_proxy.h"
#include "soak/model_server.h"
#include "soak/node_process.h"
#include "soak/store.h"

namespace chervildyke::soak {

struct fleet_options {
    std::string node_program;
    std::filesystem::path folder; // For settings and logs.
    std::uint64_t seed = 1;
    std::size_t nodes = 4;
    std::size_t model_servers = 14;
    std::size_t order_servers = 2;
    std::uint32_t net = 100; // The fleet's addresses are 127.NET.x.y.
};

constexpr duration restart_after = 400ms;      // From a node's end to its next start.
constexpr duration node_poll = 10ms;           // How often ends of processes are looked for.
constexpr duration server_back_after = 2500ms; // From a server's end to the next one there.

/** A node and the links to it and from it. */
struct soak_node {
    std::size_t number = 0;
    std::string name;
    std::string ip;
    std::unique_ptr<node_process> process;
    std::unique_ptr<link_proxy> from_callers;
    std::unique_ptr<link_proxy> to_store;
    bool end_expected = false;
    int freezes = 0;         // That are in play.
    std::uint64_t lives = 0; // Counts starts.
};

/** A place for one backend server after another, behind one address. */
struct server_place {
    std::size_t number = 0;
    std::string ip;
    std::string service;
    std::string failure_domain;
    std::string fabric_domain;
    std::unique_ptr<link_proxy> link;
    std::shared_ptr<backend_server> server;
    std::uint64_t lives = 0;
};

class soak_fleet {
  public:
    soak_fleet(boost::asio::any_io_executor executor, fleet_options options);
    ~soak_fleet();

    /** Starts everything.
     * \return false with last_reason() set.
     */
    bool start();
    const std::string& last_reason() const { return last_reason_; }

    /** Asks all nodes to stop and waits for them. */
    boost::asio::awaitable<void> stop();

    callers& people() { return *callers_; }
    promise_book& book() { return book_; }
    calm& quiet() { return calm_; }
    metadata_store& store() { return store_; }
    bool stopping() const { return stopping_; }

    /** All nodes, and all places of backend servers: those of models first. */
    const std::vector<std::unique_ptr<soak_node>>& nodes() const { return nodes_; }
    const std::vector<std::unique_ptr<server_place>>& places() const { return places_; }
    std::size_t model_places() const { return options_.model_servers; }

    /** Writes the settings file of a node. */
    void write_settings(const soak_node& node, double address_validity_s);

    /** As the operator: adds a route; takes a key away. */
    void change_configuration();
    void revoke_key();

  private:
    std::string ip_of(std::uint32_t group, std::size_t number) const;
    bool start_nodes();
    bool start_servers();
    bool start_server(server_place& place, bool same_id);
    void start_callers();
    void publish_configuration();
    boost::asio::awaitable<void> watch_nodes();
    boost::asio::awaitable<void> watch_servers();
    void note_end(const soak_node& ended, int status);

    boost::asio::any_io_executor executor_;
    fleet_options options_;
    promise_book book_;
    calm calm_;
    metadata_store store_;
    server_surroundings around_;
    deployment deployed_; // In force.
    deployment known_;    // What callers use, also keys that are gone.
    std::vector<std::unique_ptr<soak_node>> nodes_;
    std::vector<std::unique_ptr<server_place>> places_;
    std::unique_ptr<callers> callers_;
    std::string last_reason_;
    bool stopping_ = false;
};

} // namespace chervildyke::soak
