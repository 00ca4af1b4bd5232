/** \file
 * Implements the fleet.
 */
#include "soak/fleet.h"

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

constexpr std::uint16_t call_port = 8000;
constexpr std::uint16_t ready_port = 8001;
constexpr std::uint16_t directory_port = 8002;
constexpr std::uint16_t peer_port = 7340;
constexpr std::uint16_t metrics_port = 9464;
constexpr std::uint16_t store_port = 9000;
constexpr std::uint16_t server_port = 8100;

// The third number of addresses, for each kind of place.
constexpr std::uint32_t node_group = 1;
constexpr std::uint32_t caller_link_group = 2;
constexpr std::uint32_t store_link_group = 3;
constexpr std::uint32_t store_group = 4;
constexpr std::uint32_t server_link_group = 5;
constexpr std::uint32_t server_group = 6;

constexpr std::size_t caller_count = 24;
constexpr std::size_t fabric_domain_size = 7;
constexpr double same_id_share = 0.25; // Servers that come back under their id.

deployment make_deployment()
{
    deployment made;
    made.routes = {
        {"draft", "/draft/", model_service, true, true, 4s, 400ms, 1},
        {"place", "/place/", order_service, false, false, 1s, 100ms, 0},
        {"look", "/look/", order_service, false, true, 1s, 100ms, 2},
    };
    made.models = {{"large", 4, 0.6, 1600ms, 300ms}, {"small", 2, 0.4, 1200ms, 200ms}};
    made.teams = {{"mills", {"mills-1", "mills-2", "mills-3"}}, {"yards", {"yards-1"}}};
    return made;
}

} // namespace

soak_fleet::soak_fleet(asio::any_io_executor executor, fleet_options options)
    : executor_(std::move(executor)), options_(std::move(options)), book_(attempts_limit),
      store_(executor_), around_{executor_, store_, book_, seeded_random(options_.seed),
                                 {},        {},     {}},
      deployed_(make_deployment()), known_(deployed_)
{
    for (const deployed_model& model : deployed_.models) {
        around_.models[model.name] = model;
    }
}

soak_fleet::~soak_fleet() = default;

std::string soak_fleet::ip_of(std::uint32_t group, std::size_t number) const
{
    return "127." + std::to_string(options_.net) + "." + std::to_string(group) + "." +
           std::to_string(number + 1);
}

void soak_fleet::publish_configuration()
{
    store_.put(configuration_topic, configuration_key, write_configuration(deployed_));
}

void soak_fleet::write_settings(const soak_node& started, double address_validity_s)
{
    nlohmann::json seeds = nlohmann::json::array();
    for (std::size_t i = 0; i < options_.nodes; ++i) {
        seeds.push_back(ip_of(node_group, i) + ":" + std::to_string(peer_port));
    }
    const auto address = [&started](std::uint16_t port) {
        return started.ip + ":" + std::to_string(port);
    };
    nlohmann::json settings = {{"name", started.name},
                               {"address", started.ip},
                               {"failureDomain", started.name},
                               {"callAddress", address(call_port)},
                               {"readyAddress", address(ready_port)},
                               {"directoryAddress", address(directory_port)},
                               {"peerPort", peer_port},
                               {"metricsPort", metrics_port},
                               {"seedAddresses", seeds},
                               {"keyStalenessMs", in_ms(key_staleness)},
                               {"stopGraceS", std::chrono::duration<double>(stop_grace).count()},
                               {"backendDrainMs", in_ms(drain_time)},
                               {"retryRatio", 0.2},
                               {"retrySlack", 100},
                               {"addressValidityS", address_validity_s},
                               {"clockSettleMs", 2500}};
    settings["storeAddress"] =
        ip_of(store_link_group, started.number) + ":" + std::to_string(store_port);
    std::ofstream(options_.folder / (started.name + ".json")) << settings.dump(2);
}

bool soak_fleet::start_nodes()
{
    for (std::size_t i = 0; i < options_.nodes; ++i) {
        auto made = std::make_unique<soak_node>();
        made->number = i;
        made->name = "node-" + std::to_string(i);
        made->ip = ip_of(node_group, i);
        made->from_callers = std::make_unique<link_proxy>(executor_);
        made->to_store = std::make_unique<link_proxy>(executor_);
        const std::string store_ip = ip_of(store_group, i);
        const bool listens = made->from_callers->listen(ip_of(caller_link_group, i), call_port) &&
                             made->to_store->listen(ip_of(store_link_group, i), store_port) &&
                             store_.listen_for_node(i, store_ip, store_port);
        if (!listens) {
            last_reason_ = "an address of 127." + std::to_string(options_.net) + " is in use";
            return false;
        }
        made->from_callers->set_target(made->ip + ":" + std::to_string(call_port));
        made->to_store->set_target(store_ip + ":" + std::to_string(store_port));
        write_settings(*made, 2);
        const auto settings = options_.folder / (made->name + ".json");
        const auto log = options_.folder / (made->name + ".log");
        made->process = std::make_unique<node_process>(options_.node_program, settings, log);
        if (!made->process->start()) {
            last_reason_ = "cannot start " + options_.node_program;
            return false;
        }
        nodes_.push_back(std::move(made));
    }
    return true;
}

bool soak_fleet::start_server(server_place& place, bool same_id)
{
    server_entry entry;
    ++place.lives;
    if (same_id && place.server) {
        entry.id = place.server->entry().id;
        entry.staged = place.server->entry().staged;
    }
    else {
        entry.id = "i-" + std::to_string(place.number + 1) + "-" + std::to_string(place.lives);
    }
    entry.service = place.service;
    entry.address = ip_of(server_link_group, place.number) + ":" + std::to_string(server_port);
    entry.domain = place.failure_domain;
    entry.fabric_domain = place.fabric_domain;
    entry.started_ms = wall_clock_ms();
    entry.slots = place.service == model_service ? batch_slots : order_slots;
    if (place.service == model_service) {
        const auto server = std::make_shared<model_server>(around_, entry);
        around_.models_by_id[entry.id] = server;
        place.server = server;
    }
    else {
        place.server = std::make_shared<order_server>(around_, entry);
    }
    if (!place.server->start(place.ip)) {
        last_reason_ = "cannot listen on " + place.ip;
        return false;
    }
    place.link->set_target(place.server->listening_address());
    place.link->faults().refuses = false;
    return true;
}

bool soak_fleet::start_servers()
{
    const std::size_t count = options_.model_servers + options_.order_servers;
    for (std::size_t i = 0; i < count; ++i) {
        auto place = std::make_unique<server_place>();
        const bool runs_model = i < options_.model_servers;
        place->number = i;
        place->ip = ip_of(server_group, i);
        place->service = runs_model ? model_service : order_service;
        place->failure_domain = "node-" + std::to_string(i % options_.nodes);
        if (runs_model) {
            place->fabric_domain = "fabric-" + std::to_string(i / fabric_domain_size);
        }
        place->link = std::make_unique<link_proxy>(executor_);
        if (!place->link->listen(ip_of(server_link_group, i), server_port)) {
            last_reason_ = "an address of 127." + std::to_string(options_.net) + " is in use";
            return false;
        }
        if (!start_server(*place, false)) {
            return false;
        }
        places_.push_back(std::move(place));
    }
    return true;
}

void soak_fleet::start_callers()
{
    caller_network network;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        network.directories.push_back(nodes_[i]->ip + ":" + std::to_string(directory_port));
        network.proxies[nodes_[i]->ip + ":" + std::to_string(call_port)] =
            ip_of(caller_link_group, i) + ":" + std::to_string(call_port);
    }
    callers_ = std::make_unique<callers>(executor_, std::move(network), known_, book_, calm_,
                                         seeded_random(options_.seed + 1));
    callers_->start(caller_count);
}

bool soak_fleet::start()
{
    publish_configuration();
    if (!start_servers() || !start_nodes()) {
        return false;
    }
    start_callers();
    asio::co_spawn(executor_, watch_nodes(), asio::detached);
    asio::co_spawn(executor_, watch_servers(), asio::detached);
    return true;
}

void soak_fleet::note_end(const soak_node& ended, int status)
{
    if (!ended.end_expected) {
        book_.broken("own end",
                     ended.name + " ended by itself with status " + std::to_string(status));
    }
}

asio::awaitable<void> soak_fleet::watch_nodes()
{
    while (!stopping_) {
        co_await sleep_for(node_poll);
        for (const auto& watched : nodes_) {
            const auto status = watched->process->take_end();
            if (!status) {
                continue;
            }
            note_end(*watched, *status);
            co_await sleep_for(restart_after);
            watched->end_expected = false;
            ++watched->lives;
            if (!stopping_ && !watched->process->start()) {
                book_.broken("start", watched->name + " could not be started again");
            }
        }
    }
}

asio::awaitable<void> soak_fleet::watch_servers()
{
    while (!stopping_) {
        co_await sleep_for(node_poll);
        for (const auto& place : places_) {
            if (place->server->lives() || place->link->faults().refuses) {
                continue;
            }
            // The life has ended: nothing answers at its address until the next one.
            place->link->faults().refuses = true;
            place->link->reset_open();
            server_place* const ended = place.get();
            asio::co_spawn(
                executor_,
                [this, ended]() -> asio::awaitable<void> {
                    co_await sleep_for(server_back_after);
                    const bool same_id = random_fraction(around_.random) < same_id_share;
                    if (!stopping_ && !start_server(*ended, same_id)) {
                        book_.broken("soak", last_reason_);
                    }
                },
                asio::detached);
        }
    }
}

void soak_fleet::change_configuration()
{
    deployed_.version += 1 + random_below(around_.random, 5);
    const std::string name = "added-" + std::to_string(deployed_.version);
    deployed_.routes.push_back({name, "/" + name + "/", order_service, false, true, 1s, 100ms, 3});
    publish_configuration();
}

void soak_fleet::revoke_key()
{
    auto& keys = deployed_.teams.front().keys;
    if (keys.size() > 1) {
        book_.key_void_from(keys.back(), monotonic_clock::now() + key_staleness);
        keys.pop_back();
        ++deployed_.version;
        publish_configuration();
    }
}

asio::awaitable<void> soak_fleet::stop()
{
    callers_->stop();
    const time_point until = monotonic_clock::now() + 8s;
    while (callers_->at_work() > 0 && monotonic_clock::now() < until) {
        co_await sleep_for(node_poll);
    }
    stopping_ = true;
    co_await sleep_for(restart_after * 2);
    for (const auto& stopped : nodes_) {
        stopped->process->send(SIGTERM);
    }
    const time_point limit = monotonic_clock::now() + stop_grace;
    for (const auto& stopped : nodes_) {
        while (stopped->process->runs() && monotonic_clock::now() < limit) {
            const auto status = stopped->process->take_end();
            if (status && *status != 0) {
                book_.broken("stop",
                             stopped->name + " ended with status " + std::to_string(*status));
            }
            co_await sleep_for(node_poll);
        }
        if (stopped->process->runs()) {
            book_.broken("stop", stopped->name + " did not end within its grace");
        }
    }
}

} // namespace chervildyke::soak
