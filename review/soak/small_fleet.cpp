/** \file
 * Implements small_fleet.
 */
#include "small_fleet.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace chervildyke::review {

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t first_network = 100; // 127.NETWORK.x.y
constexpr std::uint32_t network_count = 120;
constexpr std::size_t node_subnet = 1;
constexpr std::size_t store_subnet = 2;
constexpr std::size_t server_subnet = 3;
constexpr duration poll_interval = 50ms;

} // namespace

std::optional<case_options> read_options(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: " << argv[0] << " NODE_PROGRAM FOLDER RECORD_FILE\n";
        return std::nullopt;
    }
    case_options options;
    options.node_program = argv[1];
    options.folder = argv[2];
    options.record_file = argv[3];
    const char* trouble = std::getenv("TROUBLE");
    options.trouble = trouble == nullptr || std::string(trouble) != "0";
    return options;
}

void recorder::write(const std::string& line)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%9.1f ms  ", now_ms());
    out_ << time << line << std::endl;
}

double recorder::now_ms() const
{
    return std::chrono::duration<double, std::milli>(monotonic_clock::now() - start_).count();
}

int run_until_done(asio::io_context& context, asio::awaitable<int> task)
{
    int result = exit_not_run;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code& error, int) {
        if (!error) {
            context.stop(); // The nodes end with the objects that started them.
        }
    });
    asio::co_spawn(context, std::move(task), [&](const std::exception_ptr& thrown, int code) {
        result = thrown ? exit_not_run : code;
        context.stop();
    });
    context.run();
    std::cout << "result " << result << '\n';
    return result;
}

std::uint16_t find_free_port(const std::string& ip)
{
    asio::io_context context;
    const auto address = asio::ip::make_address(ip);
    while (true) {
        asio::ip::tcp::acceptor tcp(context, {address, 0});
        const std::uint16_t port = tcp.local_endpoint().port();
        asio::ip::udp::socket udp(context, asio::ip::udp::v4());
        boost::system::error_code error;
        udp.bind({address, port}, error);
        if (!error) {
            return port;
        }
    }
}

small_fleet::small_fleet(asio::io_context& context, const case_options& options, recorder& record)
    : context_(context), options_(options), record_(record), store_(context.get_executor()),
      http_(context.get_executor())
{
    network_ = first_network + static_cast<std::uint32_t>(::getpid()) % network_count;
}

std::string small_fleet::ip_of(std::size_t subnet, std::size_t index) const
{
    return "127." + std::to_string(network_) + "." + std::to_string(subnet) + "." +
           std::to_string(index + 1);
}

std::string small_fleet::server_ip(std::size_t index) const
{
    return ip_of(server_subnet, index);
}

void small_fleet::write_settings(const fleet_node& node, std::size_t node_count, std::size_t index)
{
    nlohmann::json seeds = nlohmann::json::array();
    for (std::size_t i = 0; i < std::min<std::size_t>(node_count, 3); ++i) {
        seeds.push_back(ip_of(node_subnet, i) + ":" + std::to_string(peer_port_));
    }
    // The fields of platform/node.settings.json with the bounds of a small site.
    const nlohmann::json settings = {
        {"name", node.name},
        {"address", node.ip},
        {"failureDomain", "zone-" + std::to_string(index % 3)},
        {"callAddress", node.call_address},
        {"readyAddress", node.ready_address},
        {"directoryAddress", node.directory_address},
        {"peerPort", peer_port_},
        {"metricsPort", metrics_port_},
        {"seedAddresses", seeds},
        {"storeAddress", ip_of(store_subnet, index) + ":" + std::to_string(store_ports_[index])},
        {"keyStalenessMs", 5000},
        {"stopGraceS", 8},
        {"backendDrainMs", 2000},
        {"retryRatio", 0.2},
        {"retrySlack", 107},
        {"addressValidityS", 2},
        {"clockSettleMs", 2500},
        {"processorShare", 0.25},
        {"memoryMb", 260},
        {"configurationApplyMs", 2000}};
    std::ofstream(options_.folder / (node.name + ".json")) << settings.dump(2);
}

bool small_fleet::start(std::size_t node_count, const std::string& configuration)
{
    store_.put(soak::configuration_topic, soak::configuration_key, configuration);
    peer_port_ = find_free_port(ip_of(node_subnet, 0));
    metrics_port_ = find_free_port(ip_of(node_subnet, 0));
    for (std::size_t i = 0; i < node_count; ++i) {
        if (!store_.listen_for_node(i, ip_of(store_subnet, i), 0)) {
            return false;
        }
        store_ports_.push_back(store_.last_port());
        fleet_node node;
        node.name = "node-" + std::to_string(i);
        node.ip = ip_of(node_subnet, i);
        const auto free_address = [&node] {
            return node.ip + ":" + std::to_string(find_free_port(node.ip));
        };
        node.call_address = free_address();
        node.ready_address = free_address();
        node.directory_address = free_address();
        nodes_.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < node_count; ++i) {
        fleet_node& node = nodes_[i];
        write_settings(node, node_count, i);
        node.process = std::make_unique<soak::node_process>(
            options_.node_program, (options_.folder / (node.name + ".json")).string(),
            (options_.folder / (node.name + ".log")).string());
        if (!node.process->start()) {
            return false;
        }
        record_.write("started " + node.name + ", calls at " + node.call_address);
    }
    return true;
}

asio::awaitable<bool> small_fleet::wait_until_ready(duration limit)
{
    const time_point last = monotonic_clock::now() + limit;
    for (const fleet_node& node : nodes_) {
        bool ready = false;
        while (!ready) {
            if (monotonic_clock::now() > last) {
                record_.write(node.name + " is not ready");
                co_return false;
            }
            http_request request;
            request.target = "/chervildyke/ready";
            request.headers = {{"Host", node.ready_address}};
            http_call_options options;
            options.timeout = 1s;
            auto reply = co_await http_.call(node.ready_address, std::move(request), options);
            ready = reply && reply->status == 200;
            co_await sleep_for(poll_interval);
        }
        record_.write(node.name + " is ready");
    }
    co_return true;
}

void small_fleet::publish_server(const soak::server_entry& entry)
{
    store_.put(soak::server_topic, entry.id, soak::write_server(entry));
}

asio::awaitable<void> small_fleet::stop(duration limit)
{
    for (fleet_node& node : nodes_) {
        node.process->send_signal(SIGCONT);
        node.process->send_signal(SIGTERM);
    }
    const time_point last = monotonic_clock::now() + limit;
    for (fleet_node& node : nodes_) {
        while (node.process->is_running() && monotonic_clock::now() < last) {
            node.process->poll_exit_status();
            co_await sleep_for(poll_interval);
        }
        node.process->send_signal(SIGKILL);
        while (node.process->is_running()) {
            node.process->poll_exit_status();
            co_await sleep_for(poll_interval);
        }
    }
    record_.write("all nodes have ended");
}

} // namespace chervildyke::review
