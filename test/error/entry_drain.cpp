/** \file
 * Tests that an entry which is stopped answers the requests of the connections that it has
 * accepted.
 */
#include <optional>

#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "support/scripted_engine.h"

using namespace chervildyke;
using namespace chervildyke::testing;
using asio::ip::tcp;

namespace {

constexpr duration notice_period = 500ms;      // The drain stops accepting after it.
constexpr duration time_to_request = 100ms;    // From the connection to its first request.
constexpr duration first_request_wait = 300ms; // For which the server waits for it.

} // namespace

// Guards against a request that is cut off on a connection accepted when the entry stops accepting.
TEST_CASE("a drain waits for the first request of a connection that was just accepted")
{
    asio::io_context context;
    asio::io_context caller_context;
    manual_clock clock(context);
    entry_under_test entry(context);
    REQUIRE(entry.start(view_of({})));
    tcp::socket caller(caller_context);
    // Both timers expire at one poll, so the connection is in the backlog when accepting stops.
    bool connected = false;
    const auto connect = [&]() -> asio::awaitable<void> {
        co_await sleep_for(notice_period);
        caller.connect({asio::ip::make_address("127.0.0.1"), entry.node->port()});
        connected = true;
    };
    std::optional<bool> drained;
    asio::co_spawn(context, connect(), asio::detached);
    asio::co_spawn(context, entry.node->drain(),
                   [&](const std::exception_ptr&, bool all) { drained = all; });
    clock.advance(notice_period);
    REQUIRE(connected);
    clock.advance(time_to_request);
    REQUIRE(entry.node->port() == 0); // It accepts no more.
    CHECK_FALSE(drained);
    const std::string request = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
    asio::write(caller, asio::buffer(request));
    clock.advance(first_request_wait);
    std::string answer;
    boost::system::error_code error;
    asio::read(caller, asio::dynamic_buffer(answer), error);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(drained == true);
}
