/** \file
 * Tests over sockets that a node sends no more calls to a cold server than its share, and what
 * callers get instead.
 */
#include "support/call_fixture.h"

using namespace chervildyke;
using namespace chervildyke::test;

namespace {

/** A node alone whose services take two calls a second at a cold server. */
struct cold_fixture : call_fixture {
    cold_fixture() : call_fixture(retry_rule::never)
    {
        published_configuration::builder builder;
        for (const call_route& route : configuration->routes()) {
            builder.route(route);
        }
        for (auto [name, service] : configuration->services()) {
            service.cold.calls_per_s = 2;
            builder.service(service);
        }
        team_keys team;
        team.name = "counter";
        team.keys = {"k1"};
        configuration = builder.version(2).team(team).build();
        cold_server_hooks hooks;
        hooks.configuration = [this] { return configuration; };
        hooks.list_age = [] { return std::optional<duration>(0s); };
        node.cold = std::make_shared<cold_servers>("n", backends, node.metrics, std::move(hooks));
        node.cold->limit_replicas(*node.replica_lb);
    }

    /** Lists a server that stays cold for the given time. */
    void list_cold(const std::string& id, const std::string& service, std::uint16_t port,
                   duration remaining)
    {
        backend listed;
        listed.id = id;
        listed.service = service;
        listed.address = "127.0.0.1:" + std::to_string(port);
        listed.started_ms = 1;
        listed.cold_remaining = remaining;
        backends.apply(listed, monotonic_clock::now());
    }

    /** Checks the fleet as a node that has run for longer than it takes to hear its peers. */
    void settle()
    {
        const time_point now = monotonic_clock::now();
        for (duration before = 3s; before >= 0s; before -= 500ms) {
            node.cold->update({}, true, now - before);
        }
    }
};

} // namespace

TEST_CASE("calls beyond a cold server's rate go to another server, or are refused until it is warm")
{
    cold_fixture fixture;
    plain_server cold(fixture.context);
    plain_server warm(fixture.context);
    fixture.list_cold("i-1", "desk", cold.server.port(), 3s);
    const auto call = [&] {
        tcp::socket caller = fixture.begin_call();
        fixture.run(100ms);
        return received(caller);
    };
    SUBCASE("a node that has just started sends nothing to it")
    {
        fixture.node.cold->update({}, true, monotonic_clock::now());
        const received refused = call();
        CHECK(refused.status() == 503);
        CHECK(refused.text.find("Retry-After: 3") != std::string::npos);
        CHECK(cold.calls == 0);
    }
    SUBCASE("two calls a second pass")
    {
        fixture.settle();
        CHECK(call().status() == 200);
        CHECK(call().status() == 200);
        const received refused = call();
        CHECK(refused.status() == 503);
        CHECK(refused.text.find("Retry-After: ") != std::string::npos);
        fixture.list("i-2", warm);
        CHECK(call().status() == 200);
        CHECK(warm.calls == 1);
        CHECK(cold.calls == 2);
    }
    SUBCASE("its entry says that it is warm")
    {
        fixture.list_cold("i-1", "desk", cold.server.port(), 0s);
        CHECK(call().status() == 200);
    }
}

// Guards against a waiting call that is refused although the node may call the head again in time.
TEST_CASE("a call waits for a replica with a cold head until this node may call it again")
{
    cold_fixture fixture;
    fixture.first.last_whole_event = 99;
    fixture.heads_after_first_part = {&fixture.first};
    fixture.list_cold("i1", "pool", fixture.first.server.port(), 3s);
    fixture.settle();
    asio::co_spawn(
        fixture.context,
        [&]() -> asio::awaitable<void> {
            while (true) {
                co_await sleep_for(50ms);
                fixture.node.cold->update({}, true, monotonic_clock::now());
                fixture.node.queue->admit_waiting();
            }
        },
        asio::detached);
    const time_point now = monotonic_clock::now();
    fixture.node.cold->note_chosen("pool", "i1", now - 900ms); // Both calls of this second.
    fixture.node.cold->note_chosen("pool", "i1", now - 900ms);
    fixture.call("k1");
    CHECK(fixture.status == 200);
    CHECK(fixture.is_complete);
    CHECK(monotonic_clock::now() - now >= 100ms);
}
