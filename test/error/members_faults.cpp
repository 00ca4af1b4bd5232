/** \file
 * Tests what members make of loss, pauses, restarts and partitions.
 */
#include <doctest/doctest.h>

#include "support/member_group.h"

using namespace chervildyke;

TEST_CASE("all members find each other through one seed")
{
    member_group group(8);
    group.advance(15s);
    for (std::size_t i = 0; i < 8; ++i) {
        CHECK(group.believers(i) == 8);
    }
    CHECK(group.table(3).highest_heard() == 107);
    CHECK(group.table(3).most_advanced_address() == "10.11.12.13:8007");
}

TEST_CASE("a dead member is down everywhere, and its next process is up everywhere")
{
    member_group group(8);
    group.advance(15s);
    group.stop(5);
    group.advance(15s);
    CHECK(group.believers(5) == 1); // Its own table only.
    group.restart(5);
    group.advance(15s);
    CHECK(group.believers(5) == 8);
}

TEST_CASE("a paused member that wakes refutes, and takes nobody for dead")
{
    member_group group(8);
    group.advance(15s);
    group.pause(2, true);
    group.advance(60s);
    CHECK(group.believers(2) == 1);
    const std::uint64_t sequence = group.table(2).self().sequence();
    group.pause(2, false);
    group.advance(600ms);
    CHECK(group.table(2).alive_members().size() == 8);
    group.advance(15s);
    CHECK(group.believers(2) == 8);
    CHECK(group.table(2).self().sequence() > sequence);
    CHECK(group.table(2).alive_members().size() == 8);
}

TEST_CASE("the sides of a partition find each other again once it is healed")
{
    member_group group(8);
    group.advance(15s);
    for (std::size_t i = 4; i < 8; ++i) {
        group.set_side(i, 1);
    }
    group.advance(30s);
    CHECK(group.table(0).alive_members().size() == 4);
    CHECK(group.table(7).alive_members().size() == 4);
    for (std::size_t i = 4; i < 8; ++i) {
        group.set_side(i, 0);
    }
    group.advance(30s);
    for (std::size_t i = 0; i < 8; ++i) {
        CHECK(group.believers(i) == 8);
    }
}

TEST_CASE("an orderly leave is known at once where it was told, and is not taken back")
{
    member_group group(8);
    group.advance(15s);
    group.table(6).leave();
    group.advance(4s);
    CHECK(group.believers(6) == 0);
    group.stop(6);
    group.advance(15s);
    CHECK(group.believers(6) == 0);
}
