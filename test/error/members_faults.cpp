/** \file
 * Tests how members detect and recover from stopped and paused processes, restarts and partitions.
 */
#include <doctest/doctest.h>

#include "support/member_group.h"

using namespace chervildyke;

TEST_CASE("all members find each other through one seed")
{
    member_group group(8);
    group.advance(15s);
    for (std::size_t i = 0; i < 8; ++i) {
        CHECK(group.tables_listing_up(i) == 8);
    }
    CHECK(group.table(3).highest_heard_offset() == 107);
    CHECK(group.table(3).most_advanced_address() == "10.11.12.13:8007");
}

TEST_CASE("a stopped member is down in all tables, and its next process is up in all tables")
{
    member_group group(8);
    group.advance(15s);
    group.stop(5);
    group.advance(15s);
    CHECK(group.tables_listing_up(5) == 1); // Only its own table.
    group.restart(5);
    group.advance(15s);
    CHECK(group.tables_listing_up(5) == 8);
}

TEST_CASE("a resumed member refutes that it is down, and does not consider others down")
{
    member_group group(8);
    group.advance(15s);
    group.pause(2, true);
    group.advance(60s);
    CHECK(group.tables_listing_up(2) == 1);
    const std::uint64_t sequence = group.table(2).self().sequence();
    group.pause(2, false);
    group.advance(600ms);
    CHECK(group.table(2).alive_members().size() == 8);
    group.advance(15s);
    CHECK(group.tables_listing_up(2) == 8);
    CHECK(group.table(2).self().sequence() > sequence);
    CHECK(group.table(2).alive_members().size() == 8);
}

TEST_CASE("members find each other again after a partition is healed")
{
    member_group group(8);
    group.advance(15s);
    for (std::size_t i = 4; i < 8; ++i) {
        group.set_partition(i, 1);
    }
    group.advance(30s);
    CHECK(group.table(0).alive_members().size() == 4);
    CHECK(group.table(7).alive_members().size() == 4);
    for (std::size_t i = 4; i < 8; ++i) {
        group.set_partition(i, 0);
    }
    group.advance(30s);
    for (std::size_t i = 0; i < 8; ++i) {
        CHECK(group.tables_listing_up(i) == 8);
    }
}

TEST_CASE("an orderly leave reaches all members within seconds and is not undone")
{
    member_group group(8);
    group.advance(15s);
    group.table(6).leave();
    group.advance(4s);
    CHECK(group.tables_listing_up(6) == 0);
    group.stop(6);
    group.advance(15s);
    CHECK(group.tables_listing_up(6) == 0);
}
