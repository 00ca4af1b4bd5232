/** \file
 * Tests that a server answers every request that clients sent before it stopped accepting, and that
 * it replies without chunks to HTTP/1.0 clients, which can't read them.
 */
#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "base/http_server.h"

using namespace chervildyke;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

struct server_fixture {
    server_fixture() { REQUIRE(server.listen("127.0.0.1", 0)); }

    tcp::socket connect()
    {
        tcp::socket socket(client_context);
        socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        return socket;
    }

    void run(duration span)
    {
        context.restart();
        context.run_for(span);
    }

    /** Reads until the connection ends.
     * \return the bytes read, followed by "(reset)" if the connection was reset.
     */
    static std::string read_all(tcp::socket& socket)
    {
        std::string text;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(text), error);
        return error == asio::error::eof ? text : text + "(reset)";
    }

    asio::io_context client_context;
    asio::io_context context;
    bool aborts = false;
    http_server server{context.get_executor(), [this](http_exchange& exchange) {
                           return aborts ? abort_reply(exchange) : complete_reply(exchange);
                       }};

    static asio::awaitable<void> complete_reply(http_exchange& exchange)
    {
        http_reply reply;
        reply.status = 200;
        co_await exchange.start_stream(reply);
        co_await exchange.write_chunk("whole");
        co_await exchange.end_stream();
    }

    static asio::awaitable<void> abort_reply(http_exchange& exchange)
    {
        http_reply reply;
        reply.status = 200;
        co_await exchange.start_stream(reply);
        co_await exchange.write_chunk("ha");
        exchange.abort();
    }
};

} // namespace

TEST_CASE("a request on a connection that is not accepted yet is answered")
{
    server_fixture fixture;
    tcp::socket caller = fixture.connect();
    asio::write(caller, asio::buffer(request));
    fixture.server.stop_accepting();
    fixture.run(200ms);
    CHECK(server_fixture::read_all(caller).find("whole") != std::string::npos);
}

TEST_CASE("the first request of a connection that is accepted while the server stops is answered")
{
    server_fixture fixture;
    tcp::socket caller = fixture.connect();
    fixture.server.stop_accepting();
    fixture.run(50ms);
    asio::write(caller, asio::buffer(request));
    fixture.run(200ms);
    CHECK(server_fixture::read_all(caller).find("whole") != std::string::npos);
}

// Guards against a connection that is closed as idle as soon as it is accepted, when a task of the
// server's own event loop stops the server.
TEST_CASE("the first request of such a connection is answered when a task stops the server")
{
    server_fixture fixture;
    fixture.run(50ms); // The server waits for connections.
    tcp::socket caller(fixture.client_context);
    asio::post(fixture.context, [&] {
        caller = fixture.connect();
        fixture.server.stop_accepting();
    });
    fixture.run(50ms);
    asio::write(caller, asio::buffer(request));
    fixture.run(200ms);
    CHECK(server_fixture::read_all(caller).find("whole") != std::string::npos);
}

TEST_CASE("a request that has arrived on an idle connection is answered")
{
    server_fixture fixture;
    tcp::socket caller = fixture.connect();
    asio::write(caller, asio::buffer(request));
    fixture.run(50ms);
    asio::write(caller, asio::buffer(request));
    fixture.server.stop_accepting();
    fixture.server.stop_accepting(); // A second call has no effect.
    fixture.run(200ms);
    const std::string text = server_fixture::read_all(caller);
    CHECK(text.find("whole") != text.rfind("whole"));
}

TEST_CASE("a partly read request counts as in progress and is answered")
{
    server_fixture fixture;
    tcp::socket caller = fixture.connect();
    asio::write(caller, asio::buffer(request.substr(0, 8)));
    fixture.run(50ms);
    fixture.server.stop_accepting();
    CHECK(fixture.server.requests_in_progress() == 1);
    fixture.run(50ms);
    asio::write(caller, asio::buffer(request.substr(8)));
    fixture.run(200ms);
    CHECK(server_fixture::read_all(caller).find("whole") != std::string::npos);
    CHECK(fixture.server.requests_in_progress() == 0);
}

TEST_CASE("an idle connection is closed without a reset")
{
    server_fixture fixture;
    tcp::socket caller = fixture.connect();
    asio::write(caller, asio::buffer(request));
    fixture.run(50ms);
    fixture.server.stop_accepting();
    fixture.run(100ms);
    CHECK_FALSE(server_fixture::read_all(caller).ends_with("(reset)"));
    CHECK(fixture.server.connections() == 0);
}

TEST_CASE("an HTTP/1.0 client gets a reply without chunks, and a reset if the reply is aborted")
{
    server_fixture fixture;
    tcp::socket first = fixture.connect();
    asio::write(first, asio::buffer(std::string("GET / HTTP/1.0\r\nHost: a\r\n\r\n")));
    fixture.run(100ms);
    CHECK(server_fixture::read_all(first).ends_with("\r\n\r\nwhole"));
    fixture.aborts = true;
    tcp::socket second = fixture.connect();
    asio::write(second, asio::buffer(std::string("GET / HTTP/1.0\r\nHost: a\r\n\r\n")));
    fixture.run(100ms);
    CHECK(server_fixture::read_all(second).ends_with("(reset)"));
}
