/** \file
 * Tests that the server refuses requests and closes connections when its memory or its connections
 * are used up, and that it never ends a request that is complete.
 */
#include <map>

#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "base/connection_set.h"
#include "base/http_server.h"
#include "base/request_memory.h"

using namespace chervildyke;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t max_body_bytes = 100'000;

http_limits low_limits()
{
    http_limits limits;
    limits.max_body_bytes = max_body_bytes;
    limits.max_header_bytes = 4096;
    limits.max_request_memory = 1; // One request of the largest size fits nevertheless.
    limits.max_connections = 3;
    limits.body_stall_timeout = 100ms;
    return limits;
}

std::string chunked_head(const std::string& path)
{
    return "POST " + path + " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/** \return a chunk with its line. */
std::string chunk(std::size_t bytes)
{
    char line[24];
    std::snprintf(line, sizeof(line), "%zx\r\n", bytes);
    return line + std::string(bytes, 'b') + "\r\n";
}

struct limits_fixture {
    explicit limits_fixture(const http_limits& limits = low_limits())
        : server(
              context.get_executor(), [this](http_exchange& exchange) { return handle(exchange); },
              limits)
    {
        server.set_refusal_hook([this](bad_request kind) { ++refused[kind]; });
        REQUIRE(server.listen("127.0.0.1", 0));
    }

    asio::awaitable<void> handle(http_exchange& exchange)
    {
        http_reply reply;
        reply.body = std::to_string(exchange.request().body.size());
        while (exchange.request().path() == "/hold" && holds) {
            co_await sleep_for(5ms);
        }
        co_await exchange.respond(std::move(reply));
    }

    tcp::socket connect(const std::string& from = "127.0.0.1")
    {
        tcp::socket socket(client_context);
        socket.open(tcp::v4());
        socket.bind({asio::ip::make_address(from), 0});
        socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        run(10ms);
        return socket;
    }

    /** Writes the bytes while the server runs, then runs it for a time. */
    void send(tcp::socket& socket, const std::string& bytes, duration span = 30ms)
    {
        boost::system::error_code error;
        socket.non_blocking(true);
        std::size_t sent = 0;
        for (int round = 0; round < 200 && sent < bytes.size(); ++round) {
            sent +=
                socket.write_some(asio::buffer(bytes.data() + sent, bytes.size() - sent), error);
            run(2ms);
        }
        run(span);
    }

    void run(duration span)
    {
        context.restart();
        context.run_for(span);
    }

    /** \return the bytes that have arrived; "(closed)" follows if the server closed. */
    static std::string read_arrived(tcp::socket& socket)
    {
        std::string text;
        boost::system::error_code error;
        socket.non_blocking(true);
        asio::read(socket, asio::dynamic_buffer(text), error);
        return error == asio::error::would_block ? text : text + "(closed)";
    }

    asio::io_context client_context;
    asio::io_context context;
    bool holds = true;
    std::map<bad_request, int> refused;
    http_server server;
};

} // namespace

// Guards against a budget in which the largest request within the limits never fits.
TEST_CASE("one request of the largest size is served, whatever the memory for requests")
{
    limits_fixture fixture;
    tcp::socket caller = fixture.connect();
    fixture.send(caller, chunked_head("/") + chunk(max_body_bytes) + "0\r\n\r\n");
    const std::string reply = limits_fixture::read_arrived(caller);
    CHECK(reply.starts_with("HTTP/1.1 200"));
    CHECK(reply.ends_with(std::to_string(max_body_bytes)));
    CHECK(fixture.server.request_bytes_available() > 2 * max_body_bytes);
}

// Guards against an incomplete request that keeps the memory from other clients.
TEST_CASE("the largest incomplete request of the address that holds most is refused with 503")
{
    limits_fixture fixture;
    tcp::socket abuser = fixture.connect("127.0.0.2");
    fixture.send(abuser, chunked_head("/") + chunk(max_body_bytes - 1));
    tcp::socket caller = fixture.connect();
    fixture.send(caller, chunked_head("/") + chunk(max_body_bytes / 2) + "0\r\n\r\n");
    CHECK(limits_fixture::read_arrived(caller).starts_with("HTTP/1.1 200"));
    CHECK(limits_fixture::read_arrived(abuser).starts_with("HTTP/1.1 503"));
    CHECK(fixture.refused[bad_request::no_memory] == 1);
}

// Guards against ending a call that runs in favour of one that arrives.
TEST_CASE("a complete request is not ended for lack of memory; the one that arrives is refused")
{
    limits_fixture fixture;
    tcp::socket holder = fixture.connect("127.0.0.2");
    fixture.send(holder, chunked_head("/hold") + chunk(max_body_bytes) + "0\r\n\r\n");
    tcp::socket caller = fixture.connect();
    fixture.send(caller, chunked_head("/") + chunk(max_body_bytes) + "0\r\n\r\n");
    CHECK(limits_fixture::read_arrived(caller).starts_with("HTTP/1.1 503"));
    CHECK(limits_fixture::read_arrived(holder).empty());
    fixture.holds = false;
    fixture.run(30ms);
    CHECK(limits_fixture::read_arrived(holder).starts_with("HTTP/1.1 200"));
}

// Guards against a body that stops short of its end and holds its memory for the whole time limit.
TEST_CASE("a body that makes no progress is refused with 408, one that makes some is not")
{
    http_limits limits = low_limits();
    limits.max_connections = 10;
    limits_fixture fixture(limits);
    tcp::socket stalled = fixture.connect();
    tcp::socket slow = fixture.connect();
    fixture.send(stalled, chunked_head("/") + chunk(10));
    fixture.send(slow, chunked_head("/"));
    for (int i = 0; i < 8; ++i) {
        fixture.send(slow, chunk(1));
    }
    fixture.send(slow, "0\r\n\r\n");
    CHECK(limits_fixture::read_arrived(stalled).starts_with("HTTP/1.1 408"));
    CHECK(limits_fixture::read_arrived(slow).starts_with("HTTP/1.1 200"));
}

// Guards against a deadline that no read reaches: chunk extensions are always ready, and the limit
// of the body counts only its own bytes.
TEST_CASE("a body with endless chunk extensions is refused with 408 at its deadline")
{
    http_limits limits = low_limits();
    limits.max_body_bytes = 16U << 20U;
    limits.body_read_timeout = 200ms;
    limits_fixture fixture(limits);
    tcp::socket client(fixture.context);
    client.connect({asio::ip::make_address("127.0.0.1"), fixture.server.port()});
    asio::write(client, asio::buffer(chunked_head("/")));
    const std::string piece = "1;e=" + std::string(3000, 'x') + "\r\nb\r\n";
    bool ended = false;
    asio::co_spawn(
        fixture.context,
        [&]() -> asio::awaitable<void> {
            const auto as_tuple = asio::as_tuple(asio::use_awaitable);
            boost::system::error_code failed;
            while (!failed) {
                const auto [error, bytes] =
                    co_await asio::async_write(client, asio::buffer(piece), as_tuple);
                failed = error;
            }
            ended = true;
        },
        asio::detached);
    fixture.run(700ms);
    CHECK(fixture.refused[bad_request::too_slow] == 1);
    fixture.run(1s);
    CHECK(ended);
}

// Guards against a server that buffers a body before it compares the announced length to its limit.
TEST_CASE("an announced length over the limit is refused before any of the body arrives")
{
    limits_fixture fixture;
    tcp::socket caller = fixture.connect();
    fixture.send(caller, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100001\r\n\r\n");
    CHECK(limits_fixture::read_arrived(caller).starts_with("HTTP/1.1 413"));
}

// Guards against clients that shut others out by keeping all connections open.
TEST_CASE("at the limit the longest waiting connection of the most frequent address is closed")
{
    limits_fixture fixture;
    tcp::socket other = fixture.connect("127.0.0.3");
    tcp::socket handled = fixture.connect("127.0.0.2");
    fixture.send(handled, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
    tcp::socket waiting = fixture.connect("127.0.0.2");
    fixture.send(waiting, "GET /partial HTTP/1.1\r\n");
    tcp::socket caller = fixture.connect();
    fixture.send(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(limits_fixture::read_arrived(caller).starts_with("HTTP/1.1 200"));
    CHECK(limits_fixture::read_arrived(waiting) == "(closed)");
    CHECK(limits_fixture::read_arrived(other).empty());
    CHECK(fixture.refused[bad_request::connection_displaced] == 1);
    fixture.holds = false;
    fixture.run(30ms);
    CHECK(limits_fixture::read_arrived(handled).starts_with("HTTP/1.1 200"));
}

TEST_CASE("connections make room in the order in which they began to wait")
{
    connection_set all;
    std::string closed;
    connection_set::entry first(all, "a", [&closed] { closed += "1"; });
    connection_set::entry second(all, "a", [&closed] { closed += "2"; });
    connection_set::entry third(all, "b", [&closed] { closed += "3"; });
    first.set_waiting(false);
    first.set_waiting(true);
    CHECK(all.make_room());
    CHECK(second.displaced());
    CHECK(all.size() == 2);
    first.set_waiting(false);
    CHECK(all.make_room());
    CHECK_FALSE(all.make_room());
    CHECK(closed == "23");
}
