/** \file
 * Tests that calls whose answers go on without end take no memory from the other calls of a node.
 */
#include <map>
#include <string>

#include "support/relay_fixture.h"

using namespace chervildyke;
using test::relay_fixture;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** Answers each request with a head and `answer_bytes` of a chunked body. It then ends the body, or
 * goes on a byte at a time.
 */
struct bulk_server {
    bulk_server(asio::io_context& context, std::size_t bytes, bool ends_answers)
        : answer_bytes(bytes), ends(ends_answers),
          acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    asio::awaitable<void> accept()
    {
        while (true) {
            tcp::socket peer = co_await acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(acceptor.get_executor(), serve(std::move(peer)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket peer)
    {
        constexpr std::size_t piece_bytes = 20'000;
        constexpr duration pause = 20ms; // So that all answers are in progress at the same time.
        const auto as_tuple = asio::as_tuple(asio::use_awaitable);
        std::string request;
        co_await asio::async_read_until(peer, asio::dynamic_buffer(request), "\r\n\r\n", as_tuple);
        ++requests;
        std::string bytes = "HTTP/1.1 200 OK\r\nX-Attempt-Id: call1\r\nX-Response-Seal: s\r\n"
                            "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string piece = "4e20\r\n" + std::string(piece_bytes, 'x') + "\r\n";
        for (std::size_t sent = 0; sent < answer_bytes; sent += piece_bytes) {
            bytes += piece;
            const auto [error, written] =
                co_await asio::async_write(peer, asio::buffer(bytes), as_tuple);
            if (error) {
                co_return;
            }
            bytes.clear();
            co_await sleep_for(pause);
        }
        while (!ends) {
            const auto [error, written] =
                co_await asio::async_write(peer, asio::buffer("1\r\nx\r\n", 6), as_tuple);
            if (error) {
                co_return;
            }
            co_await sleep_for(pause);
        }
        co_await asio::async_write(peer, asio::buffer("0\r\n\r\n", 5), as_tuple);
    }

    std::size_t answer_bytes;
    bool ends;
    int requests = 0;
    tcp::acceptor acceptor;
};

} // namespace

// Guards against answers of sound servers that fail because those of a faulty one fill the memory.
TEST_CASE("answers without end at one server leave the answers of the others whole")
{
    constexpr int calls = 60;
    relay_fixture fixture(retry_rule::never, 5s);
    // All of them leave 1.1 MB of the 32 MB, and the sound answers take 3.6 MB.
    bulk_server faulty(fixture.context, 540'000, false);
    bulk_server sound(fixture.context, 60'000, true);
    published_configuration::builder builder;
    for (const char* name : {"faulty", "sound"}) {
        backend_service service;
        service.name = name;
        call_route route;
        route.name = name;
        route.host = "desk.example";
        route.path_prefix = "/" + std::string(name) + "/";
        route.services = {{name, 1}};
        route.retry = retry_rule::never;
        route.max_attempts = 1;
        route.timeout = 5s;
        route.latency_target = 400ms;
        builder.service(service).route(route);
        backend server;
        server.id = std::string("i-") + name;
        server.service = name;
        server.address = name == std::string("faulty") ? faulty.address() : sound.address();
        server.started_ms = 1;
        fixture.backends.apply(server, monotonic_clock::now());
    }
    fixture.configuration = builder.build();
    http_client client(fixture.context.get_executor(), 0);
    const std::string address = "127.0.0.1:" + std::to_string(fixture.front.port());
    std::map<unsigned, int> sound_statuses;
    int ended = 0;
    const auto call = [&](std::string name, duration start) -> asio::awaitable<void> {
        co_await sleep_for(start);
        http_request request;
        request.method = "POST";
        request.target = "/" + name + "/x";
        request.headers = {
            {"Host", "desk.example"}, {"X-Attempt-Id", "call1"}, {"X-Deadline-Ms", "5000"}};
        http_call_options options;
        options.timeout = 6s;
        auto reply = co_await client.call(address, request, options);
        if (name == "sound") {
            ++sound_statuses[reply ? reply->status : 0];
        }
        if (++ended == 2 * calls) {
            fixture.context.stop();
        }
    };
    for (int i = 0; i < calls; ++i) {
        asio::co_spawn(fixture.context, call("faulty", 0s), asio::detached);
        asio::co_spawn(fixture.context, call("sound", 1500ms), asio::detached);
    }
    fixture.context.run_for(std::chrono::seconds(20));
    CHECK(ended == 2 * calls);
    CHECK(faulty.requests > 0);
    for (const auto& status_count : sound_statuses) {
        CAPTURE(status_count.second);
        CHECK(status_count.first == 200);
    }
    CHECK(fixture.node.buffered.available_bytes() == 32U << 20U);
}

// Guards against streams whose unfinished events take memory that no limit covers.
TEST_CASE("unfinished events of streams count in the limit on memory")
{
    constexpr int calls = 20;
    constexpr std::size_t event_bytes = 500'000;
    relay_fixture fixture(retry_rule::never, 2s);
    bulk_server server(fixture.context, event_bytes, false);
    engine_profile engine;
    engine.batch_slots = 2 * calls;
    engine.step_ms = 8;
    model_profile model;
    model.name = "m";
    engine.models = {model};
    fixture.node.replica_lb->set_profile("pool", engine);
    serving_replica replica;
    replica.epoch = 9;
    replica.service = "pool";
    replica.model = "m";
    replica.head_id = "i9";
    replica.head_address = server.address();
    fixture.node.replica_lb->set_serving({replica});
    http_client client(fixture.context.get_executor(), 0);
    const std::string address = "127.0.0.1:" + std::to_string(fixture.front.port());
    std::size_t least_left = fixture.node.buffered.available_bytes();
    int ended = 0;
    for (int i = 0; i < calls; ++i) {
        asio::co_spawn(
            fixture.context,
            [&]() -> asio::awaitable<void> {
                http_request request;
                request.method = "POST";
                request.target = "/a/x";
                request.headers = {{"Host", "desk.example"},        {"X-Attempt-Id", "call1"},
                                   {"Authorization", "Token k1"},   {"X-Model", "m"},
                                   {"X-Token-Usage", "100,20"},     {"X-Deadline-Ms", "2000"},
                                   {"X-Prompt-Prefix", "p:40,q:60"}};
                http_call_options options;
                options.timeout = 4s;
                auto reply = co_await client.call(address, request, options);
                CHECK_FALSE((reply && reply->status == 200));
                if (++ended == calls) {
                    fixture.context.stop();
                }
            },
            asio::detached);
    }
    asio::co_spawn(
        fixture.context,
        [&]() -> asio::awaitable<void> {
            while (true) {
                least_left = std::min(least_left, fixture.node.buffered.available_bytes());
                co_await sleep_for(10ms);
            }
        },
        asio::detached);
    fixture.context.run_for(std::chrono::seconds(10));
    CHECK(ended == calls);
    CHECK(server.requests == calls);
    CHECK(least_left <= (32U << 20U) - calls * event_bytes);
    CHECK(fixture.node.buffered.available_bytes() == 32U << 20U);
}
