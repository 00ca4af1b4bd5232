/** \file
 * Tests over sockets that each call which a node has read whole gets exactly one answer or refusal,
 * and a 503 only if it did not run: with servers that are silent, fail or close, beside a stop, a
 * reload or another configuration, and when something in the node itself fails.
 */
#include <stdexcept>

#include "support/relay_fixture.h"

using namespace chervildyke;
using test::relay_fixture;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** A plain server that waits and then answers with a status, or closes the connection. */
struct plain_server {
    explicit plain_server(asio::io_context& context)
        : server(context.get_executor(),
                 [this](http_exchange& exchange) { return serve(exchange); })
    {
        REQUIRE(server.listen("127.0.0.1", 0));
    }

    asio::awaitable<void> serve(http_exchange& exchange)
    {
        ++calls;
        http_reply reply;
        reply.status = status;
        reply.body = "done";
        reply.headers = added;
        reply.headers.push_back(
            {"X-Attempt-Id", std::string(exchange.request().header("X-Attempt-Id"))});
        if (status == 200) {
            reply.headers.push_back({"X-Response-Seal", "seal"});
        }
        co_await sleep_for(delay);
        if (closes) {
            exchange.abort();
            co_return;
        }
        co_await exchange.respond(reply);
    }

    unsigned status = 200;
    std::vector<http_header> added;
    duration delay{};
    bool closes = false; // Without an answer.
    int calls = 0;
    http_server server;
};

/** A node whose plain route may send a call to two servers. */
struct call_fixture : relay_fixture {
    explicit call_fixture(retry_rule retry) : relay_fixture(retry)
    {
        configure([](call_route& route) { route.max_attempts = 2; });
    }

    /** Replaces the configuration by one with changed routes; routes without services are left out.
     */
    void configure(const std::function<void(call_route&)>& change)
    {
        published_configuration::builder builder;
        for (call_route route : configuration->routes()) {
            change(route);
            if (!route.services.empty()) {
                builder.route(route);
            }
        }
        for (const auto& [name, service] : configuration->services()) {
            builder.service(service);
        }
        team_keys team;
        team.name = "counter";
        team.keys = {"k1"};
        configuration = builder.version(configuration->version() + 1).team(team).build();
    }

    void list(const std::string& id, const plain_server& server)
    {
        backend listed;
        listed.id = id;
        listed.service = "desk";
        listed.address = "127.0.0.1:" + std::to_string(server.server.port());
        listed.started_ms = 1;
        backends.apply(listed, monotonic_clock::now());
    }

    /** Sends a call without waiting for its answer. */
    tcp::socket begin_call(const std::string& path = "/p/x", const std::string& time_left = "4500",
                           std::uint16_t port = 0)
    {
        tcp::socket socket(callers);
        socket.connect({asio::ip::make_address("127.0.0.1"), port == 0 ? front.port() : port});
        const std::string request = "POST " + path +
                                    " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: call1\r\n"
                                    "Authorization: Token k1\r\nX-Model: m\r\n"
                                    "X-Token-Usage: 100,20\r\nX-Deadline-Ms: " +
                                    time_left + "\r\nContent-Length: 0\r\n\r\n";
        asio::write(socket, asio::buffer(request));
        return socket;
    }

    void run(duration span)
    {
        context.restart();
        context.run_for(span);
    }

    asio::io_context callers;
};

/** What a caller has received. */
struct received {
    explicit received(tcp::socket& socket)
    {
        boost::system::error_code error;
        socket.non_blocking(true);
        asio::read(socket, asio::dynamic_buffer(text), error);
        is_closed = error != asio::error::would_block;
    }

    /** \return the status of the only answer; zero if there is none, or more than one. */
    unsigned status() const
    {
        const std::string begin = "HTTP/1.1 ";
        if (!text.starts_with(begin) || text.find(begin, 1) != std::string::npos) {
            return 0;
        }
        return static_cast<unsigned>(std::stoul(text.substr(begin.size(), 3)));
    }

    std::string text;
    bool is_closed = false;
};

} // namespace

TEST_CASE("a plain call that may run once waits for a server that is silent for a second")
{
    call_fixture fixture(retry_rule::never);
    plain_server silent(fixture.context);
    plain_server other(fixture.context);
    silent.delay = 1s;
    fixture.list("i-1", silent);
    tcp::socket caller = fixture.begin_call();
    fixture.run(100ms);
    fixture.list("i-2", other);
    fixture.run(1300ms);
    CHECK(received(caller).status() == 200);
    CHECK(silent.calls == 1);
    CHECK(other.calls == 0);
}

TEST_CASE("a plain call that may run again is answered by another server")
{
    call_fixture fixture(retry_rule::idempotent);
    plain_server silent(fixture.context);
    plain_server other(fixture.context);
    silent.delay = 3s;
    fixture.list("i-1", silent);
    tcp::socket caller = fixture.begin_call();
    fixture.run(100ms);
    fixture.list("i-2", other);
    fixture.run(1300ms);
    CHECK(received(caller).status() == 200);
    CHECK(other.calls == 1);
}

// Guards against giving up the only server of a call because it is silent for a second.
TEST_CASE("a plain call that may run again waits for its server if there is no other")
{
    call_fixture fixture(retry_rule::idempotent);
    plain_server silent(fixture.context);
    silent.delay = 1s;
    fixture.list("i-1", silent);
    tcp::socket caller = fixture.begin_call();
    fixture.run(1400ms);
    CHECK(received(caller).status() == 200);
    CHECK(silent.calls == 1);
}

// Guards against giving up a silent server when the budget allows no retry.
TEST_CASE("a plain call that may run again waits for its server if no retry is left")
{
    call_fixture fixture(retry_rule::idempotent);
    fixture.node.limits.retry_ratio = 0;
    fixture.node.limits.retry_reserve = 0;
    plain_server silent(fixture.context);
    plain_server other(fixture.context);
    silent.delay = 1s;
    fixture.list("i-1", silent);
    tcp::socket caller = fixture.begin_call();
    fixture.run(100ms);
    fixture.list("i-2", other);
    fixture.run(1300ms);
    CHECK(received(caller).status() == 200);
    CHECK(other.calls == 0);
}

TEST_CASE("a plain call whose server stays silent gets 504 at its deadline")
{
    call_fixture fixture(retry_rule::never);
    plain_server silent(fixture.context);
    silent.delay = 2s;
    fixture.list("i-1", silent);
    tcp::socket caller = fixture.begin_call("/p/x", "500");
    fixture.run(700ms);
    CHECK(received(caller).status() == 504);
}

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

TEST_CASE("a call that may run once gets 502 if its server closes without an answer")
{
    call_fixture fixture(retry_rule::never);
    plain_server closing(fixture.context);
    plain_server other(fixture.context);
    closing.closes = true;
    closing.delay = 50ms;
    fixture.list("i-1", closing);
    tcp::socket caller = fixture.begin_call();
    fixture.run(20ms);
    fixture.list("i-2", other);
    fixture.run(200ms);
    CHECK(received(caller).status() == 502);
    CHECK(other.calls == 0);
}

TEST_CASE("a call that may run again is answered if its server closes without an answer")
{
    call_fixture fixture(retry_rule::idempotent);
    plain_server closing(fixture.context);
    plain_server other(fixture.context);
    closing.closes = true;
    closing.delay = 50ms;
    fixture.list("i-1", closing);
    tcp::socket caller = fixture.begin_call();
    fixture.run(20ms);
    fixture.list("i-2", other);
    fixture.run(200ms);
    CHECK(received(caller).status() == 200);
    CHECK(other.calls == 1);
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

// Guards against giving up a silent server before another one has answered.
TEST_CASE("a plain call is answered by its silent first server if the second one fails")
{
    call_fixture fixture(retry_rule::idempotent);
    plain_server silent(fixture.context);
    plain_server other(fixture.context);
    silent.delay = 1200ms;
    SUBCASE("it refuses")
    {
        other.status = 503;
        other.added = {{"X-Not-Executed", "1"}};
    }
    SUBCASE("it closes without an answer")
    {
        other.closes = true;
    }
    SUBCASE("it answers with a failure")
    {
        other.status = 500;
    }
    SUBCASE("it stays silent")
    {
        other.delay = 4s;
    }
    fixture.list("i-1", silent);
    tcp::socket caller = fixture.begin_call();
    fixture.run(100ms);
    fixture.list("i-2", other);
    fixture.run(1800ms);
    CHECK(received(caller).status() == 200);
    CHECK(silent.calls == 1);
    CHECK(other.calls == 1);
    CHECK(fixture.front.requests_in_progress() == 0);
}

// Guards against a refusal of a call that the silent one of its servers may have run.
TEST_CASE("a plain call whose first server is silent and whose second one refuses gets 504")
{
    call_fixture fixture(retry_rule::idempotent);
    plain_server silent(fixture.context);
    plain_server other(fixture.context);
    silent.delay = 3s;
    other.status = 503;
    other.added = {{"X-Not-Executed", "1"}};
    fixture.list("i-1", silent);
    tcp::socket caller = fixture.begin_call("/p/x", "1200");
    fixture.run(100ms);
    fixture.list("i-2", other);
    fixture.run(1500ms);
    CHECK(received(caller).status() == 504);
    CHECK(other.calls == 1);
}

// Guards against a failure of a server that is replaced by another one of the node.
TEST_CASE("a plain call whose servers are silent and fail gets the failure by its deadline")
{
    call_fixture fixture(retry_rule::idempotent);
    plain_server silent(fixture.context);
    plain_server other(fixture.context);
    silent.delay = 3s;
    other.status = 500;
    fixture.list("i-1", silent);
    tcp::socket caller = fixture.begin_call("/p/x", "1200");
    fixture.run(100ms);
    fixture.list("i-2", other);
    fixture.run(1500ms);
    CHECK(received(caller).status() == 500);
    CHECK(other.calls == 1);
}
