/** \file
 * Tests which replicas get calls, which are ejected, and which calls are retried.
 */
#include <doctest/doctest.h>

#include <map>

#include "routing/replica_router.h"
#include "routing/retry_policy.h"

using namespace chervildyke;

namespace {

const time_point start{1h};

schema::routing_view view_with(int replicas, std::uint32_t age_ms = 0)
{
    schema::routing_view view;
    for (int i = 1; i <= replicas; ++i) {
        schema::replica_view& replica = *view.add_replicas();
        replica.set_replica_id(static_cast<std::uint64_t>(i));
        replica.set_team("desk");
        replica.set_serving(true);
        replica.set_batch_limit(16);
        replica.set_oldest_report_age_ms(age_ms);
        replica.add_members()->set_failure_domain("gent-a");
    }
    return view;
}

std::shared_ptr<const schema::routing_view> shared(schema::routing_view view)
{
    return std::make_shared<const schema::routing_view>(std::move(view));
}

replica_router router_with(schema::routing_view view)
{
    replica_router router("gent-a", 3s, seeded_random(1));
    router.use_view(shared(std::move(view)), start);
    return router;
}

routing_request make_request(std::vector<std::uint64_t> prefixes = {})
{
    routing_request request;
    request.team = "desk";
    request.prefixes = std::move(prefixes);
    return request;
}

} // namespace

TEST_CASE("a replica gets calls only while its reports or own health checks are fresh")
{
    replica_router router = router_with(view_with(1, 1000));
    CHECK(router.usable(1, start + 2s));
    CHECK(!router.usable(1, start + 2001ms));
    CHECK(!router.choose(make_request(), start + 10s));
    CHECK(router.capacity("desk", start + 10s) == 0);
    router.note_healthy(1, start + 9s);
    CHECK(router.choose(make_request(), start + 10s));
    CHECK(!router.choose(make_request(), start + 13s));
    router.note_healthy(1, start + 13s);
    router.note_unhealthy(1);
    CHECK(!router.choose(make_request(), start + 13s));
}

TEST_CASE("a replica that does not serve in the view is never chosen, even if own checks pass")
{
    schema::routing_view view = view_with(1);
    view.mutable_replicas(0)->set_serving(false);
    replica_router router = router_with(view);
    router.note_healthy(1, start);
    CHECK(!router.choose(make_request(), start));
}

TEST_CASE(
    "calls with a prefix go to the replica that holds it until that has much more load than others")
{
    replica_router router = router_with(view_with(4));
    const std::vector<std::uint64_t> prefix{11, 12, 13};
    const auto first = router.choose(make_request(prefix), start);
    REQUIRE(first);
    router.sent(first->replica, prefix);
    CHECK(router.choose(make_request(prefix), start)->replica == first->replica);
    std::map<std::uint64_t, int> sent_to;
    for (int i = 0; i < 24; ++i) {
        const auto next = router.choose(make_request(prefix), start);
        REQUIRE(next);
        router.sent(next->replica, prefix);
        ++sent_to[next->replica];
    }
    CHECK(sent_to.size() > 1);
    CHECK(sent_to[first->replica] < 12);
}

TEST_CASE("calls with an adapter go only to replicas that have it loaded")
{
    schema::routing_view view = view_with(3);
    view.mutable_replicas(1)->add_loaded_adapters("ogee");
    replica_router router = router_with(view);
    routing_request request = make_request();
    request.adapter = "ogee";
    for (int i = 0; i < 20; ++i) {
        CHECK(router.choose(request, start)->replica == 2);
    }
    request.adapter = "scotia";
    CHECK(!router.choose(request, start));
    CHECK(!router.has_adapter("desk", "scotia", start));
}

TEST_CASE("a replica much slower than its peers is ejected and returns with a slow start")
{
    outlier_detector detector;
    const std::vector<std::uint64_t> peers{1, 2, 3, 4};
    const auto measure = [&] {
        for (int i = 0; i < 10; ++i) {
            for (const std::uint64_t peer : peers) {
                detector.note_token(peer, peer == 3 ? 90ms : 30ms);
            }
        }
    };
    measure();
    auto ejections = detector.evaluate(peers, start);
    CHECK(ejections[2].ejected);
    CHECK(!ejections[0].ejected);
    ejections = detector.evaluate(peers, start + 6s);
    CHECK(!ejections[2].ejected);
    CHECK(ejections[2].weight < 0.3);
    CHECK(detector.evaluate(peers, start + 20s)[2].weight == doctest::Approx(1.0));
    measure();
    detector.evaluate(peers, start + 21s);
    CHECK(detector.evaluate(peers, start + 27s)[2].ejected); // The second ejection is longer.
}

TEST_CASE("at most a third of a team's replicas are ejected for being slow")
{
    outlier_detector detector;
    const std::vector<std::uint64_t> peers{1, 2, 3, 4, 5, 6};
    for (int i = 0; i < 10; ++i) {
        for (const std::uint64_t peer : peers) {
            detector.note_token(peer, peer > 3 ? 100ms : 10ms);
        }
    }
    int ejected = 0;
    for (const ejection_state& ejection : detector.evaluate(peers, start)) {
        ejected += ejection.ejected ? 1 : 0;
    }
    CHECK(ejected == 2);
}

TEST_CASE("the concurrency limit shrinks when first tokens are late and grows again")
{
    concurrency_limit limit;
    time_point now = start;
    for (int i = 0; i < 50; ++i) {
        limit.note(100ms, 8, now += 100ms);
    }
    const std::uint32_t grown = limit.limit();
    CHECK(grown > 8);
    for (int i = 0; i < 20; ++i) {
        limit.note(2s, 30, now += 100ms);
    }
    CHECK(limit.limit() < grown / 2);
    CHECK(limit.limit() >= 1);
    for (int i = 0; i < 300; ++i) {
        limit.note(100ms, 30, now += 10ms);
    }
    CHECK(limit.limit() > 8);
}

TEST_CASE("a call is retried only if that is safe, in time and within the budget")
{
    failed_attempt attempt;
    attempt.time_left = 1s;
    attempt.expected_time = 100ms;
    attempt.idempotent = false;
    CHECK(may_retry(attempt));
    attempt.failure = attempt_failure::may_have_run;
    CHECK(!may_retry(attempt));
    attempt.idempotent = true;
    CHECK(may_retry(attempt));
    attempt.time_left = 50ms;
    CHECK(!may_retry(attempt));
    attempt.time_left = 1s;
    attempt.attempts = max_attempts;
    CHECK(!may_retry(attempt));

    retry_budget budget(0.2, 10.0);
    int allowed = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.note_call();
        allowed += budget.take() ? 1 : 0;
    }
    CHECK(allowed >= 200);
    CHECK(allowed <= 211);
}

TEST_CASE("lowering the cap of a shared budget limits what a node has saved up")
{
    retry_budget budget(0.2, 10, 10);
    budget.set_cap(2); // As when more nodes share the budget.
    int taken = 0;
    while (budget.take()) {
        ++taken;
    }
    CHECK(taken == 2);
    for (int i = 0; i < 100; ++i) {
        budget.note_call();
    }
    CHECK(budget.left() == doctest::Approx(2));
}
