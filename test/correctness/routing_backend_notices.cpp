/** \file
 * Tests that a node obeys the drain and pause notices of backend servers.
 */
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "routing/backend_notices.h"
#include "routing/replica_balancer.h"

using namespace chervildyke;

namespace {

constexpr time_point start{100s};
const backend_incarnation first_incarnation{"i-1", 1000};
const backend_incarnation second_incarnation{"i-1", 2000};

backend_notice leaves()
{
    return {true, std::nullopt};
}

backend_notice pauses(duration pause)
{
    return {false, pause};
}

} // namespace

TEST_CASE("a server without notices may be called")
{
    CHECK(backend_notices().may_call(first_incarnation, start));
}

TEST_CASE("a leaving server gets no more calls in the same incarnation, whatever its later notices")
{
    backend_notices notices;
    notices.note(first_incarnation, leaves(), start);
    CHECK_FALSE(notices.may_call(first_incarnation, start));
    notices.note(first_incarnation, {}, start + 1s);
    notices.note(first_incarnation, pauses(10ms), start + 2s);
    CHECK_FALSE(notices.may_call(first_incarnation, start + 3600s));
}

TEST_CASE("a new incarnation of a server that left may be called")
{
    backend_notices notices;
    notices.note(first_incarnation, leaves(), start);
    CHECK(notices.may_call(second_incarnation, start));
    SUBCASE("and a late answer of the old incarnation changes nothing")
    {
        notices.note(second_incarnation, pauses(1s), start);
        notices.note(first_incarnation, leaves(), start);
        CHECK(notices.may_call(second_incarnation, start + 1s));
    }
}

TEST_CASE("a pause lasts until its end, and a later shorter one does not end it earlier")
{
    backend_notices notices;
    notices.note(first_incarnation, pauses(2s), start);
    notices.note(first_incarnation, pauses(100ms), start + 500ms);
    CHECK_FALSE(notices.may_call(first_incarnation, start + 1999ms));
    CHECK(notices.may_call(first_incarnation, start + 2s));
}

// Guards against calls at a server within the time for which it wants none.
TEST_CASE("a pause of minutes is kept")
{
    backend_notices notices;
    notices.note(first_incarnation, pauses(10min), start);
    CHECK_FALSE(notices.may_call(first_incarnation, start + 10min - 1ms));
    CHECK(notices.may_call(first_incarnation, start + 10min));
}

TEST_CASE("a pause is cut to the maximum")
{
    notice_settings settings;
    backend_notices notices(settings);
    notices.note(first_incarnation, pauses(24h * 365), start);
    CHECK_FALSE(notices.may_call(first_incarnation, start + settings.max_pause - 1ms));
    CHECK(notices.may_call(first_incarnation, start + settings.max_pause));
}

TEST_CASE("the number of servers is bounded; those with the newest notices are kept")
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

TEST_CASE("on_change is called once for each change of availability")
{
    backend_notices notices;
    int changes = 0;
    notices.on_change = [&changes](const backend_incarnation&, const backend_availability&) {
        ++changes;
    };
    notices.note(first_incarnation, leaves(), start);
    notices.note(first_incarnation, leaves(), start + 1ms);
    notices.note(first_incarnation, {}, start + 2ms);
    CHECK(changes == 1);
    notices.note(first_incarnation, pauses(1s), start + 3ms);
    CHECK(changes == 2);
}

TEST_CASE(
    "if all replicas of a model are paused, none is selected and the earliest end is returned")
{
    engine_profile profile;
    profile.batch_slots = 4;
    model_profile model;
    model.name = "m";
    profile.models = {model};
    replica_balancer balancer(seeded_random(1));
    balancer.set_profile("s", profile);
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
    balancer.set_serving(replicas);
    balancer.head_availability = [&](const serving_replica& replica, time_point now) {
        return notices.availability(head_incarnation(replica), now);
    };
    replica_request request;
    request.service = "s";
    request.model = "m";
    const replica_selection none = balancer.choose(request, 1, start);
    CHECK_FALSE(none.selected);
    CHECK(none.serving == 0);
    CHECK(none.paused_until == start + 1s);
    const replica_selection one = balancer.choose(request, 1, start + 1s);
    REQUIRE(one.selected);
    CHECK(one.selected->replica.epoch == 1);
    notices.note({"i-1", 0}, leaves(), start + 1s);
    CHECK_FALSE(balancer.choose(request, 1, start + 1s).selected);
}
