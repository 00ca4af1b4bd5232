/** \file
 * Defines relay_fixture, in which a node forwards calls over sockets to the heads of two replicas.
 */
#pragma once

#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "base/scope_guard.h"
#include "platform/call_headers.h"
#include "relay/serve_call.h"
#include "support/run_task.h"

namespace chervildyke::test {

namespace asio = boost::asio;

inline std::string event(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) + "\n\n";
}

constexpr duration answer_timeout = 8s; // Longer than the deadline of any call.

/** The head of a replica: streams five events, starting after the request's Last-Event-Id. */
struct fake_head {
    static constexpr std::uint64_t events_per_answer = 5;

    fake_head(asio::io_context& context, std::uint64_t last_event)
        : last_whole_event(last_event),
          server(context.get_executor(),
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
        const std::string_view parts = request.header("X-Prompt-Prefix");
        if (!crashing_part.empty() && parts.find(crashing_part + ":") != std::string_view::npos) {
            has_crashed = true;
            server.stop_accepting(); // Further connections are refused.
            exchange.abort();
            co_return;
        }
        if (refusal) {
            http_reply refused = *refusal;
            refused.headers.push_back(
                {"X-Attempt-Id", std::string(request.header("X-Attempt-Id"))});
            co_await exchange.respond(std::move(refused));
            co_return;
        }
        co_await exchange.start_stream(head);
        if (!comment.empty()) {
            co_await exchange.write_chunk(comment);
        }
        while (id < events_per_answer) {
            ++id;
            if (id > last_whole_event) {
                co_await exchange.write_chunk("id: 9\nda"); // Within an event.
                exchange.abort();
                co_return;
            }
            const std::string bytes = event(id);
            if (!co_await exchange.write_chunk(bytes)) {
                co_return;
            }
            if (id == silent_after_event) {
                co_await sleep_for(silence);
            }
        }
        co_await exchange.end_stream();
    }

    std::uint64_t last_whole_event;       // The stream breaks within the next one, if there is one.
    duration delay{};                     // Before the first event.
    std::uint64_t silent_after_event = 0; // It pauses for `silence` after this event.
    duration silence{};
    std::string comment;               // Sent before the first event.
    std::optional<http_reply> refusal; // Answers with this instead of a stream.
    bool leaving = false;              // Its answers state that it is leaving.
    std::string crashing_part;         // It crashes when it starts to answer a prompt with this.
    bool has_crashed = false;
    std::string seal = "first";
    int calls = 0;
    http_server server;
};

/** A node with a streaming route to the service "pool" and a plain route to the service "desk". The
 * first head serves "pool" from the start; the second joins later.
 */
struct relay_fixture {
    explicit relay_fixture(retry_rule retry, duration call_timeout = 5s)
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
        route.retry = retry;
        route.max_attempts = 2;
        route.timeout = call_timeout;
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
        configuration =
            builder.route(route).route(plain).service(pool).service(desk).team(team).build();
        node.executor = context.get_executor();
        node.random = seeded_random(1);
        node.codec = platform::make_call_codec();
        node.http = std::make_shared<http_client>(context.get_executor());
        node.metrics = std::make_shared<metrics_registry>();
        node.replica_lb = std::make_shared<replica_balancer>(node.random);
        node.queue = std::make_shared<replica_queue>(context.get_executor(), *node.replica_lb);
        node.backend_lb = std::make_shared<backend_balancer>("a", node.random);
        node.backends = &backends;
        node.notices = std::make_shared<backend_notices>();
        node.replica_lb->head_availability = [this](const serving_replica& replica,
                                                    time_point now) {
            return node.availability(head_incarnation(replica), now);
        };
        node.configuration = [this] { return configuration; };
        node.configuration_age = [this] { return configuration_age; };
        node.replica_lb->set_profile("pool", engine);
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
        node.replica_lb->set_serving(replicas);
    }

    /** Calls the node and stores the answer in the fields below. The second head joins once the
     * first part of the answer has arrived.
     */
    void call(const std::string& key)
    {
        status = 0;
        body.clear();
        const std::string address = "127.0.0.1:" + std::to_string(front.port());
        run_task(context, [&]() -> asio::awaitable<void> {
            http_request request;
            request.method = "POST";
            request.target = "/a/x";
            request.headers = {{"Host", "desk.example"},          {"X-Attempt-Id", "call1"},
                               {"Authorization", "Token " + key}, {"X-Model", "m"},
                               {"X-Token-Usage", "100,20"},       {"X-Deadline-Ms", "5000"},
                               {"X-Prompt-Prefix", prompt_parts}};
            http_client client(context.get_executor());
            http_call_options options;
            options.timeout = answer_timeout;
            auto opened = co_await client.open(address, request, options);
            REQUIRE(opened);
            status = (*opened)->status();
            seal = (*opened)->header("X-Response-Seal");
            retry_after = (*opened)->header("Retry-After");
            while (true) {
                auto part = co_await (*opened)->read_some(3s);
                is_complete = part.has_value();
                if (!part || part->empty()) {
                    break;
                }
                body += *part;
                serve_at(heads_after_first_part);
            }
        });
    }

    /** Reports continuously that another node receives events from the first replica. */
    void report_first_replica_active()
    {
        asio::co_spawn(
            context,
            [this]() -> asio::awaitable<void> {
                std::map<std::uint64_t, replica_usage> usage;
                usage[1] = {1, 0, 0ms};
                while (true) {
                    node.replica_lb->note_peer_usage("other", usage, monotonic_clock::now());
                    co_await sleep_for(50ms);
                }
            },
            asio::detached);
    }

    void join_second_after(duration delay)
    {
        asio::co_spawn(
            context,
            [this, delay]() -> asio::awaitable<void> {
                co_await sleep_for(delay);
                serve_at({&first, &second});
            },
            asio::detached);
    }

    asio::io_context context;
    fake_head first{context, 2};
    fake_head second{context, 99};
    backend_table backends{2s};
    published_configuration_ptr configuration;
    std::optional<duration> configuration_age = 0s;
    relay_context node;
    http_server front{context.get_executor(),
                      [this](http_exchange& exchange) { return serve_call(node, exchange); }};
    std::vector<fake_head*> heads_after_first_part = {&first, &second};
    std::string prompt_parts = "shared:40,own:60";
    unsigned status = 0;
    std::string seal;
    std::string retry_after;
    std::string body;
    bool is_complete = false; // The body ended properly.
};

} // namespace chervildyke::test
