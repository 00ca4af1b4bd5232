/** \file
 * Tests that calls go where the soonest first event is predicted from the calls of all nodes.
 */
#include <doctest/doctest.h>

#include "routing/demand_meter.h"
#include "routing/replica_board.h"
#include "routing/replica_pace.h"

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

replica_board board_of(std::uint64_t replicas)
{
    replica_board board(seeded_random(1));
    board.set_profile("pool", profile());
    std::vector<serving_replica> all;
    for (std::uint64_t epoch = 1; epoch <= replicas; ++epoch) {
        all.push_back(replica(epoch));
    }
    board.set_serving(all);
    return board;
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

TEST_CASE("peers' calls fill a replica as own calls do")
{
    replica_board board = board_of(2);
    board.note_peer("a", {{1, {3, 0, 0ms}}}, start);
    board.note_peer("b", {{1, {1, 0, 0ms}}}, start);
    for (int i = 0; i < 20; ++i) {
        CHECK(board.choose(request(), 1, start).offer->replica.epoch == 2);
    }
    board.note_peer("b", {{1, {1, 0, 0ms}}, {2, {4, 0, 0ms}}}, start);
    const board_answer full = board.choose(request(), 1, start);
    CHECK(full.serving == 2);
    CHECK(full.full == 2);
    CHECK_FALSE(full.offer.has_value());
}

TEST_CASE("a silent peer's counts are forgotten")
{
    replica_board board = board_of(1);
    board.note_peer("a", {{1, {4, 0, 0ms}}}, start);
    CHECK_FALSE(board.choose(request(), 1, start).offer.has_value());
    CHECK(board.choose(request(), 1, start + 2100ms).offer.has_value());
}

TEST_CASE("prompts that wait to be read count more than calls that write")
{
    replica_board board = board_of(2);
    board.note_peer("a", {{1, {1, 8000, 0ms}}, {2, {3, 0, 0ms}}}, start);
    for (int i = 0; i < 20; ++i) {
        CHECK(board.choose(request(), 1, start).offer->replica.epoch == 2);
    }
}

TEST_CASE("calls that are late anyway leave places to those that can be in time")
{
    replica_board board = board_of(1);
    board.note_peer("a", {{1, {3, 0, 0ms}}}, start);
    CHECK_FALSE(board.choose(request(), 0.75, start).offer.has_value());
    CHECK(board.choose(request(), 1, start).offer.has_value());
}

TEST_CASE("a replica is as silent as the node that heard from it last says")
{
    replica_board board = board_of(1);
    board.note_peer("a", {{1, {1, 0, 900ms}}}, start);
    board.note_peer("b", {{1, {1, 0, 100ms}}}, start);
    CHECK(board.all_uses(start).at(1).silent == 100ms);
    CHECK(board.all_uses(start + 200ms).at(1).silent == 300ms);
}

TEST_CASE("a replica that stands still for all nodes gets no more calls")
{
    replica_board board = board_of(2);
    board.note_peer("a", {{1, {1, 0, 500ms}}, {2, {3, 0, 20ms}}}, start);
    for (int i = 0; i < 20; ++i) {
        CHECK(board.choose(request(), 1, start).offer->replica.epoch == 2);
    }
}

TEST_CASE("a head that turns calls away although it has room is tried ever more seldom")
{
    replica_board board = board_of(1);
    time_point now = start;
    const auto refused_for = [&] {
        const auto offer = board.choose(request(), 1, now).offer;
        REQUIRE(offer.has_value());
        board.note_refusal(*offer, now);
        duration out{};
        while (!board.choose(request(), 1, now + out).offer) {
            out += 50ms;
        }
        now += out;
        return out;
    };
    CHECK(refused_for() == 250ms);
    CHECK(refused_for() == 500ms);
    CHECK(board.own_uses(now - 1ms).at(1).refuses); // Other nodes hear of it.
    CHECK(refused_for() == 1s);
    for (int i = 0; i < 9; ++i) {
        CHECK(refused_for() <= 4s);
    }
    board.note_first_event(*board.choose(request(), 1, now).offer, 100ms);
    CHECK(refused_for() == 250ms);
}

TEST_CASE("a refusal that other calls explain says only that the counts are old")
{
    replica_board board = board_of(1);
    for (int i = 0; i < 5; ++i) {
        const time_point now = start + i * 300ms;
        board.note_peer("a", {{1, {3, 0, 0ms}}}, now);
        board.note_refusal(*board.choose(request(), 1, now).offer, now);
        CHECK(board.choose(request(), 1, now + 250ms).offer.has_value());
        CHECK(board.own_uses(now).empty());
    }
}

TEST_CASE("a head that turned another node away is left out for a while")
{
    replica_board board = board_of(2);
    board.note_peer("a", {{1, {0, 0, 0ms, true}}, {2, {3, 0, 0ms}}}, start);
    for (int i = 0; i < 20; ++i) {
        CHECK(board.choose(request(), 1, start + 400ms).offer->replica.epoch == 2);
    }
    CHECK(board.choose(request(), 1, start + 600ms).offer->replica.epoch == 1);
}

TEST_CASE("calls stay in the failure domain whose counts are fresh, unless others are far better")
{
    replica_board board(seeded_random(1));
    board.set_profile("pool", profile());
    serving_replica near = replica(1);
    near.failure_domain = "a";
    serving_replica far = replica(2);
    far.failure_domain = "b";
    board.set_serving({near, far});
    board.prefer_domain("a");
    board.note_peer("p", {{1, {1, 0, 0ms}}}, start);
    for (int i = 0; i < 20; ++i) {
        CHECK(board.choose(request(), 1, start).offer->replica.epoch == 1);
    }
    board.note_peer("p", {{1, {1, 9000, 0ms}}}, start);
    CHECK(board.choose(request(), 1, start).offer->replica.epoch == 2);
    board.note_peer("p", {{1, {4, 0, 0ms}}}, start);
    CHECK(board.choose(request(), 1, start).offer->replica.epoch == 2);
    // A quarter of the places elsewhere stays for the nodes that know them.
    board.note_peer("p", {{1, {4, 0, 0ms}}, {2, {3, 0, 0ms}}}, start);
    CHECK_FALSE(board.choose(request(), 1, start).offer.has_value());
}

TEST_CASE("calls of a node that is gone have ended, also where it spoke seldom")
{
    replica_board board = board_of(1);
    board.note_peer("a", {{1, {4, 0, 0ms}}}, start, true);
    CHECK_FALSE(board.choose(request(), 1, start + 4s).offer.has_value());
    board.retain_peers({"b"});
    CHECK(board.choose(request(), 1, start + 4s).offer.has_value());
}

TEST_CASE("own calls count until they end")
{
    replica_board board = board_of(1);
    {
        replica_board::call call(board, 1, 400, start);
        CHECK(board.own_uses(start).at(1).prompt_tokens == 400);
        call.note_event(start + 50ms);
        CHECK(board.own_uses(start + 80ms).at(1) == replica_use{1, 0, 30ms});
    }
    CHECK(board.own_uses(start).empty());
}

TEST_CASE("a full batch takes longer for each step and less for each token")
{
    const engine_profile engine = profile();
    const replica_pace pace(engine, engine.models[0]);
    CHECK(pace.step(4) > pace.step(1));
    CHECK(pace.step(4) / 4 < pace.step(1));
    CHECK(pace.read_prompt(400) == 10ms);
    CHECK(pace.first_event(0, 4000, 400) > pace.first_event(0, 0, 400));
}

TEST_CASE("demand follows a burst and forgets it")
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
