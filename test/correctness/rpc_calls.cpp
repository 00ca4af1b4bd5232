/** \file
 * Tests unary calls and the view stream between control_client and control_server.
 */
#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "rpc/control_client.h"
#include "rpc/control_server.h"

using namespace chervildyke;
namespace asio = boost::asio;

TEST_CASE("a probe is answered and views arrive until the server ends the stream")
{
    asio::io_context context;
    control_rpc_hooks hooks;
    hooks.probe = [](schema::probe_request request) -> asio::awaitable<schema::probe_reply> {
        schema::probe_reply reply;
        reply.set_vm("answer to " + request.from());
        co_return reply;
    };
    hooks.watch_view = [](schema::view_request, view_writer write) -> asio::awaitable<void> {
        for (std::uint64_t version = 1; version <= 3; ++version) {
            schema::routing_view view;
            view.set_configuration_version(version);
            co_await write(view);
        }
    };
    control_server server(context.get_executor(), hooks);
    REQUIRE(server.listen("127.0.0.1", 0));
    control_client client(context.get_executor(), "127.0.0.1:" + std::to_string(server.port()));
    std::string answer;
    std::uint64_t last_version = 0;
    rpc_error unserved_code = rpc_error::none;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            schema::probe_request request;
            request.set_from("test");
            auto reply = co_await client.probe(request, 5s);
            answer = reply ? reply->vm() : reply.failure().reason;
            auto unserved = co_await client.claim(schema::claim_request(), 5s);
            unserved_code = unserved.failure().code;
            const auto on_view = [&](const auto& view) {
                last_version = view->configuration_version();
            };
            co_await client.watch_view(schema::view_request(), on_view, 5s);
            context.stop();
        },
        asio::detached);
    const auto guard = asio::make_work_guard(context);
    context.run_for(20s);
    CHECK(answer == "answer to test");
    CHECK(unserved_code == rpc_error::other_status);
    CHECK(last_version == 3);
}
