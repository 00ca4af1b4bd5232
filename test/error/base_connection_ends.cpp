/** \file
 * Tests every way in which the server ends a connection: a request that was read gets one reply,
 * whatever becomes of its handler, and a connection that the client may still use is not closed.
 */
#include <stdexcept>

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include "base/http_server.h"

using namespace chervildyke;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

std::string get(const std::string& path, const std::string& headers = "")
{
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n";
}

int failed_writes = 0; // Of the path /write-after-close.

asio::awaitable<void> handle(http_exchange& exchange)
{
    using namespace asio::experimental::awaitable_operators;
    const std::string path(exchange.request().path());
    http_reply reply;
    reply.body = "whole";
    if (path == "/throw") {
        throw std::runtime_error("the handler failed");
    }
    if (path == "/throw-within") {
        co_await exchange.start_stream(reply);
        co_await exchange.write_chunk("ha");
        throw std::runtime_error("the handler failed");
    }
    if (path == "/large") {
        reply.body = std::string(256U << 10U, '.') + reply.body;
    }
    if (path == "/wait") {
        co_await sleep_for(150ms);
    }
    if (path == "/watch") {
        const auto ended = co_await (exchange.wait_for_peer_close() || sleep_for(500ms));
        reply.body = ended.index() == 0 ? "the client left" : "the client listens";
    }
    if (path == "/write-after-close") {
        co_await exchange.wait_for_peer_close();
        co_await exchange.start_stream(reply);
        co_await sleep_for(50ms);
        // A socket that the client has closed answers the first write with a reset.
        const bool client_reads = co_await exchange.write_chunk("the client reads");
        if (!client_reads) {
            ++failed_writes;
        }
        co_await exchange.end_stream();
        co_return;
    }
    co_await exchange.respond(reply);
}

struct connection_fixture {
    explicit connection_fixture(const http_limits& limits = {})
        : server(context.get_executor(), handle, limits)
    {
        REQUIRE(server.listen("127.0.0.1", 0));
    }

    tcp::socket connect()
    {
        tcp::socket socket(client_context);
        socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        return socket;
    }

    /** Writes the bytes and then runs the server for a time. */
    void send(tcp::socket& socket, const std::string& bytes, duration span = 50ms)
    {
        boost::system::error_code error; // A server that has closed the connection resets it.
        asio::write(socket, asio::buffer(bytes), error);
        run(span);
    }

    void run(duration span)
    {
        context.restart();
        context.run_for(span);
    }

    /** \return the bytes that have arrived, followed by "(end)" if the server has closed the
     * connection, or by "(reset)".
     */
    static std::string read_arrived(tcp::socket& socket)
    {
        std::string text;
        boost::system::error_code error;
        socket.non_blocking(true);
        asio::read(socket, asio::dynamic_buffer(text), error);
        if (error == asio::error::would_block) {
            return text;
        }
        return text + (error == asio::error::eof ? "(end)" : "(reset)");
    }

    asio::io_context client_context;
    asio::io_context context;
    http_server server;
};

bool is_whole(const std::string& reply)
{
    return reply.starts_with("HTTP/1.1 200") && reply.ends_with("whole");
}

http_limits idle_limit(duration limit)
{
    http_limits limits;
    limits.idle_timeout = limit;
    return limits;
}

} // namespace

// Guards against closing the connection without a reply when a handler throws.
TEST_CASE("a handler that throws before it replies is answered for with 500")
{
    connection_fixture fixture;
    tcp::socket caller = fixture.connect();
    fixture.send(caller, get("/throw"));
    const std::string reply = connection_fixture::read_arrived(caller);
    CHECK(reply.starts_with("HTTP/1.1 500"));
    CHECK(reply.ends_with("(end)"));
    caller.close();
    tcp::socket next = fixture.connect();
    fixture.send(next, get("/"));
    CHECK(is_whole(connection_fixture::read_arrived(next)));
    CHECK(fixture.server.connections() == 1);
    CHECK(fixture.server.requests_in_progress() == 0);
}

// Guards against a streamed reply that ends like a whole one when its handler throws.
TEST_CASE("a handler that throws within its reply has the connection reset")
{
    connection_fixture fixture;
    tcp::socket caller = fixture.connect();
    fixture.send(caller, get("/throw-within"));
    CHECK(connection_fixture::read_arrived(caller).ends_with("(reset)"));
    CHECK(fixture.server.connections() == 0);
}

// Guards against closing a connection over the limit without a reply while all others are in use.
TEST_CASE("a request on a connection over the limit is refused with 503")
{
    http_limits limits;
    limits.max_connections = 1;
    connection_fixture fixture(limits);
    tcp::socket first = fixture.connect();
    fixture.send(first, get("/watch"), 20ms);
    tcp::socket second = fixture.connect();
    fixture.run(20ms);
    fixture.send(second, get("/"), 100ms);
    const std::string reply = connection_fixture::read_arrived(second);
    CHECK(reply.starts_with("HTTP/1.1 503"));
    CHECK(reply.ends_with("(end)"));
    fixture.run(600ms);
    CHECK(connection_fixture::read_arrived(first).ends_with("the client listens"));
}

// Guards against refusing a new connection while another one is idle.
TEST_CASE("a connection over the limit is served in place of an idle one")
{
    http_limits limits;
    limits.max_connections = 1;
    connection_fixture fixture(limits);
    tcp::socket first = fixture.connect();
    fixture.send(first, get("/"));
    CHECK(is_whole(connection_fixture::read_arrived(first)));
    tcp::socket second = fixture.connect();
    fixture.send(second, get("/"));
    CHECK(is_whole(connection_fixture::read_arrived(second)));
    CHECK(connection_fixture::read_arrived(first) == "(end)");
    CHECK(fixture.server.connections() == 1);
}

TEST_CASE("a connection over the limit that sends nothing is closed soon")
{
    http_limits limits;
    limits.max_connections = 1;
    connection_fixture fixture(limits);
    tcp::socket first = fixture.connect();
    fixture.send(first, get("/watch"), 20ms);
    tcp::socket second = fixture.connect();
    fixture.run(450ms); // Less than the first connection's request takes.
    CHECK(connection_fixture::read_arrived(second).ends_with("(end)"));
    CHECK(connection_fixture::read_arrived(first).empty());
}

// Guards against closing an idle connection by a limit that has been raised meanwhile.
TEST_CASE("an idle connection follows a raised idle limit")
{
    connection_fixture fixture(idle_limit(200ms));
    tcp::socket caller = fixture.connect();
    fixture.send(caller, get("/"));
    CHECK(is_whole(connection_fixture::read_arrived(caller)));
    fixture.server.set_limits(idle_limit(1s));
    fixture.run(400ms);
    fixture.send(caller, get("/"));
    CHECK(is_whole(connection_fixture::read_arrived(caller)));
}

TEST_CASE("an idle connection keeps the limit that held when it became idle if that is lowered")
{
    connection_fixture fixture(idle_limit(600ms));
    tcp::socket caller = fixture.connect();
    fixture.send(caller, get("/"));
    CHECK(is_whole(connection_fixture::read_arrived(caller)));
    fixture.server.set_limits(idle_limit(100ms));
    fixture.run(300ms);
    fixture.send(caller, get("/"));
    CHECK(is_whole(connection_fixture::read_arrived(caller)));
    fixture.run(200ms);
    CHECK(connection_fixture::read_arrived(caller) == "(end)");
}

// Guards against requests that a raised limit allows, and that are refused on older connections.
TEST_CASE("a request on an open connection follows raised limits on head and body")
{
    http_limits limits;
    limits.max_header_bytes = 2U << 10U;
    limits.max_body_bytes = 1U << 10U;
    connection_fixture fixture(limits);
    tcp::socket caller = fixture.connect();
    fixture.send(caller, get("/"));
    CHECK(is_whole(connection_fixture::read_arrived(caller)));
    limits.max_header_bytes = 64U << 10U;
    limits.max_body_bytes = 64U << 10U;
    fixture.server.set_limits(limits);
    constexpr std::size_t large = 40U << 10U;
    SUBCASE("a large head")
    {
        fixture.send(caller, get("/", "X-Large: " + std::string(large, 'x') + "\r\n"));
    }
    SUBCASE("a large body")
    {
        fixture.send(caller, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                                 std::to_string(large) + "\r\n\r\n" + std::string(large, 'x'));
    }
    CHECK(is_whole(connection_fixture::read_arrived(caller)));
}

TEST_CASE("a request that had begun when the limits were lowered is answered")
{
    connection_fixture fixture;
    tcp::socket caller = fixture.connect();
    fixture.send(caller, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nfirst");
    http_limits limits;
    limits.max_header_bytes = 16;
    limits.max_body_bytes = 4;
    fixture.server.set_limits(limits);
    fixture.send(caller, "other");
    CHECK(is_whole(connection_fixture::read_arrived(caller)));
}

// Guards against taking readiness without bytes for the end of the connection. An urgent byte
// before other bytes makes a socket readable while its count of available bytes is zero.
TEST_CASE("a client that is still there is not taken for one that left")
{
    connection_fixture fixture;
    tcp::socket caller = fixture.connect();
    fixture.send(caller, get("/watch"));
    caller.send(asio::buffer("!", 1), tcp::socket::message_out_of_band);
    fixture.send(caller, get("/"), 700ms);
    const std::string replies = connection_fixture::read_arrived(caller);
    CHECK(replies.find("the client listens") != std::string::npos);
    CHECK(replies.ends_with("whole"));
}

TEST_CASE("a client that closes its connection is noticed")
{
    connection_fixture fixture;
    tcp::socket caller = fixture.connect();
    fixture.send(caller, get("/watch"));
    caller.shutdown(tcp::socket::shutdown_send);
    fixture.run(100ms);
    CHECK(connection_fixture::read_arrived(caller).find("the client left") != std::string::npos);
}

// Guards against the assumption that a server can tell a client that shut down only its sending
// side from one that left before it has written to it.
TEST_CASE("only a write tells a client that closed its connection from one that still reads")
{
    connection_fixture fixture;
    failed_writes = 0;
    tcp::socket caller = fixture.connect();
    fixture.send(caller, get("/write-after-close"));
    SUBCASE("the client shut down its sending side")
    {
        caller.shutdown(tcp::socket::shutdown_send);
        fixture.run(150ms);
        const std::string reply = connection_fixture::read_arrived(caller);
        CHECK(reply.find("the client reads") != std::string::npos);
        CHECK(failed_writes == 0);
    }
    SUBCASE("the client closed its connection")
    {
        caller.close();
        fixture.run(150ms);
        CHECK(failed_writes == 1);
    }
    CHECK(fixture.server.requests_in_progress() == 0);
}

// Guards against a reset that destroys the rest of a reply when bytes follow the last request.
TEST_CASE("bytes behind a request that closes its connection do not reset the reply")
{
    connection_fixture fixture;
    tcp::socket caller(fixture.client_context);
    caller.open(tcp::v4());
    caller.set_option(tcp::socket::receive_buffer_size(4096)); // The server sends the rest later.
    caller.connect({asio::ip::make_address("127.0.0.1"), fixture.server.port()});
    const std::string more(96U << 10U, 'x');
    fixture.send(caller, get("/large", "Connection: close\r\n") + more, 100ms);
    std::string reply;
    boost::system::error_code error;
    asio::read(caller, asio::dynamic_buffer(reply), error);
    CHECK(error == asio::error::eof);
    CHECK(reply.ends_with("whole"));
    fixture.run(600ms);
    CHECK(fixture.server.connections() == 0);
}

// Guards against applying the limit on the time of a request's head to its body.
TEST_CASE("a body may arrive more slowly than a head")
{
    http_limits limits;
    limits.header_read_timeout = 150ms;
    connection_fixture fixture(limits);
    tcp::socket caller = fixture.connect();
    fixture.send(caller, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab", 300ms);
    fixture.send(caller, "cd");
    CHECK(is_whole(connection_fixture::read_arrived(caller)));
}

TEST_CASE("a body that does not arrive in time is refused with 408")
{
    http_limits limits;
    limits.body_read_timeout = 150ms;
    connection_fixture fixture(limits);
    tcp::socket caller = fixture.connect();
    fixture.send(caller, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab", 300ms);
    CHECK(connection_fixture::read_arrived(caller).starts_with("HTTP/1.1 408"));
}

TEST_CASE("a head that arrives too slowly is refused with 408")
{
    http_limits limits;
    limits.header_read_timeout = 150ms;
    connection_fixture fixture(limits);
    tcp::socket caller = fixture.connect();
    fixture.send(caller, "GET / HTTP/1.1\r\nHost:", 300ms);
    CHECK(connection_fixture::read_arrived(caller).starts_with("HTTP/1.1 408"));
}

// Guards against clients that send their next request on a connection that the server closes.
TEST_CASE("a reply written while the server stops announces that its connection closes")
{
    connection_fixture fixture;
    tcp::socket caller = fixture.connect();
    fixture.send(caller, get("/wait"));
    fixture.server.disable_keep_alive();
    fixture.run(200ms);
    const std::string reply = connection_fixture::read_arrived(caller);
    CHECK(reply.find("Connection: close") != std::string::npos);
    CHECK(reply.ends_with("whole(end)"));
}
