/** \file
 * Tests that timers follow the manual clock.
 */
#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/clock.h"

using namespace chervildyke;

TEST_CASE("a timer expires when the manual clock reaches its time, and advancing by hours is fast")
{
    boost::asio::io_context context;
    manual_clock clock(context);
    int rounds = 0;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
            while (rounds < 100) {
                co_await sleep_for(60s);
                ++rounds;
            }
        },
        boost::asio::detached);
    clock.advance(59s);
    CHECK(rounds == 0);
    clock.advance(2s);
    CHECK(rounds == 1);
    clock.advance(2h, 10ms);
    CHECK(rounds == 100);
}
