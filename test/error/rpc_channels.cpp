/** \file
 * Tests that channels may come and go: gRPC 1.51 aborted when the last one was destroyed.
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
constexpr int clients_a_round = 3;

asio::awaitable<void> call_once(asio::io_context& context, std::string address, int& ended)
{
    control_client client(context.get_executor(), address);
    auto reply = co_await client.probe(schema::probe_request(), 10s);
    ended += reply.last_reason().code == rpc_error::unreachable ? 1 : 0;
}

/** Lets all channels of a round go before the next round makes new ones. */
asio::awaitable<void> call_with_new_clients(asio::io_context& context, std::string address,
                                            int& ended)
{
    for (int i = 1; i <= rounds; ++i) {
        for (int k = 0; k < clients_a_round; ++k) {
            asio::co_spawn(context, call_once(context, address, ended), asio::detached);
        }
        for (int tries = 0; ended < i * clients_a_round && tries < 5000; ++tries) {
            co_await sleep_for(1ms);
        }
        co_await sleep_for(10ms);
    }
    context.stop();
}

} // namespace

TEST_CASE("channels come and go in a process that serves nothing")
{
    asio::io_context context;
    const auto guard = asio::make_work_guard(context);
    const std::string address =
        "127.0.0.1:1"; // Nobody listens: a server here would hold the queue.
    int ended = 0;
    asio::co_spawn(context, call_with_new_clients(context, address, ended), asio::detached);
    context.run_for(120s);
    CHECK(ended == rounds * clients_a_round);
}
