/** \file
 * Tests that calls whose callers have disconnected are given up, and that a node whose event loop
 * lags forwards none of them. Without that, callers that time out after a second and retry overload
 * nodes that lack processor time.
 */
#include <thread>

#include "support/relay_fixture.h"

using namespace chervildyke;
using test::relay_fixture;
namespace asio = boost::asio;

namespace {

asio::ip::tcp::socket send_call(const relay_fixture& fixture, asio::io_context& caller)
{
    asio::ip::tcp::socket socket(caller);
    socket.connect({asio::ip::make_address("127.0.0.1"), fixture.front.port()});
    const std::string request = "POST /a/x HTTP/1.1\r\nHost: desk.example\r\n"
                                "X-Attempt-Id: left\r\nAuthorization: Token k1\r\nX-Model: m\r\n"
                                "X-Token-Usage: 100,20\r\nContent-Length: 0\r\n\r\n";
    asio::write(socket, asio::buffer(request));
    return socket;
}

/** Sends a call and closes the connection while the node's event loop does not run. */
void send_and_leave(const relay_fixture& fixture)
{
    asio::io_context caller;
    send_call(fixture, caller);
}

} // namespace

TEST_CASE("a call whose caller disconnected before it was read is not forwarded")
{
    relay_fixture fixture(retry_rule::resumable);
    fixture.first.last_whole_event = 99;
    // Leaves an idle connection to the head, on which a request would be sent at once.
    fixture.call("k1");
    REQUIRE(fixture.first.calls == 1);
    fixture.serve_at({&fixture.first});
    send_and_leave(fixture);
    fixture.context.restart();
    fixture.context.run_for(std::chrono::milliseconds(200));
    CHECK(fixture.first.calls == 1);
}

// Guards against replicas that work on for callers that have left (GONE). A caller that shuts down
// only its sending side looks the same until something is written to it.
TEST_CASE("a call ends within half a second once its caller has closed or stopped sending")
{
    relay_fixture fixture(retry_rule::resumable);
    fixture.first.delay = 3s;
    asio::io_context callers;
    asio::ip::tcp::socket caller = send_call(fixture, callers);
    fixture.context.run_for(100ms);
    REQUIRE(fixture.first.calls == 1);
    REQUIRE(fixture.front.requests_in_progress() == 1);
    SUBCASE("it closes its connection")
    {
        caller.close();
    }
    SUBCASE("it resets its connection")
    {
        caller.set_option(asio::socket_base::linger(true, 0));
        caller.close();
    }
    SUBCASE("it shuts down its sending side")
    {
        caller.shutdown(asio::ip::tcp::socket::shutdown_send);
    }
    fixture.context.restart();
    fixture.context.run_for(500ms);
    CHECK(fixture.front.requests_in_progress() == 0);
}

TEST_CASE("a node whose event loop lags refuses calls at once with a Retry-After")
{
    relay_fixture fixture(retry_rule::resumable);
    asio::co_spawn(fixture.context, fixture.node.lag.measure(), asio::detached);
    fixture.context.run_for(std::chrono::milliseconds(20));
    // The event loop does not run meanwhile.
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    fixture.context.restart();
    fixture.call("k1");
    CHECK(fixture.status == 503);
    CHECK_FALSE(fixture.retry_after.empty());
    CHECK(fixture.first.calls == 0);
    fixture.context.restart();
    fixture.context.run_for(std::chrono::milliseconds(200));
    fixture.call("k1");
    CHECK(fixture.status == 200);
}
