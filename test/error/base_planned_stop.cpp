/** \file
 * Tests that a server which stops answers every request that callers had sent by then, and callers
 * of HTTP/1.0, who can't read chunks.
 */
#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "base/http_server.h"

using namespace chervildyke;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

struct stopping_bench {
    stopping_bench() { REQUIRE(server.listen("127.0.0.1", 0)); }

    tcp::socket connect()
    {
        tcp::socket socket(callers);
        socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        return socket;
    }

    void run(duration span)
    {
        context.restart();
        context.run_for(span);
    }

    /** Reads to the end of the connection.
     * \return what came; with "(reset)" at the end when it broke off.
     */
    static std::string read_all(tcp::socket& socket)
    {
        std::string text;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(text), error);
        return error == asio::error::eof ? text : text + "(reset)";
    }

    asio::io_context callers;
    asio::io_context context;
    bool breaks_off = false;
    http_server server{context.get_executor(), [this](http_exchange& exchange) {
                           return breaks_off ? break_off(exchange) : answer(exchange);
                       }};

    static asio::awaitable<void> answer(http_exchange& exchange)
    {
        http_reply reply;
        reply.status = 200;
        co_await exchange.start_stream(reply);
        co_await exchange.write_chunk("whole");
        co_await exchange.end_stream();
    }

    static asio::awaitable<void> break_off(http_exchange& exchange)
    {
        http_reply reply;
        reply.status = 200;
        co_await exchange.start_stream(reply);
        co_await exchange.write_chunk("ha");
        exchange.abort();
    }
};

} // namespace

TEST_CASE("a request on a connection that was not accepted yet is answered")
{
    stopping_bench bench;
    tcp::socket caller = bench.connect();
    asio::write(caller, asio::buffer(request));
    bench.server.stop_accepting();
    bench.run(200ms);
    CHECK(stopping_bench::read_all(caller).find("whole") != std::string::npos);
}

TEST_CASE("a request that follows on a connection accepted in the same instant is answered")
{
    stopping_bench bench;
    tcp::socket caller = bench.connect();
    bench.server.stop_accepting();
    bench.run(50ms);
    asio::write(caller, asio::buffer(request));
    bench.run(200ms);
    CHECK(stopping_bench::read_all(caller).find("whole") != std::string::npos);
}

TEST_CASE("a request that waits in a kept connection is answered")
{
    stopping_bench bench;
    tcp::socket caller = bench.connect();
    asio::write(caller, asio::buffer(request));
    bench.run(50ms);
    asio::write(caller, asio::buffer(request));
    bench.server.stop_accepting();
    bench.server.stop_accepting(); // A second signal changes nothing.
    bench.run(200ms);
    const std::string text = stopping_bench::read_all(caller);
    CHECK(text.find("whole") != text.rfind("whole"));
}

TEST_CASE("a request that is half read counts as in progress and is answered")
{
    stopping_bench bench;
    tcp::socket caller = bench.connect();
    asio::write(caller, asio::buffer(request.substr(0, 8)));
    bench.run(50ms);
    bench.server.stop_accepting();
    CHECK(bench.server.requests_in_progress() == 1);
    bench.run(50ms);
    asio::write(caller, asio::buffer(request.substr(8)));
    bench.run(200ms);
    CHECK(stopping_bench::read_all(caller).find("whole") != std::string::npos);
    CHECK(bench.server.requests_in_progress() == 0);
}

TEST_CASE("an idle connection is closed")
{
    stopping_bench bench;
    tcp::socket caller = bench.connect();
    asio::write(caller, asio::buffer(request));
    bench.run(50ms);
    bench.server.stop_accepting();
    bench.run(100ms);
    CHECK_FALSE(stopping_bench::read_all(caller).ends_with("(reset)"));
    CHECK(bench.server.connections() == 0);
}

TEST_CASE("a caller of HTTP/1.0 gets the bytes without chunks, and a reset when they break off")
{
    stopping_bench bench;
    tcp::socket first = bench.connect();
    asio::write(first, asio::buffer(std::string("GET / HTTP/1.0\r\nHost: a\r\n\r\n")));
    bench.run(100ms);
    CHECK(stopping_bench::read_all(first).ends_with("\r\n\r\nwhole"));
    bench.breaks_off = true;
    tcp::socket second = bench.connect();
    asio::write(second, asio::buffer(std::string("GET / HTTP/1.0\r\nHost: a\r\n\r\n")));
    bench.run(100ms);
    CHECK(stopping_bench::read_all(second).ends_with("(reset)"));
}
