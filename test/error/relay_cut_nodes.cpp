/** \file
 * Tests two nodes over sockets of which one can't connect to any backend server.
 */
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "platform/call_headers.h"
#include "platform/published_documents.h"
#include "relay/relay_node.h"

using namespace chervildyke;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t server_count = 3;
constexpr duration settle_time = 3s; // After which cut nodes must serve as others do.
constexpr duration call_interval = 50ms;

/** A log in memory whose contents never change. */
shared_log make_constant_log(std::map<std::string, std::vector<keyed_record>> topics)
{
    const auto all = [topics = std::move(topics)](const std::string& topic) {
        keyed_records found;
        const auto records = topics.find(topic);
        if (records != topics.end()) {
            found.records = records->second;
        }
        found.next_offset = found.records.size();
        return found;
    };
    shared_log log;
    log.read_latest =
        [all](std::string topic) -> asio::awaitable<shared_log_result<keyed_records>> {
        co_return all(topic);
    };
    log.read = [all](std::string topic, std::uint64_t from,
                     duration wait) -> asio::awaitable<shared_log_result<topic_read>> {
        topic_read read{all(topic), 0};
        read.topic_end = read.records.next_offset;
        if (from >= read.topic_end) {
            co_await sleep_for(wait);
            read.records.records.clear();
        }
        co_return read;
    };
    log.append = [](std::string, log_position at,
                    std::vector<keyed_record>) -> asio::awaitable<shared_log_result<log_position>> {
        co_return at;
    };
    log.put = [](std::string,
                 std::vector<keyed_record>) -> asio::awaitable<shared_log_result<log_position>> {
        const log_position end{0, 1};
        co_return end;
    };
    return log;
}

std::uint16_t free_port(asio::io_context& context)
{
    const tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

/** A backend server that counts what it runs. */
struct counting_server {
    explicit counting_server(asio::io_context& context)
        : server(context.get_executor(),
                 [this](http_exchange& exchange) { return serve(exchange); })
    {
        REQUIRE(server.listen("127.0.0.1", 0));
    }

    asio::awaitable<void> serve(http_exchange& exchange)
    {
        const std::string id(exchange.request().header("X-Attempt-Id"));
        ++runs[id];
        bodies[id] = exchange.request().body;
        http_reply reply;
        reply.headers = {{"X-Attempt-Id", id}, {"X-Response-Seal", "seal-" + id}};
        reply.body = "done " + id;
        co_await exchange.respond(reply);
    }

    std::map<std::string, int> runs; // By call.
    std::map<std::string, std::string> bodies;
    http_server server;
};

/** Two nodes and the servers of one plain service. The route "/once/" leads to calls that may run
 * once, "/again/" to calls that may run again. The list that node 0 reads has addresses at which
 * nothing listens.
 */
struct cut_fleet {
    cut_fleet()
    {
        for (std::size_t i = 0; i < server_count; ++i) {
            servers.push_back(std::make_unique<counting_server>(context));
            closed_ports.push_back(free_port(context));
        }
        for (std::size_t i = 0; i < 2; ++i) {
            start_node(i);
        }
        clock.advance(2s);
    }

    void start_node(std::size_t index)
    {
        const std::string ip = "127.0.0." + std::to_string(index + 1);
        schema::relay_settings settings;
        settings.set_name("n-" + std::to_string(index));
        settings.set_address(ip);
        settings.set_failure_domain("a");
        settings.set_peer_port(peer_port);
        settings.set_call_address(ip + ":" + std::to_string(call_port));
        settings.set_ready_address(ip + ":0");
        settings.set_directory_address(ip + ":0");
        settings.add_seed_addresses("127.0.0.1:1");
        settings.add_seed_addresses("127.0.0.2:1");
        settings.set_stop_grace_s(4);
        settings.set_backend_drain_ms(2000);
        settings.set_retry_ratio(0.2);
        settings.set_retry_slack(100);
        settings.set_key_staleness_ms(60'000);
        nodes.push_back(std::make_unique<relay_node>(
            context.get_executor(), settings, make_hooks(index == 0),
            std::make_shared<http_client>(context.get_executor()), seeded_random(index + 1)));
        REQUIRE_MESSAGE(nodes.back()->start(), nodes.back()->last_reason());
    }

    relay_hooks make_hooks(bool is_cut)
    {
        std::vector<keyed_record> listed;
        for (std::size_t i = 0; i < server_count; ++i) {
            keyed_record record;
            record.offset = i;
            record.key = std::to_string(i);
            record.value = "server";
            listed.push_back(record);
        }
        keyed_record published;
        published.key = "config";
        published.value = "configuration";
        relay_hooks hooks;
        hooks.log = make_constant_log({{"servers", listed}, {"op", {published}}});
        hooks.calls = platform::make_call_codec();
        hooks.fleet = platform::make_fleet_codec();
        hooks.notices = std::make_shared<backend_notices>();
        backend_service desk;
        desk.name = "desk";
        call_route once;
        once.name = "once";
        once.host = "desk.example";
        once.path_prefix = "/once/";
        once.services = {{"desk", 1}};
        once.timeout = 2s;
        once.latency_target = 100ms;
        call_route again = once;
        again.name = "again";
        again.path_prefix = "/again/";
        again.retry = retry_rule::idempotent;
        again.max_attempts = 2;
        published_configuration::builder builder;
        const published_configuration_ptr configuration =
            builder.version(1).route(once).route(again).service(desk).build();
        hooks.fleet.read_configuration =
            [configuration](const std::string&) -> decoded<published_configuration_ptr> {
            return configuration;
        };
        hooks.fleet.read_backend = [this, is_cut](const std::string& key,
                                                  const std::string&) -> decoded<backend> {
            const std::size_t index = std::stoul(key);
            const std::uint16_t port = is_cut ? closed_ports[index] : servers[index]->server.port();
            backend one;
            one.id = key;
            one.service = "desk";
            one.failure_domain = "a";
            one.address = "127.0.0.1:" + std::to_string(port);
            one.started_ms = 1;
            return one;
        };
        return hooks;
    }

    /** Calls a node and waits for the answer.
     * \return the whole answer, or what has arrived of it after a second.
     */
    std::string call(std::size_t node, const std::string& path, const std::string& id)
    {
        asio::io_context caller_context;
        tcp::socket socket(caller_context);
        socket.connect({asio::ip::make_address("127.0.0." + std::to_string(node + 1)), call_port});
        asio::write(socket, asio::buffer("POST " + path +
                                         " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + id +
                                         "\r\nX-Deadline-Ms: 1000\r\nConnection: close\r\n"
                                         "Content-Length: 4\r\n\r\nbody"));
        socket.non_blocking(true);
        std::string text;
        for (duration waited{}; waited < 1s; waited += 1ms) {
            clock.advance(1ms);
            boost::system::error_code error;
            asio::read(socket, asio::dynamic_buffer(text), error);
            if (error == asio::error::eof) {
                break;
            }
        }
        return text;
    }

    int runs_of(const std::string& id) const
    {
        int runs = 0;
        for (const auto& server : servers) {
            const auto found = server->runs.find(id);
            runs += found == server->runs.end() ? 0 : found->second;
        }
        return runs;
    }

    asio::io_context context;
    manual_clock clock{context};
    std::uint16_t peer_port = free_port(context);
    std::uint16_t call_port = free_port(context);
    std::vector<std::uint16_t> closed_ports;
    std::vector<std::unique_ptr<counting_server>> servers;
    std::vector<std::unique_ptr<relay_node>> nodes;
};

bool is_answer_to(const std::string& answer, const std::string& id)
{
    return answer.starts_with("HTTP/1.1 200") &&
           answer.find("X-Response-Seal: seal-" + id) != std::string::npos &&
           answer.find("done " + id) != std::string::npos;
}

} // namespace

// Guards against callers of a node that has lost its links to all servers being refused although
// another node reaches them.
TEST_CASE("a node that reaches no server answers its callers by way of another node")
{
    for (const std::string path : {"/once/x", "/again/x"}) {
        CAPTURE(path);
        cut_fleet fleet;
        int sent = 0;
        for (duration passed{}; passed < settle_time; passed += call_interval) {
            fleet.call(0, path, "early" + std::to_string(sent++));
            fleet.clock.advance(call_interval);
        }
        for (int i = 0; i < 20; ++i) {
            const std::string id = "late" + std::to_string(i);
            CHECK(is_answer_to(fleet.call(0, path, id), id));
            CHECK(fleet.runs_of(id) == 1);
        }
    }
}
