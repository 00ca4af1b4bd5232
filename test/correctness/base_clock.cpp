/** \file
 * Tests that timers follow the manual clock, at their exact times.
 */
#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

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

// Guards against timers that expire after the next step, by the time of the kernel's timer
// interrupt.
TEST_CASE("each timer expires at its exact time of the manual clock")
{
    boost::asio::io_context context;
    manual_clock clock(context);
    constexpr int round_count = 100'000;
    int rounds = 0;
    int late = 0;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
            for (; rounds < round_count; ++rounds) {
                const time_point due = monotonic_clock::now() + 1ms;
                co_await sleep_for(1ms);
                late += monotonic_clock::now() != due ? 1 : 0;
            }
        },
        boost::asio::detached);
    clock.advance(round_count * 1ms);
    CHECK(rounds == round_count);
    CHECK(late == 0);
}

TEST_CASE(
    "a wait of zero takes no time of the manual clock and ends after the ready tasks have run")
{
    boost::asio::io_context context;
    manual_clock clock(context);
    constexpr int round_count = 10'000;
    int rounds = 0;
    int out_of_order = 0;
    bool other_ran = false;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
            for (; rounds < round_count; ++rounds) {
                other_ran = false;
                boost::asio::post(context, [&] { other_ran = true; });
                co_await sleep_for(duration::zero());
                out_of_order += other_ran ? 0 : 1;
            }
        },
        boost::asio::detached);
    clock.advance(1ms);
    CHECK(rounds == round_count);
    CHECK(out_of_order == 0);
}
