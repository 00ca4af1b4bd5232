/** \file
 * Tests that what servers say of themselves binds the node that heard it.
 */
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "routing/backend_notices.h"
#include "routing/replica_board.h"

using namespace chervildyke;

namespace {

constexpr time_point start{100s};
const backend_life first_life{"i-1", 1000};
const backend_life second_life{"i-1", 2000};

backend_notice leaves()
{
    return {true, std::nullopt};
}

backend_notice pauses(duration pause)
{
    return {false, pause};
}

} // namespace

TEST_CASE("a server that has said nothing may be called")
{
    CHECK(backend_notices().may_call(first_life, start));
}

TEST_CASE("a server that leaves gets no call more in this life, whatever it says later")
{
    backend_notices notices;
    notices.note(first_life, leaves(), start);
    CHECK_FALSE(notices.may_call(first_life, start));
    notices.note(first_life, {}, start + 1s);
    notices.note(first_life, pauses(10ms), start + 2s);
    CHECK_FALSE(notices.may_call(first_life, start + 3600s));
}

TEST_CASE("a new life of a server that left may be called")
{
    backend_notices notices;
    notices.note(first_life, leaves(), start);
    CHECK(notices.may_call(second_life, start));
    SUBCASE("and an answer of the old life that comes late changes nothing")
    {
        notices.note(second_life, pauses(1s), start);
        notices.note(first_life, leaves(), start);
        CHECK(notices.may_call(second_life, start + 1s));
    }
}

TEST_CASE("a pause holds to its end, and a shorter one later does not cut it")
{
    backend_notices notices;
    notices.note(first_life, pauses(2s), start);
    notices.note(first_life, pauses(100ms), start + 500ms);
    CHECK_FALSE(notices.may_call(first_life, start + 1999ms));
    CHECK(notices.may_call(first_life, start + 2s));
}

TEST_CASE("no pause keeps a server out of use for good")
{
    notice_settings settings;
    backend_notices notices(settings);
    notices.note(first_life, pauses(24h * 365), start);
    CHECK_FALSE(notices.may_call(first_life, start + settings.longest_pause - 1ms));
    CHECK(notices.may_call(first_life, start + settings.longest_pause));
}

TEST_CASE("memory is bounded while servers come and go; those that spoke last are kept")
{
    notice_settings settings;
    settings.max_servers = 3;
    backend_notices notices(settings);
    for (int i = 0; i < 10; ++i) {
        notices.note({"i-" + std::to_string(i), 1}, leaves(), start + i * 1ms);
    }
    CHECK(notices.size() == 3);
    CHECK_FALSE(notices.may_call({"i-9", 1}, start));
    CHECK(notices.may_call({"i-0", 1}, start));
}

TEST_CASE("each change of belief is told once")
{
    backend_notices notices;
    int told = 0;
    notices.on_change = [&told](const backend_life&, const backend_standing&) { ++told; };
    notices.note(first_life, leaves(), start);
    notices.note(first_life, leaves(), start + 1ms);
    notices.note(first_life, {}, start + 2ms);
    CHECK(told == 1);
    notices.note(first_life, pauses(1s), start + 3ms);
    CHECK(told == 2);
}

TEST_CASE("all replicas of a model pause at once: none is offered, and the soonest end is told")
{
    engine_profile profile;
    profile.batch_slots = 4;
    model_profile model;
    model.name = "m";
    profile.models = {model};
    replica_board board(seeded_random(1));
    board.set_profile("s", profile);
    std::vector<serving_replica> replicas(2);
    backend_notices notices;
    for (const std::uint64_t epoch : {1U, 2U}) {
        serving_replica& replica = replicas[epoch - 1];
        replica.epoch = epoch;
        replica.service = "s";
        replica.model = "m";
        replica.head_id = "i-" + std::to_string(epoch);
        notices.note({replica.head_id, 0}, pauses(epoch * 1s), start);
    }
    board.set_serving(replicas);
    board.head_standing = [&](const serving_replica& replica, time_point now) {
        return notices.standing(head_life(replica), now);
    };
    replica_request request;
    request.service = "s";
    request.model = "m";
    const board_answer none = board.choose(request, 1, start);
    CHECK_FALSE(none.offer);
    CHECK(none.serving == 0);
    CHECK(none.paused_until == start + 1s);
    const board_answer one = board.choose(request, 1, start + 1s);
    REQUIRE(one.offer);
    CHECK(one.offer->replica.epoch == 1);
    notices.note({"i-1", 0}, leaves(), start + 1s);
    CHECK_FALSE(board.choose(request, 1, start + 1s).offer);
}
