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
#include "soak/schedule.h"
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

class soak_fleet {
  public:
    soak_fleet(boost::asio::any_io_executor executor, fleet_options options);
    ~soak_fleet();

    /** Starts everything.
     * \return false with last_reason() set.
     */
    bool start();
    const std::string& last_reason() const { return last_reason_; }

    /** Starts one fault; it ends by itself. */
    void begin(const planned_fault& fault);

    /** Completes once no fault is left and all nodes and servers run. */
    boost::asio::awaitable<void> all_settled();

    /** Asks all nodes to stop and waits for them. */
    boost::asio::awaitable<void> stop();

    callers& people() { return *callers_; }
    promise_book& book() { return book_; }

  private:
    struct node {
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
        std::string ip;
        std::string service;
        std::string failure_domain;
        std::string fabric_domain;
        std::unique_ptr<link_proxy> link;
        std::shared_ptr<backend_server> server;
        std::vector<std::string> staged;
        std::uint64_t lives = 0;
        bool end_planned = false;
    };

    std::string ip_of(std::uint32_t group, std::size_t number) const;
    bool start_nodes();
    bool start_servers();
    bool start_server(server_place& place, bool same_id);
    bool start_callers();
    void write_settings(node& started, double address_validity_s);
    void publish_configuration();
    boost::asio::awaitable<void> watch_nodes();
    boost::asio::awaitable<void> watch_servers();
    boost::asio::awaitable<void> play(planned_fault fault);
    boost::asio::awaitable<void> play_on_node(planned_fault fault, node& harmed);
    boost::asio::awaitable<void> play_on_link(planned_fault fault);
    boost::asio::awaitable<void> play_on_server(planned_fault fault);
    boost::asio::awaitable<void> play_on_store(planned_fault fault);
    boost::asio::awaitable<void> stop_node(node& stopped);
    boost::asio::awaitable<void> delay_orders(planned_fault fault);
    server_place& place_of(const planned_fault& fault);
    void change_configuration();
    void revoke_key();
    link_proxy& link_of(const planned_fault& fault);
    void note_end(node& ended, int status);

    boost::asio::any_io_executor executor_;
    fleet_options options_;
    promise_book book_;
    calm calm_;
    metadata_store store_;
    server_surroundings around_;
    deployment deployed_; // In force.
    deployment known_;    // What callers use, also keys that are gone.
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<std::unique_ptr<server_place>> places_;
    std::unique_ptr<callers> callers_;
    std::string last_reason_;
    std::size_t faults_in_play_ = 0;
    bool stopping_ = false;
};

} // namespace chervildyke::soak
