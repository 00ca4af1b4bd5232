/** \file
 * Tests that channels can be created and destroyed repeatedly. gRPC 1.51 aborts when the last
 * channel is destroyed, unless its callback queue is kept alive.
 */
#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "rpc/control_client.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

constexpr int rounds = 100;
constexpr int clients_per_round = 3;

asio::awaitable<void> call_once(asio::io_context& context, std::string address, int& ended)
{
    control_client client(context.get_executor(), address);
    auto reply = co_await client.probe(schema::probe_request(), 10s);
    ended += reply.failure().code == rpc_error::unreachable ? 1 : 0;
}

/** Destroys all channels of a round before the next round creates new ones. */
asio::awaitable<void> call_with_new_clients(asio::io_context& context, std::string address,
                                            int& ended)
{
    for (int i = 1; i <= rounds; ++i) {
        for (int k = 0; k < clients_per_round; ++k) {
            asio::co_spawn(context, call_once(context, address, ended), asio::detached);
        }
        for (int tries = 0; ended < i * clients_per_round && tries < 5000; ++tries) {
            co_await sleep_for(1ms);
        }
        co_await sleep_for(10ms);
    }
    context.stop();
}

} // namespace

TEST_CASE("channels are created and destroyed repeatedly in a process without a server")
{
    asio::io_context context;
    const auto guard = asio::make_work_guard(context);
    const std::string address =
        "127.0.0.1:1"; // No server: one in this process would keep the queue alive.
    int ended = 0;
    asio::co_spawn(context, call_with_new_clients(context, address, ended), asio::detached);
    context.run_for(120s);
    CHECK(ended == rounds * clients_per_round);
}
