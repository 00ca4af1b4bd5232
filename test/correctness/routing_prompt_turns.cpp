/** \file
 * Tests how many calls with a part that may crash servers are sent at the same time.
 */
#include <doctest/doctest.h>

#include "routing/prompt_turns.h"

using namespace chervildyke;

namespace {

constexpr time_point start{1000s};

prompt_verdict verdict(prompt_standing standing, std::vector<std::string> parts = {"part"})
{
    prompt_verdict made;
    made.standing = standing;
    made.unproven = std::move(parts);
    return made;
}

} // namespace

// Guards against a burst of prompts that crashes one server each before the first crash is known.
TEST_CASE("of the calls with a part that was never answered, four are starting at a time")
{
    const prompt_turn_settings settings;
    prompt_turns turns(seeded_random(1));
    std::vector<std::unique_ptr<prompt_turns::turn>> taken;
    for (std::size_t i = 0; i < settings.max_untested; ++i) {
        taken.push_back(turns.take(verdict(prompt_standing::untested), start));
        REQUIRE(taken.back());
    }
    CHECK_FALSE(turns.take(verdict(prompt_standing::untested), start));
    CHECK(turns.take(verdict(prompt_standing::untested, {"other"}), start));
    SUBCASE("one ends")
    {
        taken.pop_back();
        CHECK(turns.take(verdict(prompt_standing::untested), start));
    }
    SUBCASE("they take long")
    {
        CHECK_FALSE(
            turns.take(verdict(prompt_standing::untested), start + settings.untested_time - 1ms));
        CHECK(turns.take(verdict(prompt_standing::untested), start + settings.untested_time));
    }
}

TEST_CASE("a suspected or doubtful part is tried by one call at a time, and a blocked one by none")
{
    const prompt_turn_settings settings;
    for (const prompt_standing standing : {prompt_standing::suspected, prompt_standing::doubtful}) {
        prompt_turns turns(seeded_random(1));
        auto first = turns.take(verdict(standing), start);
        REQUIRE(first);
        CHECK_FALSE(turns.take(verdict(standing), start + settings.trial_time - 1ms));
        CHECK(turns.take(verdict(standing), start + settings.trial_time));
        first.reset();
        CHECK(turns.take(verdict(standing), start + 1ms));
    }
    prompt_turns turns(seeded_random(1));
    CHECK_FALSE(turns.take(verdict(prompt_standing::blocked), start));
}

TEST_CASE("a call has a turn for each of its unproven parts")
{
    prompt_turns turns(seeded_random(1));
    const auto both = turns.take(verdict(prompt_standing::suspected, {"a", "b"}), start);
    REQUIRE(both);
    CHECK_FALSE(turns.take(verdict(prompt_standing::suspected, {"a"}), start));
    CHECK_FALSE(turns.take(verdict(prompt_standing::suspected, {"c", "b"}), start));
    CHECK(turns.take(verdict(prompt_standing::suspected, {"c"}), start));
}

TEST_CASE("in a large fleet few nodes try a doubtful part at the same time, and all do in turn")
{
    constexpr std::size_t nodes = 64;
    constexpr int rounds = 600;
    const prompt_turn_settings settings;
    std::size_t tried = 0;
    std::size_t nodes_that_tried = 0;
    for (std::size_t node = 0; node < nodes; ++node) {
        prompt_turns turns(seeded_random(node + 1));
        turns.set_nodes(nodes);
        std::size_t own = 0;
        for (int round = 0; round < rounds; ++round) {
            const time_point at = start + round * settings.trial_time;
            own += turns.take(verdict(prompt_standing::doubtful, {"a", "b"}), at) ? 1 : 0;
        }
        tried += own;
        nodes_that_tried += own > 0 ? 1 : 0;
    }
    CHECK(static_cast<double>(tried) / rounds <= settings.max_trial_nodes * 1.2);
    CHECK(nodes_that_tried == nodes);
}

TEST_CASE("a turn may outlive the turns that it was taken from")
{
    std::unique_ptr<prompt_turns::turn> left;
    {
        prompt_turns turns(seeded_random(1));
        left = turns.take(verdict(prompt_standing::untested), start);
    }
    left.reset();
}
