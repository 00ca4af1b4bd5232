/** \file
 * Tests calls through a node over sockets: a stream that fails over to another replica, and the
 * answer to a call that can't be served.
 */
#include "support/relay_fixture.h"

using namespace chervildyke;
using test::event;
using test::relay_fixture;

TEST_CASE("a stream that breaks within an event resumes elsewhere without gap or repeated event")
{
    relay_fixture fixture(retry_rule::resumable);
    fixture.call("k1");
    CHECK(fixture.status == 200);
    CHECK(fixture.body == event(1) + event(2) + event(3) + event(4) + event(5));
    CHECK(fixture.is_complete);
    CHECK(fixture.seal == "first"); // The caller keeps the head of the first answer.
    CHECK(fixture.second.calls == 1);
}

TEST_CASE("no failover from a slow head that answers other calls, although another has a free slot")
{
    relay_fixture fixture(retry_rule::resumable);
    fixture.first.last_whole_event = 99;
    fixture.first.delay = 900ms;
    fixture.second.delay = 900ms;
    fixture.report_first_replica_active();
    fixture.join_second_after(100ms);
    fixture.call("k1");
    CHECK(fixture.is_complete);
    CHECK(fixture.first.calls == 1);
    CHECK(fixture.second.calls == 0);
}

TEST_CASE("failover from a head that has stalled for all nodes to one with a free slot")
{
    relay_fixture fixture(retry_rule::resumable);
    fixture.first.delay = 4s;
    fixture.join_second_after(100ms);
    fixture.call("k1");
    CHECK(fixture.is_complete);
    CHECK(fixture.seal == "second");
}

TEST_CASE("a stream that may run only once is aborted and does not look complete")
{
    relay_fixture fixture(retry_rule::never);
    fixture.call("k1");
    CHECK(fixture.body == event(1) + event(2));
    CHECK_FALSE(fixture.is_complete);
    CHECK(fixture.second.calls == 0);
}

TEST_CASE("calls are counted and timed by route, team and outcome")
{
    relay_fixture fixture(retry_rule::resumable);
    fixture.call("k1");
    fixture.context.restart();
    fixture.context.run_for(50ms); // The call's task ends after its caller has the answer.
    const std::string text = fixture.node.metrics->to_text();
    for (const char* line : {"chervil_calls_total{route=\"r\",outcome=\"complete\"} 1",
                             "chervil_team_calls_total{team=\"counter\",outcome=\"complete\"} 1",
                             "chervil_first_event_seconds_count{route=\"r\"} 1",
                             "chervil_call_seconds_count{route=\"r\"} 1",
                             "chervil_team_call_seconds_count{team=\"counter\"} 1"}) {
        CAPTURE(line);
        CHECK(text.find(line) != std::string::npos);
    }
}

TEST_CASE("an unknown key gets 401; with an old configuration every key gets 503")
{
    relay_fixture fresh(retry_rule::resumable);
    fresh.call("k9");
    CHECK(fresh.status == 401);
    relay_fixture stale(retry_rule::resumable);
    stale.configuration_age = 6s;
    stale.call("k1");
    CHECK(stale.status == 503);
    CHECK_FALSE(stale.retry_after.empty());
    CHECK(stale.first.calls == 0);
}

TEST_CASE("no replica: the call is refused at once, with a Retry-After")
{
    relay_fixture fixture(retry_rule::resumable);
    fixture.serve_at({});
    const time_point begin = monotonic_clock::now();
    fixture.call("k1");
    CHECK(fixture.status == 503);
    CHECK_FALSE(fixture.retry_after.empty());
    CHECK(monotonic_clock::now() - begin < 1s);
}
