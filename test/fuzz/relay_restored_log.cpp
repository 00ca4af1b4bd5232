/** \file
 * Tests, without a network, that many nodes agree again after the shared log was restored from an
 * older copy, with restarts, freezes, late messages, late appends and several restores in a row.
 */
#include "support/restored_fleet.h"

using namespace chervildyke;
using test::test_fleet;

// Guards against a fleet that never reads the log again after it was restored, and against the loss
// of replicas that were agreed before.
TEST_CASE("after a restore all nodes agree on what was agreed before")
{
    test_fleet fleet(1, 8);
    fleet.publish();
    fleet.run(5s);
    fleet.restore(2s, 3s, 300ms);
    fleet.run(1s);
    CHECK(fleet.node(0).view->ledger().is_current());
    fleet.check_agreement();
    fleet.check_effects();
    fleet.run(5s);
    fleet.check_agreement();
    fleet.check_effects();
}

// Guards against a node that starts with an older configuration and older replicas than the others.
TEST_CASE("a node that starts right after a restore waits until it knows what the others know")
{
    test_fleet fleet(2, 6);
    fleet.run(3s);
    fleet.publish();
    fleet.run(1s);
    const std::uint64_t in_force = fleet.node(0).version;
    fleet.restore(1s, 3s, 0s);
    fleet.restart(3);
    fleet.run(50ms);
    CHECK(fleet.node(3).restorer->is_behind());
    fleet.run(1500ms);
    CHECK_FALSE(fleet.node(3).restorer->is_behind());
    CHECK(fleet.node(3).version == in_force);
    fleet.check_agreement();
}

// Guards against a configuration that goes back while the operator has not yet written it again.
TEST_CASE("a node that starts before the operator writes again gets the configuration in force")
{
    test_fleet fleet(3, 6);
    fleet.run(3s);
    fleet.publish();
    fleet.publish();
    fleet.run(1s);
    const std::uint64_t in_force = fleet.node(0).version;
    fleet.restore(1s, 2500ms, 2s);
    fleet.restart(2);
    fleet.run(2s);
    CHECK_FALSE(fleet.node(2).restorer->is_behind());
    CHECK(fleet.node(2).version == in_force);
}

// Guards against a log that ends at the offset which an append expects, but in another era.
TEST_CASE("an append that was made for the log before a restore changes nothing")
{
    test_fleet fleet(4, 5);
    fleet.run(3s);
    for (int i = 0; i < 20; ++i) {
        CAPTURE(i);
        fleet.delay_appends(std::chrono::milliseconds(40 * i));
        fleet.restore(100ms, std::chrono::milliseconds(50 * i), 100ms);
        fleet.run(4s);
        fleet.check_agreement();
    }
}

TEST_CASE("restores with restarts, freezes, late messages and late appends")
{
    constexpr std::uint64_t seeds = 40;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        const random_source draw = seeded_random(seed * 7919);
        test_fleet fleet(seed, 3 + random_below(draw, 10));
        bool some_node_forgot = false;
        const auto draw_ms = [&draw](std::uint64_t limit) {
            return std::chrono::milliseconds(random_below(draw, limit));
        };
        for (int step = 0; step < 8; ++step) {
            const std::size_t index = random_below(draw, fleet.size());
            switch (random_below(draw, 6)) {
            case 0:
                fleet.restart(index);
                some_node_forgot = true;
                break;
            case 1:
                fleet.freeze(index, draw_ms(4000));
                some_node_forgot = true; // It may have been the leader with an append under way.
                break;
            case 2:
                fleet.publish();
                break;
            case 3:
                fleet.delay_appends(draw_ms(800));
                some_node_forgot = true;
                break;
            default:
                fleet.restore(draw_ms(2500), draw_ms(9000), draw_ms(1000));
                break;
            }
            fleet.run(draw_ms(3000));
        }
        fleet.quiet = true;
        fleet.delay_appends(0ms);
        fleet.run(12s);
        fleet.check_agreement();
        if (!some_node_forgot) {
            fleet.check_effects();
        }
    }
}

// Guards against a revoked key that is honoured by a node which was turned away while it was
// revoked and then reads a copy of the log without that change.
TEST_CASE(
    "nodes that the log rejects before a restore serve by no configuration that is out of date")
{
    constexpr std::uint64_t seeds = 40;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        const random_source draw = seeded_random(seed * 104'729);
        test_fleet fleet(seed, 3 + random_below(draw, 6));
        fleet.quiet = true;
        const auto draw_ms = [&draw](std::uint64_t limit) {
            return std::chrono::milliseconds(random_below(draw, limit));
        };
        for (int step = 0; step < 4; ++step) {
            for (std::size_t index = 1; index < fleet.size(); ++index) {
                if (random_below(draw, 2) == 0) {
                    fleet.reject(index, 4s + draw_ms(6000));
                }
            }
            fleet.run(1s + draw_ms(1000));
            fleet.publish();
            fleet.run(3s + draw_ms(4000));
            fleet.restore(draw_ms(600), 1s + draw_ms(9000), draw_ms(1900));
            fleet.run(draw_ms(6000));
        }
        fleet.run(12s);
        fleet.check_agreement();
    }
}

// Guards against calls with valid keys that are refused after a restore by nodes which were in
// touch with the log until it was lost, while operators have nothing to write again.
TEST_CASE("nodes that reached the log until a short outage refuse nothing after it")
{
    constexpr std::uint64_t seeds = 20;
    constexpr duration key_staleness = 4500ms;
    constexpr duration outage = 2500ms;
    constexpr duration copy_age = 100ms;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        test_fleet fleet(seed, 3 + seed % 6);
        fleet.run(std::chrono::milliseconds(37 * seed));
        fleet.restore_without_rewrite(outage, copy_age);
        for (int i = 0; i < 100; ++i) {
            fleet.run(50ms);
            for (std::size_t index = 0; index < fleet.size(); ++index) {
                const auto age = fleet.node(index).view->configuration_age();
                REQUIRE(age.has_value());
                CHECK(*age < key_staleness);
            }
        }
    }
}
