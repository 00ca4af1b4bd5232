/** \file
 * Defines small_fleet, a small deployment on loopback: a store, real nodes, and clients that record
 * what they sent and received.
 */
#pragma once

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/clock.h"
#include "base/http_client.h"
#include "soak/deployment.h"
#include "soak/metadata_store.h"
#include "soak/node_process.h"
#include "soak/wire_format.h"

namespace chervildyke::review {

/** What a script's command line and environment say. */
struct case_options {
    std::string node_program;
    std::filesystem::path folder; // Temporary, for settings and logs of the nodes.
    std::string record_file;
    bool trouble = true;
};

/** Reads NODE_PROGRAM FOLDER RECORD_FILE, and TROUBLE from the environment. */
std::optional<case_options> read_options(int argc, char** argv);

/** Writes lines with the time since the start of the script. */
class recorder {
  public:
    explicit recorder(const std::string& file) : out_(file), start_(monotonic_clock::now()) {}
    void write(const std::string& line);
    double now_ms() const;

  private:
    std::ofstream out_;
    time_point start_;
};

/** One node process with its addresses. */
struct fleet_node {
    std::string name;
    std::string ip;
    std::string call_address;
    std::string ready_address;
    std::string directory_address;
    std::unique_ptr<soak::node_process> process;
};

/** A store and some nodes. Each node reaches the store at an address of its own. */
class small_fleet {
  public:
    small_fleet(boost::asio::io_context& context, const case_options& options, recorder& record);

    /** Starts the store and the nodes, which read the given configuration. */
    bool start(std::size_t node_count, const std::string& configuration);

    /** \return true once all nodes have said within the time that they are ready. */
    boost::asio::awaitable<bool> wait_until_ready(duration limit);

    /** \return an address of the fleet's own network on which the port is free. */
    std::string server_ip(std::size_t index) const;

    void publish_server(const soak::server_entry& entry);
    std::vector<fleet_node>& nodes() { return nodes_; }
    soak::metadata_store& store() { return store_; }
    http_client& http() { return http_; }

    /** Asks every node to stop, and kills what is left after the time. */
    boost::asio::awaitable<void> stop(duration limit);

  private:
    std::string ip_of(std::size_t subnet, std::size_t index) const;
    void write_settings(const fleet_node& node, std::size_t node_count, std::size_t index);

    boost::asio::io_context& context_;
    const case_options& options_;
    recorder& record_;
    soak::metadata_store store_;
    http_client http_;
    std::vector<fleet_node> nodes_;
    std::vector<std::uint16_t> store_ports_;
    std::uint32_t network_ = 0;
    std::uint16_t peer_port_ = 0;
    std::uint16_t metrics_port_ = 0;
};

/** Exit codes of a case. */
constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

/** Runs a case until it ends, or until this process is told to end. */
int run_until_done(boost::asio::io_context& context, boost::asio::awaitable<int> task);

/** The main function of a case, which is a class with a run() that returns an exit code. */
template <typename Case>
int run_case(int argc, char** argv)
{
    const auto options = read_options(argc, argv);
    if (!options) {
        return exit_not_run;
    }
    boost::asio::io_context context(1);
    recorder record(options->record_file);
    Case tested(context, *options, record);
    return run_until_done(context, tested.run());
}

/** \return a port that is free for TCP and UDP on the address. */
std::uint16_t find_free_port(const std::string& ip);

} // namespace chervildyke::review
