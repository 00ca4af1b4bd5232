/** \file
 * Tests calls through a node over sockets: a stream that goes on at another replica, and what
 * callers are told when a call can't be served.
 */
#include "support/relay_bench.h"

using namespace chervildyke;
using test::event;
using test::relay_bench;

TEST_CASE("a stream that breaks within an event goes on elsewhere without gap or repeat")
{
    relay_bench bench(retry_rule::resumable);
    bench.call("k1");
    CHECK(bench.status == 200);
    CHECK(bench.body == event(1) + event(2) + event(3) + event(4) + event(5));
    CHECK(bench.whole);
    CHECK(bench.seal == "first"); // The caller keeps the head of the first answer.
    CHECK(bench.second.calls == 1);
}

TEST_CASE("a slow head that answers other calls is waited for beside a free place")
{
    relay_bench bench(retry_rule::resumable);
    bench.first.breaks = 99;
    bench.first.delay = 900ms;
    bench.second.delay = 900ms;
    bench.keep_first_heard();
    bench.join_second_after(100ms);
    bench.call("k1");
    CHECK(bench.whole);
    CHECK(bench.first.calls == 1);
    CHECK(bench.second.calls == 0);
}

TEST_CASE("a head that stands still for all nodes is left for a free place")
{
    relay_bench bench(retry_rule::resumable);
    bench.first.delay = 4s;
    bench.join_second_after(100ms);
    bench.call("k1");
    CHECK(bench.whole);
    CHECK(bench.seal == "second");
}

TEST_CASE("a stream that may run only once is broken off and does not look complete")
{
    relay_bench bench(retry_rule::never);
    bench.call("k1");
    CHECK(bench.body == event(1) + event(2));
    CHECK_FALSE(bench.whole);
    CHECK(bench.second.calls == 0);
}

TEST_CASE("calls are counted and timed by route, team and outcome")
{
    relay_bench bench(retry_rule::resumable);
    bench.call("k1");
    bench.context.restart();
    bench.context.run_for(50ms); // The call's task ends after its caller has the answer.
    const std::string text = bench.node.metrics->to_text();
    for (const char* line : {"chervil_calls_total{route=\"r\",outcome=\"complete\"} 1",
                             "chervil_team_calls_total{team=\"counter\",outcome=\"complete\"} 1",
                             "chervil_first_event_seconds_count{route=\"r\"} 1",
                             "chervil_call_seconds_count{route=\"r\"} 1",
                             "chervil_team_call_seconds_count{team=\"counter\"} 1"}) {
        CAPTURE(line);
        CHECK(text.find(line) != std::string::npos);
    }
}

TEST_CASE("an unknown key is refused; with an old configuration nobody can say that it is unknown")
{
    relay_bench fresh(retry_rule::resumable);
    fresh.call("k9");
    CHECK(fresh.status == 401);
    relay_bench stale(retry_rule::resumable);
    stale.age = 6s;
    stale.call("k1");
    CHECK(stale.status == 503);
    CHECK_FALSE(stale.retry_after.empty());
    CHECK(stale.first.calls == 0);
}

TEST_CASE("no replica: the call is refused at once, and its caller told when to come back")
{
    relay_bench bench(retry_rule::resumable);
    bench.serve_at({});
    const time_point begin = monotonic_clock::now();
    bench.call("k1");
    CHECK(bench.status == 503);
    CHECK_FALSE(bench.retry_after.empty());
    CHECK(monotonic_clock::now() - begin < 1s);
}
