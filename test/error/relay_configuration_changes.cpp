/** \file
 * Tests calls beside a change of the configuration that takes away what they came with: the call is
 * judged by the configuration that was in force when it was read, and gets its whole answer.
 */
#include <map>
#include <string>

#include "support/call_fixture.h"

using namespace chervildyke;
using test::call_fixture;
using test::event;
using test::plain_server;
using test::received;
using test::relay_fixture;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr duration change_at = 100ms;

/** Configurations that lack something which a call in progress came with, by what they lack. */
std::map<std::string, published_configuration_ptr> make_changes(const relay_fixture& fixture)
{
    const published_configuration& current = *fixture.configuration;
    std::map<std::string, published_configuration_ptr> changes;
    const auto make = [&](bool routes, bool services, bool keys, duration timeout) {
        published_configuration::builder builder;
        for (call_route route : current.routes()) {
            route.timeout = timeout;
            if (routes) {
                builder.route(route);
            }
        }
        for (const auto& [name, service] : current.services()) {
            if (services) {
                builder.service(service);
            }
        }
        team_keys team;
        team.name = "counter";
        team.keys = {keys ? "k1" : "k2"};
        return builder.version(current.version() + 1).team(team).build();
    };
    changes["the routes"] = make(false, true, true, 5s);
    changes["the services"] = make(true, false, true, 5s);
    changes["the key"] = make(true, true, false, 5s);
    changes["most of the time"] = make(true, true, true, 50ms);
    changes["everything"] = nullptr;
    return changes;
}

/** Replaces the configuration after a time. */
void change_after(relay_fixture& fixture, duration delay, published_configuration_ptr changed)
{
    asio::co_spawn(
        fixture.context,
        [&fixture, delay, changed]() -> asio::awaitable<void> {
            co_await sleep_for(delay);
            fixture.configuration = changed;
            // As a node does with each configuration and each change of the replicas.
            if (changed && !changed->services().empty()) {
                fixture.node.queue->admit_waiting();
            }
        },
        asio::detached);
}

std::string whole_stream()
{
    return event(1) + event(2) + event(3) + event(4) + event(5);
}

} // namespace

TEST_CASE("a stream in progress is whole although the configuration loses what it came with")
{
    for (const auto& change : make_changes(relay_fixture(retry_rule::resumable))) {
        const std::string lost = change.first;
        const published_configuration_ptr changed = change.second;
        CAPTURE(lost);
        relay_fixture fixture(retry_rule::resumable);
        fixture.first.last_whole_event = 99;
        fixture.first.silent_after_event = 2;
        fixture.first.silence = 1s; // A sound server may be silent for so long.
        change_after(fixture, change_at, changed);
        fixture.call("k1");
        CHECK(fixture.status == 200);
        CHECK(fixture.is_complete);
        CHECK(fixture.body == whole_stream());
    }
}

TEST_CASE("a stream before its first event is whole although the configuration changes")
{
    for (const auto& change : make_changes(relay_fixture(retry_rule::never))) {
        const std::string lost = change.first;
        const published_configuration_ptr changed = change.second;
        CAPTURE(lost);
        relay_fixture fixture(retry_rule::never);
        fixture.first.last_whole_event = 99;
        fixture.first.delay = 1s;
        change_after(fixture, change_at, changed);
        fixture.call("k1");
        CHECK(fixture.status == 200);
        CHECK(fixture.is_complete);
        CHECK(fixture.body == whole_stream());
        CHECK(fixture.first.calls == 1);
    }
}

TEST_CASE("a stream that breaks off goes on elsewhere although the configuration has changed")
{
    for (const auto& change : make_changes(relay_fixture(retry_rule::resumable))) {
        const std::string lost = change.first;
        const published_configuration_ptr changed = change.second;
        CAPTURE(lost);
        relay_fixture fixture(retry_rule::resumable);
        fixture.first.delay = 2 * change_at; // It breaks off within its third event.
        change_after(fixture, change_at, changed);
        fixture.call("k1");
        CHECK(fixture.status == 200);
        CHECK(fixture.is_complete);
        CHECK(fixture.body == whole_stream());
        CHECK(fixture.second.calls == 1);
    }
}

TEST_CASE("a stream that waits for a free slot is served although the configuration changes")
{
    for (const auto& change : make_changes(relay_fixture(retry_rule::resumable))) {
        const std::string lost = change.first;
        const published_configuration_ptr changed = change.second;
        CAPTURE(lost);
        call_fixture fixture(retry_rule::resumable);
        engine_profile engine = *fixture.configuration->find_service("pool")->engine;
        engine.batch_slots = 1;
        fixture.node.replica_lb->set_profile("pool", engine);
        fixture.first.last_whole_event = 99;
        fixture.first.delay = 2 * change_at;
        tcp::socket running = fixture.begin_call("/a/x");
        fixture.run(20ms);
        tcp::socket waiting = fixture.begin_call("/a/y");
        fixture.run(20ms);
        REQUIRE(fixture.node.queue->waiting() == 1);
        change_after(fixture, 20ms, changed);
        fixture.run(800ms);
        CHECK(received(running).status() == 200);
        const received answer(waiting);
        CHECK(answer.status() == 200);
        CHECK(answer.text.ends_with("0\r\n\r\n"));
    }
}

TEST_CASE("a plain call is answered although the configuration changes while its server is silent")
{
    for (const retry_rule retry : {retry_rule::never, retry_rule::idempotent}) {
        for (const auto& change : make_changes(relay_fixture(retry))) {
            const std::string lost = change.first;
            const published_configuration_ptr changed = change.second;
            CAPTURE(lost);
            call_fixture fixture(retry);
            plain_server silent(fixture.context);
            silent.delay = 1s;
            fixture.list("i-1", silent);
            tcp::socket caller = fixture.begin_call();
            change_after(fixture, change_at, changed);
            fixture.run(1300ms);
            CHECK(received(caller).status() == 200);
            CHECK(silent.calls == 1);
        }
    }
}

TEST_CASE("a plain call runs at a second server although the configuration has changed")
{
    for (const auto& change : make_changes(relay_fixture(retry_rule::idempotent))) {
        const std::string lost = change.first;
        const published_configuration_ptr changed = change.second;
        CAPTURE(lost);
        call_fixture fixture(retry_rule::idempotent);
        plain_server closing(fixture.context);
        plain_server other(fixture.context);
        closing.closes = true;
        closing.delay = 2 * change_at;
        fixture.list("i-1", closing);
        tcp::socket caller = fixture.begin_call();
        fixture.run(change_at);
        fixture.list("i-2", other);
        change_after(fixture, 0ms, changed);
        fixture.run(500ms);
        CHECK(received(caller).status() == 200);
        CHECK(other.calls == 1);
    }
}

// The request is whole only after the change, so the newer configuration decides; it is answered.
TEST_CASE("a call of which half of the body was read when the configuration changed is answered")
{
    for (const auto& change : make_changes(relay_fixture(retry_rule::never))) {
        const std::string lost = change.first;
        const published_configuration_ptr changed = change.second;
        CAPTURE(lost);
        call_fixture fixture(retry_rule::never);
        plain_server server(fixture.context);
        fixture.list("i-1", server);
        tcp::socket caller(fixture.callers);
        caller.connect({asio::ip::make_address("127.0.0.1"), fixture.front.port()});
        const std::string head =
            "POST /p/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: call1\r\n"
            "Authorization: Token k1\r\nX-Deadline-Ms: 4500\r\n"
            "Content-Length: 10\r\n\r\nfirst";
        asio::write(caller, asio::buffer(head));
        fixture.run(50ms);
        change_after(fixture, 0ms, changed);
        http_limits limits;
        limits.max_body_bytes = 4; // Of the requests that come from now on.
        fixture.front.set_limits(limits);
        fixture.run(50ms);
        asio::write(caller, asio::buffer("other", 5));
        fixture.run(200ms);
        const unsigned status = received(caller).status();
        const bool allowed = lost == "the services" || lost == "most of the time";
        CHECK(status == (allowed                ? 200
                         : lost == "the routes" ? 404
                         : lost == "the key"    ? 401
                                                : 503));
        CHECK(server.calls == (allowed ? 1 : 0));
    }
}
