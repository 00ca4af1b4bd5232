/** \file
 * Tests that a delayed duplicate of an earlier answer is not taken for the answer to a command. It
 * arrives when the command is sent on the reused connection on which the earlier answer came.
 */
#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "platform/engine_calls.h"
#include "support/run_task.h"

using namespace chervildyke;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** Answers each request on the first connection with the same 200, and requests on any other
 * connection with a 409.
 */
struct repeating_server {
    explicit repeating_server(asio::io_context& context)
        : acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    asio::awaitable<void> accept()
    {
        std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        while (true) {
            tcp::socket peer = co_await acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(acceptor.get_executor(), serve(std::move(peer), answer), asio::detached);
            answer = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
        }
    }

    static asio::awaitable<void> serve(tcp::socket peer, std::string answer)
    {
        std::string request(4096, ' ');
        while (true) {
            const auto [error, bytes] = co_await peer.async_read_some(
                asio::buffer(request), asio::as_tuple(asio::use_awaitable));
            if (error) {
                co_return;
            }
            co_await asio::async_write(peer, asio::buffer(answer),
                                       asio::as_tuple(asio::use_awaitable));
        }
    }

    tcp::acceptor acceptor;
};

} // namespace

TEST_CASE("a delayed duplicate of another answer does not confirm a command")
{
    asio::io_context context;
    repeating_server server(context);
    const auto http = std::make_shared<http_client>(context.get_executor());
    const engine_calls engines = platform::make_engine_calls(http);
    backend vm;
    vm.id = "i-1";
    vm.address = "127.0.0.1:" + std::to_string(server.acceptor.local_endpoint().port());
    std::optional<command_outcome> outcome;
    test::run_task(context, [&]() -> asio::awaitable<void> {
        http_request request;
        auto reply = co_await http->call(vm.address, request);
        REQUIRE(reply);
        engine_command command;
        command.kind = command_kind::leave;
        outcome = co_await engines.send(vm, command);
    });
    CHECK(outcome == command_outcome::refused);
}
