/** \file
 * Tests prompts of which one part crashes each server that starts to answer it.
 */
#include <deque>

#include "support/relay_fixture.h"

using namespace chervildyke;
using test::fake_head;
using test::relay_fixture;

namespace {

// The users' bound: later calls with the part that may reach servers after the fifth crash.
constexpr std::size_t settled_crashes = 5;
constexpr std::size_t late_arrivals = 3;

/** A node in front of many heads, each of which crashes on the part "bad". */
struct crashing_fixture : relay_fixture {
    crashing_fixture() : relay_fixture(retry_rule::resumable)
    {
        heads_after_first_part.clear();
        for (int i = 0; i < 12; ++i) {
            fake_head& head = heads.emplace_back(context, 99);
            head.crashing_part = "bad";
            heads_after_first_part.push_back(&head);
        }
        serve_at(heads_after_first_part);
    }

    std::size_t crashed() const
    {
        return static_cast<std::size_t>(std::count_if(
            heads.begin(), heads.end(), [](const fake_head& head) { return head.has_crashed; }));
    }

    int arrivals() const
    {
        int calls = 0;
        for (const fake_head& head : heads) {
            calls += head.calls;
        }
        return calls;
    }

    /** Sends a call with the part; no two are alike. */
    void send_crashing_call()
    {
        prompt_parts = parts_before + "bad:200,own" + std::to_string(++sent) + ":300";
        call("k1");
    }

    void send_sound_call()
    {
        prompt_parts = parts_before + "own" + std::to_string(++sent) + ":300";
        call("k1");
    }

    std::deque<fake_head> heads;
    std::string parts_before = "first:40,"; // Of the part that crashes servers.
    int sent = 0;
};

} // namespace

// Guards against sending calls with a part that crashes servers to one server after the other.
TEST_CASE("calls with a part that crashes servers stop reaching servers")
{
    crashing_fixture fixture;
    for (int i = 0; i < 10; ++i) {
        fixture.send_crashing_call();
    }
    CHECK(fixture.crashed() <= settled_crashes + late_arrivals);
    const int arrivals = fixture.arrivals();
    fixture.send_crashing_call();
    CHECK(fixture.status == 503);
    CHECK_FALSE(fixture.retry_after.empty());
    CHECK(fixture.arrivals() == arrivals); // It was not run, as the status says.
}

// Guards against blaming the key or the first part that sound calls share with the crashing ones.
TEST_CASE("sound calls with the key and the first part of crashing calls are still answered")
{
    crashing_fixture fixture;
    fixture.send_sound_call();
    REQUIRE(fixture.status == 200);
    for (int i = 0; i < 10; ++i) {
        fixture.send_crashing_call();
        fixture.send_sound_call();
        CHECK(fixture.status == 200);
        CHECK(fixture.is_complete);
    }
}

// Guards against a crashing part that is not read, because many shared ones stand before it.
TEST_CASE("a part that crashes servers is blocked though a long conversation stands before it")
{
    for (const int parts : {17, 300}) {
        CAPTURE(parts);
        crashing_fixture fixture;
        for (int i = 0; i < parts; ++i) {
            fixture.parts_before += "5c1e" + std::to_string(100 + i) + ":40,";
        }
        fixture.send_sound_call();
        REQUIRE(fixture.status == 200);
        for (int i = 0; i < 10; ++i) {
            fixture.send_crashing_call();
        }
        CHECK(fixture.crashed() <= settled_crashes + late_arrivals);
        CHECK(fixture.status == 503);
        fixture.send_sound_call();
        CHECK(fixture.status == 200);
    }
}
