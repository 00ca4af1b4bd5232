/** \file
 * Tests over sockets that each call which a node has read whole gets exactly one answer or refusal:
 * beside a stop, a reload or another configuration, and when something in the node itself fails.
 */
#include <stdexcept>

#include "support/call_fixture.h"

using namespace chervildyke;
using namespace chervildyke::test;

TEST_CASE("a call in progress is answered when the node stops")
{
    call_fixture fixture(retry_rule::never);
    plain_server slow(fixture.context);
    slow.delay = 300ms;
    fixture.list("i-1", slow);
    tcp::socket caller = fixture.begin_call();
    fixture.run(100ms);
    fixture.node.leaving = true;
    fixture.front.disable_keep_alive();
    fixture.run(50ms);
    fixture.front.stop_accepting();
    fixture.run(400ms);
    const received answer(caller);
    CHECK(answer.status() == 200);
    CHECK(answer.is_closed);
}

TEST_CASE("a call that arrives while the node stops is answered")
{
    call_fixture fixture(retry_rule::never);
    plain_server server(fixture.context);
    fixture.list("i-1", server);
    fixture.node.leaving = true;
    fixture.front.disable_keep_alive();
    tcp::socket caller = fixture.begin_call();
    fixture.run(200ms);
    const received answer(caller);
    CHECK(answer.status() == 200);
    CHECK(answer.text.find("Connection: close") != std::string::npos);
}

// Guards against cutting off with no answer a call that a stopping node can wait for in part.
TEST_CASE("a call that a stopping node took gets 504 before the grace time ends")
{
    call_fixture fixture(retry_rule::idempotent);
    plain_server silent(fixture.context);
    silent.delay = 4s;
    fixture.list("i-1", silent);
    fixture.node.leaving = true;
    fixture.node.stopping.begin(monotonic_clock::now(), 1500ms);
    fixture.front.disable_keep_alive();
    tcp::socket caller = fixture.begin_call("/p/x", "2000");
    fixture.run(1400ms);
    CHECK(received(caller).status() == 504);
    CHECK(silent.calls == 1);
}

TEST_CASE("a call in progress is answered when the limits of callers change")
{
    call_fixture fixture(retry_rule::never);
    plain_server slow(fixture.context);
    slow.delay = 300ms;
    fixture.list("i-1", slow);
    tcp::socket caller = fixture.begin_call();
    fixture.run(100ms);
    http_limits tight;
    tight.max_header_bytes = 16;
    tight.max_body_bytes = 1;
    tight.idle_timeout = 1ms;
    fixture.front.set_limits(tight);
    fixture.run(400ms);
    CHECK(received(caller).status() == 200);
}

TEST_CASE("a call in progress is answered when a configuration removes its route and its server")
{
    call_fixture fixture(retry_rule::never);
    plain_server slow(fixture.context);
    slow.delay = 300ms;
    fixture.list("i-1", slow);
    tcp::socket caller = fixture.begin_call();
    fixture.run(100ms);
    fixture.configure([](call_route& route) { route.services.clear(); });
    fixture.backends.remove("i-1", monotonic_clock::now());
    fixture.run(400ms);
    CHECK(received(caller).status() == 200);
    tcp::socket next = fixture.begin_call();
    fixture.run(100ms);
    CHECK(received(next).status() == 404);
    CHECK(slow.calls == 1);
}

TEST_CASE("a call in progress is answered when a configuration shortens the timeout of its route")
{
    call_fixture fixture(retry_rule::never);
    plain_server slow(fixture.context);
    slow.delay = 300ms;
    fixture.list("i-1", slow);
    tcp::socket caller = fixture.begin_call();
    fixture.run(100ms);
    fixture.configure([](call_route& route) { route.timeout = 10ms; });
    fixture.run(400ms);
    CHECK(received(caller).status() == 200);
}

TEST_CASE("a call that waits for a replica is refused when a configuration removes its route")
{
    call_fixture fixture(retry_rule::resumable);
    fixture.first.delay = 3s;
    std::vector<tcp::socket> running;
    for (int i = 0; i < 4; ++i) { // All slots.
        running.push_back(fixture.begin_call("/a/x"));
    }
    fixture.run(100ms);
    REQUIRE(fixture.first.calls == 4);
    tcp::socket waiting = fixture.begin_call("/a/x");
    fixture.run(20ms);
    fixture.configure([](call_route& route) { route.services.clear(); });
    SUBCASE("its wait ends")
    {
        fixture.run(600ms);
    }
    SUBCASE("the replica is gone")
    {
        fixture.serve_at({});
        fixture.node.queue->admit_waiting();
        fixture.run(600ms);
    }
    const received refused(waiting);
    CHECK(refused.status() == 503);
    CHECK(refused.text.find("Retry-After") != std::string::npos);
    CHECK(fixture.first.calls == 4);
}

TEST_CASE("a call that no server has run is refused when no retry is left")
{
    call_fixture fixture(retry_rule::never);
    fixture.node.limits.retry_ratio = 0;
    fixture.node.limits.retry_reserve = 0;
    plain_server full(fixture.context);
    plain_server other(fixture.context);
    full.status = 503;
    full.added = {{"X-Not-Executed", "1"}};
    full.delay = 50ms;
    fixture.list("i-1", full);
    tcp::socket caller = fixture.begin_call();
    fixture.run(20ms);
    fixture.list("i-2", other);
    fixture.run(200ms);
    CHECK(received(caller).status() == 503);
    CHECK(full.calls == 1);
    CHECK(other.calls == 0);
}

// Guards against a call that gets no answer because an exception ended its forwarding.
TEST_CASE("a call is answered with 500 when its forwarding throws")
{
    call_fixture fixture(retry_rule::never);
    plain_server server(fixture.context);
    fixture.list("i-1", server);
    fixture.node.codec.write_attempt = [](const http_request&,
                                          const attempt_parameters&) -> http_request {
        throw std::runtime_error("the attempt could not be written");
    };
    tcp::socket caller = fixture.begin_call();
    fixture.run(200ms);
    CHECK(received(caller).status() == 500);
    CHECK(fixture.front.requests_in_progress() == 0);
}

// Guards against a call that gets no answer because the reason of its refusal isn't valid UTF-8.
TEST_CASE("a call is refused when the reason holds bytes of a server that are not UTF-8")
{
    call_fixture fixture(retry_rule::resumable);
    plain_server refusing(fixture.context);
    refusing.status = 503;
    refusing.added = {{"X-Not-Executed", "1"}, {"At-Server", "i-\xff"}};
    serving_replica replica;
    replica.epoch = 1;
    replica.service = "pool";
    replica.model = "m";
    replica.head_id = "i1";
    replica.head_address = "127.0.0.1:" + std::to_string(refusing.server.port());
    fixture.node.replica_lb->set_serving({replica});
    tcp::socket caller = fixture.begin_call("/a/x");
    fixture.run(2s); // It waits for another replica first.
    CHECK(received(caller).status() == 503);
    CHECK(refusing.calls >= 1);
}

// Guards against a time left that overflows the deadline.
TEST_CASE("a call whose time left is not a usable number has the time of its route")
{
    for (const std::string time_left : {"inf", "nan", "1e300", "1e15", "soon", ""}) {
        CAPTURE(time_left);
        call_fixture fixture(retry_rule::never);
        plain_server server(fixture.context);
        server.delay = 50ms;
        fixture.list("i-1", server);
        tcp::socket caller = fixture.begin_call("/p/x", time_left);
        fixture.run(150ms);
        CHECK(received(caller).status() == 200);
    }
}

// Guards against sending a call to a server that can't answer it in time.
TEST_CASE("a call without time left is refused and not sent")
{
    for (const std::string time_left : {"0", "-5", "-1e300"}) {
        CAPTURE(time_left);
        call_fixture fixture(retry_rule::never);
        plain_server server(fixture.context);
        fixture.list("i-1", server);
        tcp::socket caller = fixture.begin_call("/p/x", time_left);
        fixture.run(100ms);
        CHECK(received(caller).status() == 503);
        CHECK(server.calls == 0);
    }
}

TEST_CASE("a call on a connection over the limit is refused with a Retry-After")
{
    call_fixture fixture(retry_rule::never);
    http_limits limits;
    limits.max_connections = 0;
    http_server full(
        fixture.context.get_executor(),
        [&fixture](http_exchange& exchange) { return serve_call(fixture.node, exchange); }, limits,
        [&fixture](bad_request kind) { return refuse_unread(fixture.node, kind); });
    REQUIRE(full.listen("127.0.0.1", 0));
    tcp::socket caller = fixture.begin_call("/p/x", "4500", full.port());
    fixture.run(100ms);
    const received refused(caller);
    CHECK(refused.status() == 503);
    CHECK(refused.text.find("Retry-After") != std::string::npos);
}
