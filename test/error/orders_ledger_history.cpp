/** \file
 * Tests readers that lack a part of the stream, doubled records and records that come late.
 */
#include <doctest/doctest.h>

#include "support/order_records.h"

using namespace chervildyke;
using namespace chervildyke::test;

TEST_CASE("a record that stands twice is judged once")
{
    order_ledger ledger;
    schema::order_record record;
    record.set_id("r1");
    record.set_format(order_record_format);
    record.set_window_ms(window_ms);
    *record.add_claims() = claim_of("k", "a1");
    CHECK(ledger.apply(record, 1, 1000).claims.at(0).result() == schema::claim_won);
    record_feeder feed(ledger, 2);
    feed.settle(settlement_of("k", "a1", schema::order_not_run), 1001);
    const record_verdicts second = ledger.apply(record, 3, 1002);
    CHECK(second.duplicate);
    CHECK(second.claims.empty());
    CHECK(feed.claim(claim_of("k", "a2"), 1003).result() == schema::claim_won);
}

TEST_CASE("a claim that lands after its entry gave it up never wins")
{
    order_ledger ledger;
    record_feeder feed(ledger);
    CHECK(feed.settle(settlement_of("k", "a1", schema::order_not_run), 1000));
    CHECK(feed.claim(claim_of("k", "a1"), 1001).result() == schema::claim_refused);
    CHECK(feed.claim(claim_of("k", "a2"), 1002).result() == schema::claim_won);
}

TEST_CASE("a reader without the start of the stream refuses until it covers the window")
{
    order_ledger ledger;
    ledger.lose_history(500, 0); // The log does not say how long it keeps records.
    record_feeder feed(ledger, 100);
    CHECK(feed.claim(claim_of("k", "a1"), 1'000'000).result() == schema::claim_refused);
    CHECK(ledger.is_uncertain("tenant", "k"));
    // Each claim in doubt may have won elsewhere and extends the doubt by a window.
    CHECK(feed.claim(claim_of("k", "a2"), 1'000'000 + window_ms - 1).result() ==
          schema::claim_refused);
    CHECK(feed.claim(claim_of("k", "a3"), 1'000'000 + window_ms).result() == schema::claim_refused);
    CHECK(feed.claim(claim_of("new", "a4"), 1'000'000 + window_ms).result() == schema::claim_won);
    CHECK(feed.claim(claim_of("k", "a5"), 1'000'000 + 2 * window_ms).result() == schema::claim_won);
}

TEST_CASE("the stated retention lets a new reader judge at once when it is longer than the window")
{
    order_ledger ledger;
    ledger.lose_history(101, 2 * window_ms);
    record_feeder feed(ledger, 100);
    CHECK(feed.claim(claim_of("old", "a1"), 5'000'000).result() == schema::claim_refused);
    CHECK(feed.claim(claim_of("new", "a2"), 5'000'010).result() == schema::claim_won);
    CHECK(feed.claim(claim_of("old", "a3"), 5'000'020).result() == schema::claim_refused);

    order_ledger short_log;
    short_log.lose_history(101, window_ms / 2);
    record_feeder other(short_log, 101);
    CHECK(other.claim(claim_of("new", "a2"), 5'000'010).result() == schema::claim_refused);
}

TEST_CASE("a settlement that says the attempt may have run proves the winner of a doubtful key")
{
    order_ledger ledger;
    ledger.lose_history(500, 0);
    record_feeder feed(ledger, 100);
    feed.claim(claim_of("k", "a1"), 1'000'000);
    feed.claim(claim_of("k", "a2"), 1'000'001);
    feed.settle(settlement_of("k", "a1", schema::order_not_run), 1'000'002);
    CHECK(ledger.is_uncertain("tenant", "k"));
    CHECK(feed.settle(settlement_of("k", "a2", schema::order_complete, "yes"), 1'000'003));
    CHECK(feed.claim(claim_of("k", "a3"), 1'000'004).settlement().confirmation() == "yes");
}

TEST_CASE("records of a newer format are a hole in the history")
{
    order_ledger ledger;
    record_feeder feed(ledger);
    CHECK(feed.claim(claim_of("k", "a1"), 1000).result() == schema::claim_won);
    schema::order_record newer;
    newer.set_id("newer");
    newer.set_format(order_record_format + 1);
    ledger.apply(newer, 2, 1001);
    record_feeder later(ledger, 3);
    CHECK(later.claim(claim_of("x", "a2"), 1002).result() == schema::claim_refused);
    CHECK(later.claim(claim_of("k", "a3"), 1003).result() == schema::claim_held);
}
