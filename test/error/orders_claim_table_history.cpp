/** \file
 * Tests readers that lack part of the stream, duplicate records and late records.
 */
#include <doctest/doctest.h>

#include "support/order_records.h"

using namespace chervildyke;
using namespace chervildyke::test;

TEST_CASE("a duplicate record is applied once")
{
    claim_table table;
    schema::order_record record;
    record.set_id("r1");
    record.set_format(order_record_format);
    record.set_window_ms(window_ms);
    *record.add_claims() = claim_of("k", "a1");
    CHECK(table.apply(record, 1, 1000).claims.at(0).result() == schema::claim_won);
    record_feeder feed(table, 2);
    feed.settle(settlement_of("k", "a1", schema::order_not_run), 1001);
    const record_verdicts second = table.apply(record, 3, 1002);
    CHECK(second.duplicate);
    CHECK(second.claims.empty());
    CHECK(feed.claim(claim_of("k", "a2"), 1003).result() == schema::claim_won);
}

TEST_CASE("a claim that is appended after its attempt was settled as not run never wins")
{
    claim_table table;
    record_feeder feed(table);
    CHECK(feed.settle(settlement_of("k", "a1", schema::order_not_run), 1000));
    CHECK(feed.claim(claim_of("k", "a1"), 1001).result() == schema::claim_refused);
    CHECK(feed.claim(claim_of("k", "a2"), 1002).result() == schema::claim_won);
}

TEST_CASE("a reader without the start of the stream refuses claims until it covers the window")
{
    claim_table table;
    table.mark_history_lost(500, 0); // The retention is unknown.
    record_feeder feed(table, 100);
    CHECK(feed.claim(claim_of("k", "a1"), 1'000'000).result() == schema::claim_refused);
    CHECK(table.is_uncertain("tenant", "k"));
    // Each refused claim may have won for other readers and extends the uncertainty by a window.
    CHECK(feed.claim(claim_of("k", "a2"), 1'000'000 + window_ms - 1).result() ==
          schema::claim_refused);
    CHECK(feed.claim(claim_of("k", "a3"), 1'000'000 + window_ms).result() == schema::claim_refused);
    CHECK(feed.claim(claim_of("new", "a4"), 1'000'000 + window_ms).result() == schema::claim_won);
    CHECK(feed.claim(claim_of("k", "a5"), 1'000'000 + 2 * window_ms).result() == schema::claim_won);
}

TEST_CASE("a new reader accepts claims at once when the log's retention is longer than the window")
{
    claim_table table;
    table.mark_history_lost(101, 2 * window_ms);
    record_feeder feed(table, 100);
    CHECK(feed.claim(claim_of("old", "a1"), 5'000'000).result() == schema::claim_refused);
    CHECK(feed.claim(claim_of("new", "a2"), 5'000'010).result() == schema::claim_won);
    CHECK(feed.claim(claim_of("old", "a3"), 5'000'020).result() == schema::claim_refused);

    claim_table short_log;
    short_log.mark_history_lost(101, window_ms / 2);
    record_feeder other(short_log, 101);
    CHECK(other.claim(claim_of("new", "a2"), 5'000'010).result() == schema::claim_refused);
}

TEST_CASE("a settlement of an attempt that may have run confirms the winner of an uncertain key")
{
    claim_table table;
    table.mark_history_lost(500, 0);
    record_feeder feed(table, 100);
    feed.claim(claim_of("k", "a1"), 1'000'000);
    feed.claim(claim_of("k", "a2"), 1'000'001);
    feed.settle(settlement_of("k", "a1", schema::order_not_run), 1'000'002);
    CHECK(table.is_uncertain("tenant", "k"));
    CHECK(feed.settle(settlement_of("k", "a2", schema::order_complete, "yes"), 1'000'003));
    CHECK(feed.claim(claim_of("k", "a3"), 1'000'004).settlement().confirmation() == "yes");
}

TEST_CASE("a record of a newer format is a gap in the history")
{
    claim_table table;
    record_feeder feed(table);
    CHECK(feed.claim(claim_of("k", "a1"), 1000).result() == schema::claim_won);
    schema::order_record newer;
    newer.set_id("newer");
    newer.set_format(order_record_format + 1);
    table.apply(newer, 2, 1001);
    record_feeder later(table, 3);
    CHECK(later.claim(claim_of("x", "a2"), 1002).result() == schema::claim_refused);
    CHECK(later.claim(claim_of("k", "a3"), 1003).result() == schema::claim_held);
}
