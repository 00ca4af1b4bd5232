/** \file
 * Tests that calls go to the replica with the earliest predicted first event, given the calls of
 * all nodes.
 */
#include <doctest/doctest.h>

#include "routing/demand_meter.h"
#include "routing/replica_balancer.h"
#include "routing/replica_latency_model.h"

using namespace chervildyke;

namespace {

constexpr time_point start{100s};

engine_profile profile()
{
    engine_profile made;
    made.batch_slots = 4;
    made.tokens_per_event = 5;
    made.step_ms = 8;
    made.step_ms_per_call = 0.1;
    made.prompt_tokens_per_ms = 40;
    model_profile model;
    model.name = "m";
    made.models = {model};
    return made;
}

serving_replica replica(std::uint64_t epoch)
{
    serving_replica made;
    made.epoch = epoch;
    made.service = "pool";
    made.model = "m";
    return made;
}

replica_balancer balancer_of(std::uint64_t replicas)
{
    replica_balancer balancer(seeded_random(1));
    balancer.set_profile("pool", profile());
    std::vector<serving_replica> all;
    for (std::uint64_t epoch = 1; epoch <= replicas; ++epoch) {
        all.push_back(replica(epoch));
    }
    balancer.set_serving(all);
    return balancer;
}

replica_request request()
{
    replica_request made;
    made.service = "pool";
    made.model = "m";
    made.prompt_tokens = 400;
    return made;
}

} // namespace

TEST_CASE("calls of peers occupy the slots of a replica")
{
    replica_balancer balancer = balancer_of(2);
    balancer.note_peer_usage("a", {{1, {3, 0, 0ms}}}, start);
    balancer.note_peer_usage("b", {{1, {1, 0, 0ms}}}, start);
    for (int i = 0; i < 20; ++i) {
        CHECK(balancer.choose(request(), 1, start).selected->replica.epoch == 2);
    }
    balancer.note_peer_usage("b", {{1, {1, 0, 0ms}}, {2, {4, 0, 0ms}}}, start);
    const replica_selection full = balancer.choose(request(), 1, start);
    CHECK(full.serving == 2);
    CHECK(full.full == 2);
    CHECK_FALSE(full.selected.has_value());
}

TEST_CASE("the usage of a peer that no longer reports expires")
{
    replica_balancer balancer = balancer_of(1);
    balancer.note_peer_usage("a", {{1, {4, 0, 0ms}}}, start);
    CHECK_FALSE(balancer.choose(request(), 1, start).selected.has_value());
    CHECK(balancer.choose(request(), 1, start + 2100ms).selected.has_value());
}

TEST_CASE("queued prompts count more than calls that generate tokens")
{
    replica_balancer balancer = balancer_of(2);
    balancer.note_peer_usage("a", {{1, {1, 8000, 0ms}}, {2, {3, 0, 0ms}}}, start);
    for (int i = 0; i < 20; ++i) {
        CHECK(balancer.choose(request(), 1, start).selected->replica.epoch == 2);
    }
}

TEST_CASE("a fill limit leaves slots to calls that can still be in time")
{
    replica_balancer balancer = balancer_of(1);
    balancer.note_peer_usage("a", {{1, {3, 0, 0ms}}}, start);
    CHECK_FALSE(balancer.choose(request(), 0.75, start).selected.has_value());
    CHECK(balancer.choose(request(), 1, start).selected.has_value());
}

// Guards against running calls that are aborted because the leader does not see them once the head
// of their replica is missing from the list, so that the replica takes no new calls.
TEST_CASE("the calls that run at a replica count until they end, also when it takes no new ones")
{
    replica_balancer balancer = balancer_of(2);
    balancer.note_peer_usage("peer", {{1, {2, 0, 100ms, false}}}, start, false);
    balancer.set_serving({});
    const auto uses = balancer.total_usage(start);
    REQUIRE(uses.contains(1));
    CHECK(uses.at(1).running == 2);
    CHECK_FALSE(uses.contains(2));
    balancer.note_peer_usage("peer", {}, start, false);
    CHECK(balancer.total_usage(start).empty());
}

TEST_CASE("the silence of a replica is the shortest that any node reports")
{
    replica_balancer balancer = balancer_of(1);
    balancer.note_peer_usage("a", {{1, {1, 0, 900ms}}}, start);
    balancer.note_peer_usage("b", {{1, {1, 0, 100ms}}}, start);
    CHECK(balancer.total_usage(start).at(1).silent == 100ms);
    CHECK(balancer.total_usage(start + 200ms).at(1).silent == 300ms);
}

TEST_CASE("a replica that is stalled for all nodes gets no more calls")
{
    replica_balancer balancer = balancer_of(2);
    balancer.note_peer_usage("a", {{1, {1, 0, 500ms}}, {2, {3, 0, 20ms}}}, start);
    for (int i = 0; i < 20; ++i) {
        CHECK(balancer.choose(request(), 1, start).selected->replica.epoch == 2);
    }
}

TEST_CASE("unexplained refusals of a head double its backoff up to a maximum, until an event")
{
    replica_balancer balancer = balancer_of(1);
    time_point now = start;
    const auto refused_for = [&] {
        const auto selected = balancer.choose(request(), 1, now).selected;
        REQUIRE(selected.has_value());
        balancer.note_refusal(*selected, now);
        duration out{};
        while (!balancer.choose(request(), 1, now + out).selected) {
            out += 50ms;
        }
        now += out;
        return out;
    };
    CHECK(refused_for() == 250ms);
    CHECK(refused_for() == 500ms);
    CHECK(balancer.own_usage(now - 1ms).at(1).refuses); // Reported to other nodes.
    CHECK(refused_for() == 1s);
    for (int i = 0; i < 9; ++i) {
        CHECK(refused_for() <= 4s);
    }
    balancer.note_first_event(*balancer.choose(request(), 1, now).selected, 100ms);
    CHECK(refused_for() == 250ms);
}

TEST_CASE(
    "a refusal at a replica that is nearly full does not double the backoff and is not reported")
{
    replica_balancer balancer = balancer_of(1);
    for (int i = 0; i < 5; ++i) {
        const time_point now = start + i * 300ms;
        balancer.note_peer_usage("a", {{1, {3, 0, 0ms}}}, now);
        balancer.note_refusal(*balancer.choose(request(), 1, now).selected, now);
        CHECK(balancer.choose(request(), 1, now + 250ms).selected.has_value());
        CHECK(balancer.own_usage(now).empty());
    }
}

TEST_CASE("a replica whose head refuses the calls of another node is excluded for a while")
{
    replica_balancer balancer = balancer_of(2);
    balancer.note_peer_usage("a", {{1, {0, 0, 0ms, true}}, {2, {3, 0, 0ms}}}, start);
    for (int i = 0; i < 20; ++i) {
        CHECK(balancer.choose(request(), 1, start + 400ms).selected->replica.epoch == 2);
    }
    CHECK(balancer.choose(request(), 1, start + 600ms).selected->replica.epoch == 1);
}

TEST_CASE("calls stay in the preferred failure domain unless replicas elsewhere are much better")
{
    replica_balancer balancer(seeded_random(1));
    balancer.set_profile("pool", profile());
    serving_replica near = replica(1);
    near.failure_domain = "a";
    serving_replica far = replica(2);
    far.failure_domain = "b";
    balancer.set_serving({near, far});
    balancer.prefer_domain("a");
    balancer.note_peer_usage("p", {{1, {1, 0, 0ms}}}, start);
    for (int i = 0; i < 20; ++i) {
        CHECK(balancer.choose(request(), 1, start).selected->replica.epoch == 1);
    }
    balancer.note_peer_usage("p", {{1, {1, 9000, 0ms}}}, start);
    CHECK(balancer.choose(request(), 1, start).selected->replica.epoch == 2);
    balancer.note_peer_usage("p", {{1, {4, 0, 0ms}}}, start);
    CHECK(balancer.choose(request(), 1, start).selected->replica.epoch == 2);
    // A quarter of the slots in another domain is left to the nodes of that domain.
    balancer.note_peer_usage("p", {{1, {4, 0, 0ms}}, {2, {3, 0, 0ms}}}, start);
    CHECK_FALSE(balancer.choose(request(), 1, start).selected.has_value());
}

TEST_CASE("the usage of a removed peer ends at once, also if it reports rarely")
{
    replica_balancer balancer = balancer_of(1);
    balancer.note_peer_usage("a", {{1, {4, 0, 0ms}}}, start, true);
    CHECK_FALSE(balancer.choose(request(), 1, start + 4s).selected.has_value());
    balancer.retain_peers({"b"});
    CHECK(balancer.choose(request(), 1, start + 4s).selected.has_value());
}

TEST_CASE("calls of this node are counted until they end")
{
    replica_balancer balancer = balancer_of(1);
    {
        replica_balancer::call call(balancer, 1, 400, start);
        CHECK(balancer.own_usage(start).at(1).prompt_tokens == 400);
        call.note_event(start + 50ms);
        CHECK(balancer.own_usage(start + 80ms).at(1) == replica_usage{1, 0, 30ms});
    }
    CHECK(balancer.own_usage(start).empty());
}

TEST_CASE("a full batch takes longer for each step but less time for each token")
{
    const engine_profile engine = profile();
    const replica_latency_model latency(engine, engine.models[0]);
    CHECK(latency.step_time(4) > latency.step_time(1));
    CHECK(latency.step_time(4) / 4 < latency.step_time(1));
    CHECK(latency.prefill_time(400) == 10ms);
    CHECK(latency.time_to_first_event(0, 4000, 400) > latency.time_to_first_event(0, 0, 400));
}

TEST_CASE("measured demand follows a burst and decays after it")
{
    demand_meter meter(2s);
    for (int i = 0; i < 100; ++i) {
        meter.note("m", 10ms, start + i * 100ms);
    }
    const double steady = meter.rates(start + 10s).at("m");
    CHECK(steady > 90);
    CHECK(steady < 110);
    CHECK(meter.rates(start + 20s).at("m") < 1);
}
