/** \file
 * Tests that a node which is behind passes nothing on for callers that have left. The load
 * answered: callers that give up after a second and repeat, at nodes that are starved of processor
 * time.
 */
#include <thread>

#include "support/relay_bench.h"

using namespace chervildyke;
using test::relay_bench;
namespace asio = boost::asio;

namespace {

/** Sends a call and closes the connection while the node does not run. */
void send_and_leave(const relay_bench& bench)
{
    asio::io_context caller;
    asio::ip::tcp::socket socket(caller);
    socket.connect({asio::ip::make_address("127.0.0.1"), bench.front.port()});
    const std::string request = "POST /a/x HTTP/1.1\r\nHost: desk.example\r\n"
                                "X-Attempt-Id: left\r\nAuthorization: Token k1\r\nX-Model: m\r\n"
                                "X-Token-Usage: 100,20\r\nContent-Length: 0\r\n\r\n";
    asio::write(socket, asio::buffer(request));
}

} // namespace

TEST_CASE("a call whose caller left before it was read is not passed on")
{
    relay_bench bench(retry_rule::resumable);
    bench.first.breaks = 99;
    bench.call("k1"); // Leaves a connection to the head, on which a request goes out at once.
    REQUIRE(bench.first.calls == 1);
    bench.serve_at({&bench.first});
    send_and_leave(bench);
    bench.context.restart();
    bench.context.run_for(std::chrono::milliseconds(200));
    CHECK(bench.first.calls == 1);
}

TEST_CASE("a node that is behind turns calls away at once and says when to come back")
{
    relay_bench bench(retry_rule::resumable);
    asio::co_spawn(bench.context, bench.node.lag.measure(), asio::detached);
    bench.context.run_for(std::chrono::milliseconds(20));
    std::this_thread::sleep_for(std::chrono::milliseconds(600)); // Other work had the processor.
    bench.context.restart();
    bench.call("k1");
    CHECK(bench.status == 503);
    CHECK_FALSE(bench.retry_after.empty());
    CHECK(bench.first.calls == 0);
    bench.context.restart();
    bench.context.run_for(std::chrono::milliseconds(200));
    bench.call("k1");
    CHECK(bench.status == 200);
}
