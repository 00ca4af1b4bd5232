/** \file
 * Defines relay_bench, a node's relay between a caller and two heads of replicas, over sockets.
 */
#pragma once

#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "base/scope_guard.h"
#include "platform/call_headers.h"
#include "relay/call_intake.h"
#include "support/run_task.h"

namespace chervildyke::test {

namespace asio = boost::asio;

inline std::string event(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) + "\n\n";
}

/** The head of a replica: streams events from behind the last one asked for. */
struct fake_head {
    fake_head(asio::io_context& context, std::uint64_t breaks_after)
        : breaks(breaks_after), server(context.get_executor(),
                                       [this](http_exchange& exchange) { return serve(exchange); })
    {
        REQUIRE(server.listen("127.0.0.1", 0));
    }

    asio::awaitable<void> serve(http_exchange& exchange)
    {
        ++calls;
        const http_request& request = exchange.request();
        http_reply head;
        head.content_type = "text/event-stream";
        head.headers = {{"X-Attempt-Id", std::string(request.header("X-Attempt-Id"))},
                        {"X-Response-Seal", seal}};
        if (leaving) {
            head.headers.push_back({"Server-Leaving", "1"});
        }
        const std::string from(request.header("Last-Event-Id"));
        std::uint64_t id = from.empty() ? 0 : std::stoull(from);
        co_await sleep_for(delay);
        co_await exchange.start_stream(head);
        while (id < 5) {
            ++id;
            if (id > breaks) {
                co_await exchange.write_chunk("id: 9\nda"); // Within an event.
                exchange.abort();
                co_return;
            }
            const std::string bytes = event(id);
            co_await exchange.write_chunk(bytes);
        }
        co_await exchange.end_stream();
    }

    std::uint64_t breaks;
    duration delay{};     // Before the first event.
    bool leaving = false; // As its answers say.
    std::string seal = "first";
    int calls = 0;
    http_server server;
};

struct relay_bench {
    explicit relay_bench(retry_rule repeat)
    {
        second.seal = "second";
        engine_profile engine;
        engine.batch_slots = 4;
        engine.step_ms = 8;
        model_profile model;
        model.name = "m";
        engine.models = {model};
        backend_service pool;
        pool.name = "pool";
        pool.engine = engine;
        call_route route;
        route.name = "r";
        route.host = "desk.example";
        route.path_prefix = "/a/";
        route.services = {{"pool", 1}};
        route.retry = repeat;
        route.max_attempts = 2;
        route.timeout = 5s;
        route.latency_target = 400ms;
        backend_service desk;
        desk.name = "desk";
        call_route plain = route;
        plain.name = "p";
        plain.path_prefix = "/p/";
        plain.services = {{"desk", 1}};
        plain.max_attempts = 1;
        team_keys team;
        team.name = "counter";
        team.keys = {"k1"};
        published_configuration::builder builder;
        services = builder.route(route).route(plain).service(pool).service(desk).team(team).build();
        node.executor = context.get_executor();
        node.random = seeded_random(1);
        node.dialect = platform::make_call_codec();
        node.http = std::make_shared<http_client>(context.get_executor());
        node.metrics = std::make_shared<metrics_registry>();
        node.board = std::make_shared<replica_balancer>(node.random);
        node.gate = std::make_shared<call_gate>(context.get_executor(), *node.board);
        node.book = std::make_shared<backend_balancer>("a", node.random);
        node.backends = &backends;
        node.notices = std::make_shared<backend_notices>();
        node.board->head_availability = [this](const serving_replica& replica, time_point now) {
            return node.notices->availability(head_incarnation(replica), now);
        };
        node.services = [this] { return services; };
        node.configuration_age = [this] { return age; };
        node.board->set_profile("pool", engine);
        REQUIRE(front.listen("127.0.0.1", 0));
        serve_at({&first});
    }

    void serve_at(const std::vector<fake_head*>& heads)
    {
        std::vector<serving_replica> replicas;
        for (fake_head* head : heads) {
            serving_replica replica;
            replica.epoch = replicas.size() + 1;
            replica.service = "pool";
            replica.model = "m";
            replica.head_id = "i" + std::to_string(replica.epoch);
            replica.head_address = "127.0.0.1:" + std::to_string(head->server.port());
            replicas.push_back(replica);
        }
        node.board->set_serving(replicas);
    }

    /** Calls the node; the second head joins once the first has been called. */
    void call(const std::string& key)
    {
        const std::string address = "127.0.0.1:" + std::to_string(front.port());
        run_task(context, [&]() -> asio::awaitable<void> {
            http_request request;
            request.method = "POST";
            request.target = "/a/x";
            request.headers = {{"Host", "desk.example"},          {"X-Attempt-Id", "call1"},
                               {"Authorization", "Token " + key}, {"X-Model", "m"},
                               {"X-Token-Usage", "100,20"},       {"X-Deadline-Ms", "5000"}};
            http_client client(context.get_executor());
            auto opened = co_await client.open(address, request);
            REQUIRE(opened);
            status = (*opened)->status();
            seal = (*opened)->header("X-Response-Seal");
            retry_after = (*opened)->header("Retry-After");
            while (true) {
                auto part = co_await (*opened)->read_some(3s);
                whole = part.has_value();
                if (!part || part->empty()) {
                    break;
                }
                body += *part;
                serve_at({&first, &second});
            }
        });
    }

    /** Another node hears from the first replica all the time. */
    void keep_first_heard()
    {
        asio::co_spawn(
            context,
            [this]() -> asio::awaitable<void> {
                std::map<std::uint64_t, replica_usage> uses;
                uses[1] = {1, 0, 0ms};
                while (true) {
                    node.board->note_peer_usage("other", uses, monotonic_clock::now());
                    co_await sleep_for(50ms);
                }
            },
            asio::detached);
    }

    void join_second_after(duration pause)
    {
        asio::co_spawn(
            context,
            [this, pause]() -> asio::awaitable<void> {
                co_await sleep_for(pause);
                serve_at({&first, &second});
            },
            asio::detached);
    }

    asio::io_context context;
    fake_head first{context, 2};
    fake_head second{context, 99};
    backend_table backends{2s};
    published_configuration_ptr services;
    std::optional<duration> age = 0s;
    relay_context node;
    http_server front{context.get_executor(),
                      [this](http_exchange& exchange) { return serve_call(node, exchange); }};
    unsigned status = 0;
    std::string seal;
    std::string retry_after;
    std::string body;
    bool whole = false;
};

} // namespace chervildyke::test
