/** \file
 * Tests the times of a planned stop, and which calls a node takes meanwhile.
 */
#include <doctest/doctest.h>

#include "relay/stop_grace.h"

using namespace chervildyke;

namespace {

constexpr time_point begin{1h};

} // namespace

TEST_CASE("before a stop every call is taken")
{
    const stop_grace stopping;
    CHECK(stopping.takes(begin, begin + 1h, retry_rule::never));
    CHECK(stopping.may_send(begin + 1h, retry_rule::never));
    CHECK(stopping.calls_end() == time_point::max());
}

// Guards against accepting calls when the process is killed.
TEST_CASE("the times of a stop follow each other within the grace time")
{
    for (const duration grace : {0ms, 1ms, 200ms, 500ms, 1500ms, 4000ms, 8000ms, 60000ms}) {
        CAPTURE(grace.count());
        stop_grace stopping;
        stopping.begin(begin, grace);
        CHECK(begin <= stopping.accepting_end());
        CHECK(stopping.accepting_end() <= stopping.calls_end());
        CHECK(stopping.calls_end() <= stopping.exit_at());
        CHECK(stopping.exit_at() <= begin + grace);
    }
}

// Guards against cutting off a call that may run once.
TEST_CASE("a stopping node takes a call that may run once only if it can wait until its deadline")
{
    stop_grace stopping;
    stopping.begin(begin, 8s);
    const time_point end = stopping.calls_end();
    CHECK(stopping.takes(begin, end, retry_rule::never));
    CHECK_FALSE(stopping.takes(begin, end + 1ns, retry_rule::never));
    CHECK(stopping.may_send(end, retry_rule::never));
    CHECK_FALSE(stopping.may_send(end + 1ns, retry_rule::never));
}

// Guards against taking a call that another node would finish and this one can't.
TEST_CASE("a stopping node takes a call that may run again if it can wait for half of its time")
{
    stop_grace stopping;
    stopping.begin(begin, 8s);
    const time_point end = stopping.calls_end();
    for (const retry_rule retry : {retry_rule::idempotent, retry_rule::resumable}) {
        CHECK(stopping.takes(end - 2s, end, retry));
        CHECK(stopping.takes(end - 2s, end + 2s, retry));
        CHECK_FALSE(stopping.takes(end - 2s, end + 3s, retry));
        CHECK_FALSE(stopping.takes(end, end + 1s, retry));
        CHECK_FALSE(stopping.takes(end + 50ms, end + 1s, retry));
        CHECK(stopping.may_send(end + 1s, retry));
    }
}
