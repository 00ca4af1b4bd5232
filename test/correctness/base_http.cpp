/** \file
 * Tests that requests, replies and streamed replies are transferred completely.
 */
#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/http_client.h"
#include "base/http_server.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

asio::awaitable<void> echo(http_exchange& exchange)
{
    if (exchange.request().path() == "/stream") {
        http_reply head;
        head.content_type = "text/event-stream";
        co_await exchange.start_stream(head);
        for (int i = 0; i < 3; ++i) {
            co_await exchange.write_chunk("part" + std::to_string(i) + ";");
        }
        co_await exchange.end_stream();
        co_return;
    }
    http_reply reply;
    reply.body = exchange.request().method + " " + exchange.request().body;
    co_await exchange.respond(reply);
}

} // namespace

TEST_CASE("a call and a stream return what the server wrote")
{
    asio::io_context context;
    http_server server(context.get_executor(), echo);
    REQUIRE(server.listen("127.0.0.1", 0));
    const std::string target_address = "127.0.0.1:" + std::to_string(server.port());
    http_client client(context.get_executor());
    std::string called;
    std::string streamed;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            http_request request;
            request.method = "POST";
            request.target = "/call";
            request.body = "hello";
            auto reply = co_await client.call(target_address, request);
            called = reply ? reply->body : reply.failure().reason;
            request.target = "/stream";
            auto stream = co_await client.open(target_address, request);
            while (stream) {
                auto part = co_await (*stream)->read_some(1s);
                if (!part || part->empty()) {
                    break;
                }
                streamed += *part;
            }
            context.stop();
        },
        asio::detached);
    context.run_for(10s);
    CHECK(called == "POST hello");
    CHECK(streamed == "part0;part1;part2;");
}

TEST_CASE("a call to an address on which no server listens fails as not sent")
{
    asio::io_context context;
    http_client client(context.get_executor());
    http_error code = http_error::none;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            auto reply = co_await client.call("127.0.0.1:1", http_request());
            code = reply.failure().code;
        },
        asio::detached);
    context.run_for(10s);
    CHECK(code == http_error::not_sent);
}
