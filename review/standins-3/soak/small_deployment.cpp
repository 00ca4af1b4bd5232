/** \file
 * Implements small_deployment.
 */
#include "small_deployment.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>

#include <unistd.h>

#include <boost/asio.hpp>
#include <boost/endian/conversion.hpp>
#include <nlohmann/json.hpp>

#include "base/milliseconds.h"
#include "base/random.h"
#include "soak/wire_format.h"

namespace chervildyke::review {

namespace asio = boost::asio;

namespace {

constexpr std::uint16_t call_port = 8000;
constexpr std::uint16_t ready_port = 8001;
constexpr std::uint16_t directory_port = 8002;
constexpr std::uint16_t peer_port = 7340;
constexpr std::uint16_t metrics_port = 9464;
constexpr std::uint16_t store_port = 9000;
constexpr std::uint16_t server_port = 8100;

// Third byte of the addresses.
constexpr unsigned node_subnet = 1;
constexpr unsigned store_subnet = 2;
constexpr unsigned server_subnet = 3;
constexpr unsigned server_link_subnet = 4;
constexpr unsigned store_front_subnet = 5;
constexpr unsigned model_subnet = 6;
constexpr unsigned model_link_subnet = 7;

constexpr std::size_t servers_per_fabric_domain = 7;
// Of so many VMs the first and the third keep calls whose connection has closed.
constexpr std::size_t keeping_stride = 5;
constexpr std::size_t second_keeper = 2;
constexpr duration prompt_time = 100ms;          // To read a prompt.
constexpr duration model_restart_delay = 2500ms; // From a VM's crash to its return.
constexpr duration model_poll_interval = 10ms;

constexpr std::size_t offset_fields_bytes = 16; // Before the records of an answer to a read.
constexpr std::size_t record_length_bytes = 4;
constexpr std::size_t default_max_kb = 1024; // Of the records in one answer.
constexpr std::size_t bytes_per_kb = 1024;
constexpr duration front_timeout = 40s; // Longer than any long poll.

constexpr duration order_time = 5ms; // Of one call at a server.
constexpr duration ready_timeout = 15s;
constexpr duration ready_interval = 100ms;
constexpr duration call_timeout = 2s;
constexpr duration case_limit = 100s;
constexpr unsigned first_network = 100;
constexpr unsigned network_count = 100;
constexpr unsigned network_tries = 20;
constexpr std::uint32_t max_attempts = 2;

soak::deployment make_configuration()
{
    soak::deployment made;
    made.routes = {{"draft", "/draft/", soak::model_service, true, true, 4s, 400ms, 0},
                   {"place", "/place/", soak::order_service, false, false, 1s, 100ms, 0},
                   {"look", "/look/", soak::order_service, false, true, 1s, 100ms, 0}};
    made.models = {{"large", 4, 0.6, 1600ms, 300ms}, {"small", 2, 0.4, 1200ms, 200ms}};
    made.teams = {{"mills", {"mills-1", "mills-2"}}, {"yards", {"yards-1"}}};
    return made;
}

asio::awaitable<int>
run_task(small_deployment& deployed, case_record& record, bool trouble,
         std::function<asio::awaitable<int>(small_deployment&, case_record&, bool trouble)> task)
{
    co_return co_await task(deployed, record, trouble);
}

/** Removes the records beyond a number of bytes from the answer to a read, but never the first one.
 */
void limit_records(std::string& body, std::size_t max_bytes)
{
    std::size_t at = offset_fields_bytes;
    while (body.size() - std::min(body.size(), at) >= record_length_bytes) {
        const std::size_t length =
            boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(body.data() + at));
        const std::size_t next = at + record_length_bytes + length;
        if (at > offset_fields_bytes && next - offset_fields_bytes > max_bytes) {
            body.resize(at);
            return;
        }
        at = next;
    }
}

} // namespace

case_record::case_record(const std::string& file) : file_(file) {}

void case_record::write(const std::string& line)
{
    file_ << now() / 1ms << " ms: " << line << std::endl;
}

asio::awaitable<void> recording_server::serve_call(http_exchange& exchange)
{
    const std::string id(exchange.request().header("X-Attempt-Id"));
    on_run_({id, std::string(exchange.request().header("X-Tenant")), monotonic_clock::now()});
    const duration span = order_time;
    co_await sleep_for(span);
    const soak::server_answer answer{200, make_seal(), "done " + id + " by " + entry().id};
    http_reply reply = soak::write_server_answer(id, answer);
    co_await send(exchange, std::move(reply));
}

asio::awaitable<void> reading_model_server::serve_call(http_exchange& exchange)
{
    const http_request& request = exchange.request();
    on_arrival_(std::string(request.header("X-Attempt-Id")),
                std::string(request.header("X-Prompt-Prefix")));
    const duration span = prompt_time;
    co_await sleep_for(span);
    if (drops_calls_ && exchange.peer_has_closed()) {
        exchange.abort();
        co_return;
    }
    co_await model_server::serve_call(exchange);
}

store_front::store_front(asio::any_io_executor executor, std::string store_address)
    : store_address_(std::move(store_address)), http_(std::make_shared<http_client>(executor)),
      server_(executor, [this](http_exchange& exchange) { return serve(exchange); })
{
}

asio::awaitable<void> store_front::serve(http_exchange& exchange)
{
    const bool is_read = exchange.request().path() == "/chervildyke/log-read";
    const std::string given = exchange.request().query("max-kb");
    http_request request = exchange.request();
    http_call_options options;
    options.timeout = front_timeout;
    auto answer = co_await http_->call(store_address_, std::move(request), options);
    if (!answer) {
        exchange.abort();
        co_return;
    }
    http_reply reply;
    reply.status = answer->status;
    reply.content_type = answer->content_type;
    const std::string era(answer->header("Store-Era"));
    reply.headers.push_back({"Store-Era", era});
    reply.body = std::move(answer->body);
    if (is_read && reply.status == 200) {
        const std::size_t max_kb = given.empty() ? default_max_kb : std::stoul(given);
        limit_records(reply.body, max_kb * bytes_per_kb);
    }
    co_await exchange.respond(std::move(reply));
}

small_deployment::small_deployment(asio::any_io_executor executor, case_record& record,
                                   std::string node_program, std::filesystem::path folder)
    : executor_(std::move(executor)), record_(record), node_program_(std::move(node_program)),
      folder_(std::move(folder)), checker_(max_attempts), poison_(tracker_),
      store_(executor_), environment_{executor_,       store_, checker_, poison_,
                                      system_random(), {},     {},       {}},
      configuration_(make_configuration())
{
}

std::string small_deployment::ip_of(unsigned subnet, std::size_t index) const
{
    return "127." + std::to_string(network_) + "." + std::to_string(subnet) + "." +
           std::to_string(index + 1);
}

/** Finds a network in which the ports of all nodes are free, and lets the store listen in it. */
bool small_deployment::find_network(std::size_t nodes)
{
    const random_source random = system_random();
    for (unsigned i = 0; i < network_tries; ++i) {
        network_ = first_network + static_cast<unsigned>(random_below(random, network_count));
        bool free = true;
        for (std::size_t node = 0; node < nodes && free; ++node) {
            for (const std::uint16_t port :
                 {call_port, ready_port, directory_port, peer_port, metrics_port}) {
                http_server probe(executor_,
                                  [](http_exchange&) -> asio::awaitable<void> { co_return; });
                free = free && probe.listen(ip_of(node_subnet, node), port);
            }
        }
        for (std::size_t node = 0; node < nodes && free; ++node) {
            const std::string store_ip = ip_of(store_subnet, node);
            const std::string store_address = store_ip + ":" + std::to_string(store_port);
            fronts_.push_back(std::make_unique<store_front>(executor_, store_address));
            free = store_.listen_for_node(node, store_ip, store_port) &&
                   fronts_.back()->listen(ip_of(store_front_subnet, node), store_port);
        }
        if (free) {
            return true;
        }
    }
    return false;
}

void small_deployment::write_settings(std::size_t index)
{
    const std::string ip = ip_of(node_subnet, index);
    const auto address = [&ip](std::uint16_t port) { return ip + ":" + std::to_string(port); };
    nlohmann::json seeds = nlohmann::json::array();
    for (std::size_t i = 0; i < node_count_; ++i) {
        seeds.push_back(ip_of(node_subnet, i) + ":" + std::to_string(peer_port));
    }
    const nlohmann::json settings = {
        {"name", "node-" + std::to_string(index)},
        {"address", ip},
        {"failureDomain", "zone-" + std::to_string(index)},
        {"callAddress", address(call_port)},
        {"readyAddress", address(ready_port)},
        {"directoryAddress", address(directory_port)},
        {"peerPort", peer_port},
        {"metricsPort", metrics_port},
        {"seedAddresses", seeds},
        {"storeAddress", ip_of(store_front_subnet, index) + ":" + std::to_string(store_port)},
        {"keyStalenessMs", soak::key_staleness / 1ms},
        {"stopGraceS", 8},
        {"backendDrainMs", soak::drain_period / 1ms},
        {"retryRatio", 0.2},
        {"retrySlack", 100},
        {"addressValidityS", 2},
        {"clockSettleMs", 2500},
        {"processorShare", 0.25},
        {"memoryMb", 260},
        {"configurationApplyMs", 2000}};
    std::ofstream(folder_ / ("node-" + std::to_string(index) + ".json")) << settings.dump(2);
}

bool small_deployment::start_server(std::size_t index)
{
    soak::server_entry entry;
    entry.id = "i-" + std::to_string(index + 1);
    entry.service = soak::order_service;
    entry.failure_domain = "zone-" + std::to_string(index);
    entry.started_ms = wall_clock_ms();
    entry.slots = soak::slots_per_order_server;
    entry.address = ip_of(server_link_subnet, index) + ":" + std::to_string(server_port);
    const auto server = std::make_shared<recording_server>(
        environment_, entry, [this](const executed_call& run) { on_run(run); });
    servers_.push_back(server);
    auto link = std::make_unique<soak::link_proxy>(executor_);
    if (!server->start(ip_of(server_subnet, index)) ||
        !link->listen(ip_of(server_link_subnet, index), server_port)) {
        return false;
    }
    link->set_target(server->listening_address());
    links_.push_back(std::move(link));
    return true;
}

bool small_deployment::start_model_server(std::size_t index)
{
    soak::server_entry entry;
    entry.id = "m-" + std::to_string(index + 1) + "-" + std::to_string(++model_starts_);
    entry.service = soak::model_service;
    entry.address = ip_of(model_link_subnet, index) + ":" + std::to_string(server_port);
    entry.failure_domain = "zone-" + std::to_string(index % node_count_);
    entry.fabric_domain = "fabric-" + std::to_string(index / servers_per_fabric_domain);
    entry.started_ms = wall_clock_ms();
    entry.slots = soak::slots_per_replica;
    const std::size_t place = index % keeping_stride;
    const bool drops_calls = place != 0 && place != second_keeper;
    const auto server = std::make_shared<reading_model_server>(
        environment_, entry, drops_calls,
        [this](const std::string& id, const std::string& prompt) { on_arrival(id, prompt); });
    environment_.model_servers_by_id[entry.id] = server;
    model_servers_.at(index) = server;
    soak::link_proxy& link = *model_links_.at(index);
    if (!server->start(ip_of(model_subnet, index)) ||
        (!link.listening() && !link.listen(ip_of(model_link_subnet, index), server_port))) {
        return false;
    }
    link.set_target(server->listening_address());
    return true;
}

bool small_deployment::start_model_servers(std::size_t count)
{
    for (const soak::deployed_model& model : configuration_.models) {
        environment_.models_by_name[model.name] = model;
    }
    model_servers_.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
        model_links_.push_back(std::make_unique<soak::link_proxy>(executor_));
        if (!start_model_server(i)) {
            return false;
        }
    }
    asio::co_spawn(executor_, restart_model_servers(), asio::detached);
    return true;
}

/** Starts a new VM in the place of each one that has crashed. */
asio::awaitable<void> small_deployment::restart_model_servers()
{
    std::map<std::size_t, time_point> down;
    while (true) {
        const duration pause = model_poll_interval;
        co_await sleep_for(pause);
        for (std::size_t i = 0; i < model_servers_.size(); ++i) {
            if (model_servers_[i]->alive()) {
                continue;
            }
            const auto [found, is_new] = down.try_emplace(i, monotonic_clock::now());
            if (is_new) {
                model_links_[i]->stop_listening();
                model_links_[i]->reset_open_connections();
            }
            else if (monotonic_clock::now() - found->second >= model_restart_delay) {
                down.erase(found);
                start_model_server(i);
            }
        }
    }
}

asio::awaitable<call_outcome> small_deployment::stream(std::size_t node, std::string model,
                                                       std::string prompt, std::string id,
                                                       std::optional<duration> leave_after)
{
    http_request request;
    request.method = "POST";
    request.target = "/draft/x";
    request.body = "15"; // Events of the stream.
    request.headers = {
        {"Host", configuration_.host},      {"X-Attempt-Id", id}, {"X-Deadline-Ms", "4000"},
        {"Authorization", "Token mills-1"}, {"X-Model", model},   {"X-Token-Usage", "500,15"},
        {"X-Prompt-Prefix", prompt}};
    const auto http = std::make_shared<http_client>(executor_);
    http_call_options options;
    options.timeout = 5s;
    options.cancel = std::make_shared<http_cancel>();
    timer leaving(executor_);
    if (leave_after) {
        leaving.expires_after(*leave_after);
        leaving.async_wait([cancel = options.cancel](const boost::system::error_code& error) {
            if (!error) {
                cancel->cancel();
            }
        });
    }
    const std::string address = ip_of(node_subnet, node) + ":" + std::to_string(call_port);
    auto opened = co_await http->open(address, std::move(request), options);
    call_outcome outcome;
    if (!opened) {
        co_return outcome;
    }
    outcome.status = (*opened)->status();
    while (true) {
        const duration wait = 5s;
        auto part = co_await (*opened)->read_some(wait);
        if (!part) {
            co_return outcome;
        }
        if (part->empty()) {
            break;
        }
        outcome.body += *part;
    }
    outcome.seal = soak::read_seal((*opened)->headers());
    co_return outcome;
}

bool small_deployment::start(std::size_t nodes, std::size_t servers)
{
    node_count_ = nodes;
    if (!find_network(nodes)) {
        record_.write("no free addresses were found");
        return false;
    }
    publish();
    for (std::size_t i = 0; i < servers; ++i) {
        if (!start_server(i)) {
            record_.write("a server can't listen");
            return false;
        }
    }
    for (std::size_t i = 0; i < nodes; ++i) {
        write_settings(i);
        const std::string name = "node-" + std::to_string(i);
        nodes_.push_back(std::make_unique<soak::node_process>(
            node_program_, folder_ / (name + ".json"), folder_ / (name + ".log")));
        if (!nodes_.back()->start()) {
            record_.write("the program of a node can't be started");
            return false;
        }
    }
    return true;
}

asio::awaitable<bool> small_deployment::wait_until_ready()
{
    const auto http = std::make_shared<http_client>(executor_);
    const time_point deadline = monotonic_clock::now() + ready_timeout;
    std::size_t ready = 0;
    while (ready < nodes_.size() && monotonic_clock::now() < deadline) {
        http_request request;
        request.target = "/chervildyke/ready";
        const std::string address = ip_of(node_subnet, ready) + ":" + std::to_string(ready_port);
        const auto reply = co_await http->call(address, std::move(request));
        if (reply && reply->status == 200) {
            ++ready;
            continue;
        }
        const duration pause = ready_interval;
        co_await sleep_for(pause);
    }
    co_return ready == nodes_.size();
}

asio::awaitable<call_outcome> small_deployment::call(std::size_t node, std::string path,
                                                     std::string key, std::string id)
{
    http_request request;
    request.method = "POST";
    request.target = std::move(path);
    request.body = "order";
    request.headers = {{"Host", configuration_.host},
                       {"X-Attempt-Id", id},
                       {"X-Deadline-Ms", "1000"},
                       {"Authorization", "Token " + key}};
    const auto http = std::make_shared<http_client>(executor_);
    http_call_options options;
    options.timeout = call_timeout;
    const std::string address = ip_of(node_subnet, node) + ":" + std::to_string(call_port);
    const auto reply = co_await http->call(address, std::move(request), options);
    call_outcome outcome;
    if (reply) {
        outcome = {reply->status, soak::read_seal(reply->headers), reply->body};
    }
    co_return outcome;
}

void small_deployment::publish()
{
    store_.put(soak::configuration_topic, soak::configuration_key,
               soak::write_configuration(configuration_));
}

int run_case(
    int argc, char** argv,
    const std::function<asio::awaitable<int>(small_deployment&, case_record&, bool trouble)>& task)
{
    if (argc != 3) {
        std::cerr << "usage: " << argv[0] << " NODE_PROGRAM RECORD_FILE\n";
        return exit_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char* given = std::getenv("TROUBLE");
    const bool trouble = given == nullptr || std::string(given) != "0";
    std::string pattern = (std::filesystem::temp_directory_path() / "review.XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        return exit_not_run;
    }
    const std::filesystem::path folder = pattern;
    int result = exit_not_run;
    {
        case_record record(argv[2]);
        record.write(trouble ? "with the disruption" : "without the disruption");
        asio::io_context context(1);
        small_deployment deployed(context.get_executor(), record, argv[1], folder);
        asio::co_spawn(context, run_task(deployed, record, trouble, task),
                       [&](const std::exception_ptr& thrown, int code) {
                           result = thrown ? exit_not_run : code;
                           context.stop();
                       });
        // A case that hangs, or is asked to stop, must end its nodes too.
        timer limit(context.get_executor());
        limit.expires_after(case_limit);
        limit.async_wait([&context](const boost::system::error_code& error) {
            if (!error) {
                context.stop();
            }
        });
        asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&context](const boost::system::error_code& error, int) {
            if (!error) {
                context.stop();
            }
        });
        context.run();
        record.write(result == exit_broken ? "the rule was broken"
                     : result == exit_held ? "the rule held"
                                           : "the case could not run");
    } // Ends the nodes.
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(folder);
    }
    else {
        std::cerr << "logs: " << folder << "\n";
    }
    return result;
}

} // namespace chervildyke::review
