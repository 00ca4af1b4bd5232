/** \file
 * Tests when a node counts as cut off from a service, and which node carries its requests.
 */
#include <doctest/doctest.h>

#include "detour/carrier_choice.h"
#include "routing/service_reach.h"

using namespace chervildyke;

namespace {

const time_point start = time_point{} + 1h;

/** A node that has found itself cut off from the service. */
service_reach make_cut_off()
{
    service_reach reach;
    reach.note_failure("pool", "i-1", start);
    reach.note_failure("pool", "i-2", start);
    CHECK(reach.begin_check("pool", start) == 4);
    CHECK(reach.end_check("pool", 4, 0, start + 250ms));
    return reach;
}

carrier_candidate candidate(const std::string& name, bool same_domain, bool can_carry,
                            std::size_t in_flight = 0)
{
    return {name, name + ":1", same_domain, can_carry, in_flight};
}

} // namespace

TEST_CASE("a node that can connect to none of a few servers is cut off from their service only")
{
    const service_reach reach = make_cut_off();
    CHECK(reach.is_cut_off("pool"));
    CHECK_FALSE(reach.is_cut_off("desk"));
    CHECK(reach.cut_off_services() == std::vector<std::string>{"pool"});
}

// Guards against detours because of a server that is dead for all nodes.
TEST_CASE("failures of one server are no reason to check its service")
{
    service_reach reach;
    for (int i = 0; i < 20; ++i) {
        reach.note_answer("pool", false, start + i * 100ms);
        reach.note_failure("pool", "i-1", start + i * 100ms);
    }
    CHECK(reach.begin_check("pool", start + 2s) == 0);
    CHECK(reach.is_suspect("pool", start + 2s));
}

TEST_CASE("failures that a new connection separates, or that are old, are no reason for a check")
{
    service_reach reach;
    reach.note_failure("pool", "i-1", start);
    reach.note_answer("pool", true, start);
    reach.note_failure("pool", "i-2", start + 10ms);
    CHECK(reach.begin_check("pool", start + 10ms) == 0);
    reach.note_answer("pool", false, start + 5s);
    reach.note_failure("pool", "i-3", start + 5s);
    CHECK(reach.begin_check("pool", start + 5s) == 0);
}

// Guards against a cut off node with few calls that loses several of them before it checks.
TEST_CASE("one failure is enough for a check if no server has answered lately")
{
    service_reach reach;
    reach.note_answer("pool", false, start);
    reach.note_failure("pool", "i-1", start + 400ms);
    CHECK(reach.begin_check("pool", start + 400ms) == 0);
    reach.note_failure("pool", "i-1", start + 600ms);
    CHECK(reach.begin_check("pool", start + 600ms) == 4);
}

TEST_CASE("answers on kept connections don't hide that no new connection succeeds")
{
    service_reach reach;
    reach.note_failure("pool", "i-1", start);
    reach.note_answer("pool", false, start + 50ms);
    reach.note_failure("pool", "i-2", start + 100ms);
    CHECK(reach.begin_check("pool", start + 100ms) == 4);
}

// Guards against many test connections while a part of the servers is dead.
TEST_CASE("a check that reaches a server holds off the next one")
{
    service_reach reach;
    reach.note_failure("pool", "i-1", start);
    reach.note_failure("pool", "i-2", start);
    CHECK(reach.begin_check("pool", start) > 0);
    CHECK_FALSE(reach.end_check("pool", 4, 1, start));
    reach.note_failure("pool", "i-1", start + 100ms);
    reach.note_failure("pool", "i-2", start + 100ms);
    CHECK(reach.begin_check("pool", start + 100ms) == 0);
    CHECK(reach.begin_check("pool", start + 1s) > 0);
    CHECK(reach.begin_check("pool", start + 1s) == 0); // One at a time.
}

TEST_CASE("a cut off node checks twice a second, and one success ends the cut")
{
    service_reach reach = make_cut_off();
    CHECK(reach.begin_check("pool", start + 500ms) == 0);
    CHECK(reach.begin_check("pool", start + 750ms) == 2);
    CHECK_FALSE(reach.end_check("pool", 2, 0, start + 1s));
    CHECK(reach.begin_check("pool", start + 1500ms) == 2);
    CHECK(reach.end_check("pool", 2, 1, start + 1600ms));
    CHECK_FALSE(reach.is_cut_off("pool"));
}

// Guards against a node that stays cut off from a service which the configuration no longer has.
TEST_CASE("a node is not cut off from a service without servers")
{
    service_reach reach = make_cut_off();
    CHECK(reach.end_check("pool", 0, 0, start + 1s));
    CHECK_FALSE(reach.is_cut_off("pool"));
}

TEST_CASE("a carrier is of the same failure domain if one there can carry")
{
    const random_source random = seeded_random(1);
    for (int i = 0; i < 50; ++i) {
        const auto near = choose_carrier(
            {candidate("a", false, true), candidate("b", true, true), candidate("c", true, false)},
            random);
        CHECK(near->name == "b");
        const auto far =
            choose_carrier({candidate("a", false, true), candidate("c", true, false)}, random);
        CHECK(far->name == "a");
    }
    CHECK_FALSE(choose_carrier({candidate("c", true, false)}, random));
    CHECK_FALSE(choose_carrier({}, random));
}

TEST_CASE("detours spread over the carriers")
{
    const random_source random = seeded_random(1);
    int busy = 0;
    for (int i = 0; i < 100; ++i) {
        const auto chosen =
            choose_carrier({candidate("a", true, true, 9), candidate("b", true, true, 0)}, random);
        busy += chosen->name == "a" ? 1 : 0;
    }
    CHECK(busy < 40); // Only if both draws choose it.
}
