/** \file
 * Implements soak_fleet.
 */
#include "soak/fleet.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "base/milliseconds.h"

namespace chervildyke::soak {

namespace asio = boost::asio;

namespace {

constexpr std::size_t small_answer_bytes = 4096; // About one configuration.
constexpr std::uint16_t call_port = 8000;
constexpr std::uint16_t ready_port = 8001;
constexpr std::uint16_t directory_port = 8002;
constexpr std::uint16_t peer_port = 7340;
constexpr std::uint16_t metrics_port = 9464;
constexpr std::uint16_t store_port = 9000;
constexpr std::uint16_t server_port = 8100;

// Third byte of the fleet's addresses, by what listens there.
constexpr std::uint32_t node_subnet = 1;
constexpr std::uint32_t caller_link_subnet = 2;
constexpr std::uint32_t store_link_subnet = 3;
constexpr std::uint32_t store_subnet = 4;
constexpr std::uint32_t server_link_subnet = 5;
constexpr std::uint32_t server_subnet = 6;

constexpr duration callers_stop_timeout = 8s; // For the callers' last calls.
constexpr std::size_t servers_per_fabric_domain = 7;
constexpr double same_id_probability = 0.25;  // That a restarted server keeps its id.
constexpr std::uint64_t max_version_step = 5; // Configuration versions need not be consecutive.
constexpr std::size_t node_memory_mb = 160;   // Of the smallest nodes.
constexpr std::size_t bytes_per_mb = 1U << 20U;
constexpr duration memory_poll_interval = 50ms;
constexpr double initial_address_validity_s = 2;
constexpr double ignored_append_share = 0.25; // Of the long polls at the store.

deployment make_deployment()
{
    deployment initial;
    initial.routes = {
        {"draft", "/draft/", model_service, true, true, 4s, 400ms, 1},
        {"place", "/place/", order_service, false, false, 1s, 100ms, 0},
        {"look", "/look/", order_service, false, true, 1s, 100ms, 2},
    };
    initial.models = {{"large", 4, 0.6, 1600ms, 300ms}, {"small", 2, 0.4, 1200ms, 200ms}};
    initial.teams = {{"mills", {"mills-1", "mills-2", "mills-3"}}, {"yards", {"yards-1"}}};
    return initial;
}

} // namespace

soak_fleet::soak_fleet(asio::any_io_executor executor, fleet_options options)
    : executor_(std::move(executor)), options_(std::move(options)), checker_(max_attempts_per_call),
      poison_check_(fault_tracker_), configuration_check_(executor_, fault_tracker_, checker_),
      store_(executor_),
      environment_{executor_, store_, checker_, poison_check_, seeded_random(options_.seed),
                   {},        {},     {}},
      deployment_(make_deployment()), initial_deployment_(deployment_)
{
    for (const deployed_model& model : deployment_.models) {
        environment_.models_by_name[model.name] = model;
    }
    store_.ignore_appends(ignored_append_share, seeded_random(options_.seed));
    if (options_.small_store_answers) {
        store_.limit_answers(small_answer_bytes);
    }
}

soak_fleet::~soak_fleet() = default;

std::string soak_fleet::ip_of(std::uint32_t subnet, std::size_t index) const
{
    return "127." + std::to_string(options_.network_number) + "." + std::to_string(subnet) + "." +
           std::to_string(index + 1);
}

void soak_fleet::publish_configuration()
{
    store_.put(configuration_topic, configuration_key, write_configuration(deployment_));
}

void soak_fleet::write_settings(const soak_node& node, double address_validity_s)
{
    nlohmann::json seeds = nlohmann::json::array();
    for (std::size_t i = 0; i < options_.node_count; ++i) {
        seeds.push_back(ip_of(node_subnet, i) + ":" + std::to_string(peer_port));
    }
    const auto address = [&node](std::uint16_t port) {
        return node.ip + ":" + std::to_string(port);
    };
    nlohmann::json settings = {
        {"name", node.name},
        {"address", node.ip},
        {"failureDomain", node.name},
        {"callAddress", address(call_port)},
        {"readyAddress", address(ready_port)},
        {"directoryAddress", address(directory_port)},
        {"peerPort", peer_port},
        {"metricsPort", metrics_port},
        {"seedAddresses", seeds},
        {"keyStalenessMs", in_ms(key_staleness)},
        {"stopGraceS", std::chrono::duration<double>(stop_grace_period).count()},
        {"backendDrainMs", in_ms(drain_period)},
        {"configurationApplyMs", in_ms(configuration_apply_time)},
        {"retryRatio", 0.2},
        {"retrySlack", 100},
        {"addressValidityS", address_validity_s},
        {"clockSettleMs", 2500},
        {"memoryMb", node_memory_mb}};
    settings["storeAddress"] =
        ip_of(store_link_subnet, node.index) + ":" + std::to_string(store_port);
    std::ofstream(options_.folder / (node.name + ".json")) << settings.dump(2);
}

bool soak_fleet::start_nodes()
{
    for (std::size_t i = 0; i < options_.node_count; ++i) {
        auto node = std::make_unique<soak_node>();
        node->index = i;
        node->name = "node-" + std::to_string(i);
        node->ip = ip_of(node_subnet, i);
        node->caller_link = std::make_unique<link_proxy>(executor_);
        node->store_link = std::make_unique<link_proxy>(executor_);
        const std::string store_ip = ip_of(store_subnet, i);
        const bool listens = node->caller_link->listen(ip_of(caller_link_subnet, i), call_port) &&
                             node->store_link->listen(ip_of(store_link_subnet, i), store_port) &&
                             store_.listen_for_node(i, store_ip, store_port);
        if (!listens) {
            last_reason_ =
                "can't listen on an address of 127." + std::to_string(options_.network_number);
            return false;
        }
        node->caller_link->set_target(node->ip + ":" + std::to_string(call_port));
        node->store_link->set_target(store_ip + ":" + std::to_string(store_port));
        write_settings(*node, initial_address_validity_s);
        const auto settings = options_.folder / (node->name + ".json");
        const auto log = options_.folder / (node->name + ".log");
        const bool runs_other = i % 2 == 1 && !options_.other_node_program.empty();
        const std::string& program =
            runs_other ? options_.other_node_program : options_.node_program;
        node->process = std::make_unique<node_process>(program, settings, log);
        if (!node->process->start()) {
            last_reason_ = "can't start the node program " + program;
            return false;
        }
        nodes_.push_back(std::move(node));
    }
    return true;
}

bool soak_fleet::start_server(server_endpoint& endpoint, bool same_id)
{
    server_entry entry;
    ++endpoint.start_count;
    if (same_id && endpoint.server) {
        entry.id = endpoint.server->entry().id;
        entry.staged_models = endpoint.server->entry().staged_models;
    }
    else {
        entry.id =
            "i-" + std::to_string(endpoint.index + 1) + "-" + std::to_string(endpoint.start_count);
    }
    entry.service = endpoint.service;
    entry.address = ip_of(server_link_subnet, endpoint.index) + ":" + std::to_string(server_port);
    entry.failure_domain = endpoint.failure_domain;
    entry.fabric_domain = endpoint.fabric_domain;
    entry.started_ms = wall_clock_ms();
    entry.slots = endpoint.service == model_service ? slots_per_replica : slots_per_order_server;
    if (endpoint.service == model_service) {
        const auto server = std::make_shared<model_server>(environment_, entry);
        environment_.model_servers_by_id[entry.id] = server;
        endpoint.server = server;
    }
    else {
        endpoint.server = std::make_shared<order_server>(environment_, entry);
    }
    if (!endpoint.server->start(endpoint.ip)) {
        last_reason_ = "can't listen on a free port of " + endpoint.ip;
        return false;
    }
    if (!endpoint.link->listening() &&
        !endpoint.link->listen(ip_of(server_link_subnet, endpoint.index), server_port)) {
        last_reason_ = "can't listen again on " + entry.address;
        return false;
    }
    endpoint.link->set_target(endpoint.server->listening_address());
    endpoint.link->faults().resets_new_connections = false;
    return true;
}

bool soak_fleet::start_servers()
{
    const std::size_t count = options_.model_server_count + options_.order_server_count;
    for (std::size_t i = 0; i < count; ++i) {
        auto endpoint = std::make_unique<server_endpoint>();
        const bool runs_model = i < options_.model_server_count;
        endpoint->index = i;
        endpoint->ip = ip_of(server_subnet, i);
        endpoint->service = runs_model ? model_service : order_service;
        endpoint->failure_domain = "node-" + std::to_string(i % options_.node_count);
        if (runs_model) {
            endpoint->fabric_domain = "fabric-" + std::to_string(i / servers_per_fabric_domain);
        }
        endpoint->link = std::make_unique<link_proxy>(executor_);
        if (!endpoint->link->listen(ip_of(server_link_subnet, i), server_port)) {
            last_reason_ =
                "can't listen on an address of 127." + std::to_string(options_.network_number);
            return false;
        }
        if (!start_server(*endpoint, false)) {
            return false;
        }
        endpoints_.push_back(std::move(endpoint));
    }
    return true;
}

void soak_fleet::start_callers()
{
    caller_network network;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        network.directory_addresses.push_back(nodes_[i]->ip + ":" + std::to_string(directory_port));
        network.nodes_by_address[nodes_[i]->ip + ":" + std::to_string(call_port)] = {
            i, ip_of(caller_link_subnet, i) + ":" + std::to_string(call_port)};
    }
    caller_pool_ = std::make_unique<caller_pool>(executor_, std::move(network), initial_deployment_,
                                                 checker_, fault_tracker_, poison_check_,
                                                 seeded_random(options_.seed + 1));
    caller_pool_->start(options_.caller_count);
}

bool soak_fleet::start()
{
    const std::size_t server_count = options_.model_server_count + options_.order_server_count;
    if (options_.node_count == 0 || options_.node_count > max_addresses ||
        options_.order_server_count == 0 || server_count > max_addresses) {
        last_reason_ = "expected 1 to " + std::to_string(max_addresses) +
                       " nodes, and as many backend servers with at least one of orders, found " +
                       std::to_string(options_.node_count) + " nodes and " +
                       std::to_string(server_count) + " servers, " +
                       std::to_string(options_.order_server_count) + " of orders";
        return false;
    }
    publish_configuration();
    if (!start_servers() || !start_nodes()) {
        return false;
    }
    start_callers();
    asio::co_spawn(executor_, watch_nodes(), asio::detached);
    asio::co_spawn(executor_, watch_servers(), asio::detached);
    asio::co_spawn(executor_, watch_memory(), asio::detached);
    return true;
}

void soak_fleet::check_exit(const soak_node& node, int status)
{
    if (!node.exit_expected) {
        checker_.add_finding("own end",
                             node.name + " ended by itself with status " + std::to_string(status));
    }
}

asio::awaitable<void> soak_fleet::watch_nodes()
{
    while (!stopping_) {
        co_await sleep_for(node_poll_interval);
        for (const auto& node : nodes_) {
            const auto status = node->process->poll_exit_status();
            if (!status) {
                continue;
            }
            check_exit(*node, *status);
            co_await sleep_for(restart_delay);
            node->exit_expected = false;
            ++node->restart_count;
            if (!stopping_ && !node->process->start()) {
                checker_.add_finding("start", node->name + " could not be restarted");
            }
        }
    }
}

asio::awaitable<void> soak_fleet::watch_memory()
{
    while (!stopping_) {
        co_await sleep_for(memory_poll_interval);
        for (const auto& node : nodes_) {
            const std::size_t used = node->process->resident_bytes();
            const bool exceeded = node->peak_bytes > node_memory_mb * bytes_per_mb;
            node->peak_bytes = std::max(node->peak_bytes, used);
            if (!exceeded && used > node_memory_mb * bytes_per_mb) {
                checker_.add_finding("memory", node->name + " uses " +
                                                   std::to_string(used / bytes_per_mb) + " MB of " +
                                                   std::to_string(node_memory_mb));
            }
        }
    }
}

asio::awaitable<void> soak_fleet::watch_servers()
{
    while (!stopping_) {
        co_await sleep_for(node_poll_interval);
        for (const auto& endpoint : endpoints_) {
            if (endpoint->server->alive() || endpoint->link->faults().resets_new_connections) {
                continue;
            }
            // The server has ended. Its address accepts no connections until the next one starts.
            endpoint->link->faults().resets_new_connections = true;
            if (endpoint->server->refuses_connections()) {
                endpoint->link->stop_listening();
            }
            endpoint->link->reset_open_connections();
            server_endpoint* const down_endpoint = endpoint.get();
            asio::co_spawn(
                executor_,
                [this, down_endpoint]() -> asio::awaitable<void> {
                    co_await sleep_for(server_restart_delay);
                    const bool same_id = random_fraction(environment_.random) < same_id_probability;
                    if (!stopping_ && !start_server(*down_endpoint, same_id)) {
                        checker_.add_finding("soak", last_reason_);
                    }
                },
                asio::detached);
        }
    }
}

void soak_fleet::change_configuration()
{
    deployment_.version += 1 + random_below(environment_.random, max_version_step);
    const std::string name = "added-" + std::to_string(deployment_.version);
    deployment_.routes.push_back(
        {name, "/" + name + "/", order_service, false, true, 1s, 100ms, 3});
    publish_configuration();
    std::vector<std::string> addresses;
    for (const auto& node : nodes_) {
        addresses.push_back(node->ip + ":" + std::to_string(call_port));
    }
    auto check =
        configuration_check_.check_route(std::move(addresses), deployment_.host, "/" + name + "/x");
    asio::co_spawn(executor_, std::move(check), asio::detached);
}

void soak_fleet::revoke_key()
{
    auto& keys = deployment_.teams.front().keys;
    if (keys.size() > 1) {
        checker_.record_key_revocation(keys.back(), monotonic_clock::now() + key_staleness);
        keys.pop_back();
        ++deployment_.version;
        publish_configuration();
    }
}

asio::awaitable<void> soak_fleet::stop()
{
    caller_pool_->stop();
    const time_point callers_deadline = monotonic_clock::now() + callers_stop_timeout;
    while (caller_pool_->active_count() > 0 && monotonic_clock::now() < callers_deadline) {
        co_await sleep_for(node_poll_interval);
    }
    stopping_ = true;
    co_await sleep_for(restart_delay * 2);
    for (const auto& node : nodes_) {
        node->process->send_signal(SIGTERM);
    }
    const time_point nodes_deadline = monotonic_clock::now() + stop_grace_period;
    for (const auto& node : nodes_) {
        while (node->process->is_running() && monotonic_clock::now() < nodes_deadline) {
            const auto status = node->process->poll_exit_status();
            if (status && *status != 0) {
                checker_.add_finding("stop",
                                     node->name + " ended with status " + std::to_string(*status));
            }
            co_await sleep_for(node_poll_interval);
        }
        if (node->process->is_running()) {
            checker_.add_finding("stop", node->name + " did not end within its stop grace period");
        }
    }
}

} // namespace chervildyke::soak
