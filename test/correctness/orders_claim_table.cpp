/** \file
 * Tests the verdicts on claims and settlements of one stream.
 */
#include <doctest/doctest.h>

#include "support/order_records.h"

using namespace chervildyke;
using namespace chervildyke::test;

TEST_CASE("the first claim of a key wins; later ones are held, settled or have another body")
{
    claim_table table;
    record_feeder feed(table);
    CHECK(feed.claim(claim_of("k", "a1"), 1000).result() == schema::claim_won);
    const auto held = feed.claim(claim_of("k", "a2"), 1001);
    CHECK(held.result() == schema::claim_held);
    CHECK(held.winner_attempt_id() == "a1");
    CHECK(feed.claim(claim_of("k", "a3", "other"), 1002).result() == schema::claim_other_body);
    CHECK(feed.claim(claim_of("k", "a1"), 1003).result() == schema::claim_won);
    CHECK(feed.settle(settlement_of("k", "a1", schema::order_complete, "yes"), 1004));
    const auto settled = feed.claim(claim_of("k", "a4"), 1005);
    CHECK(settled.result() == schema::claim_settled);
    CHECK(settled.settlement().confirmation() == "yes");
    CHECK(table.settled_verdict(claim_of("k", "a5"))->settlement().confirmation() == "yes");
    CHECK_FALSE(table.settled_verdict(claim_of("free", "a5")).has_value());
}

TEST_CASE("equal keys of two tenants are different keys")
{
    claim_table table;
    record_feeder feed(table);
    CHECK(feed.claim(claim_of("k", "a1"), 1000).result() == schema::claim_won);
    schema::order_claim other_tenant = claim_of("k", "a2");
    other_tenant.set_tenant("neighbour");
    CHECK(feed.claim(other_tenant, 1001).result() == schema::claim_won);
    CHECK(order_key_id("a", "bc") != order_key_id("ab", "c"));
}

TEST_CASE("only the winner settles, its first settlement is kept, and not_run frees the key")
{
    claim_table table;
    record_feeder feed(table);
    feed.claim(claim_of("k", "a1"), 1000);
    CHECK_FALSE(feed.settle(settlement_of("k", "a2", schema::order_complete, "forged"), 1001));
    CHECK(feed.settle(settlement_of("k", "a1", schema::order_not_run), 1002));
    CHECK(feed.claim(claim_of("k", "a1"), 1003).result() == schema::claim_refused);
    CHECK(feed.claim(claim_of("k", "a2", "other"), 1004).result() == schema::claim_won);
    CHECK(feed.settle(settlement_of("k", "a2", schema::order_unknown), 1005));
    CHECK_FALSE(feed.settle(settlement_of("k", "a2", schema::order_complete, "late"), 1006));
    CHECK_FALSE(feed.settle(settlement_of("k", "a1", schema::order_complete, "late"), 1007));
    const auto settled = feed.claim(claim_of("k", "a3", "other"), 1008);
    CHECK(settled.settlement().outcome() == schema::order_unknown);
}

TEST_CASE("the outcome of an expired attempt is unknown until its entry settles it")
{
    claim_table table;
    record_feeder feed(table);
    feed.claim(claim_of("k", "a1"), 1000);
    CHECK(feed.claim(claim_of("k", "a2"), 1000 + valid_ms - 1).result() == schema::claim_held);
    const auto unknown = feed.claim(claim_of("k", "a3"), 1000 + valid_ms);
    CHECK(unknown.result() == schema::claim_settled);
    CHECK(unknown.settlement().outcome() == schema::order_unknown);
    CHECK(feed.settle(settlement_of("k", "a1", schema::order_complete, "late"), 2000 + valid_ms));
    CHECK(feed.claim(claim_of("k", "a4"), 3000 + valid_ms).settlement().confirmation() == "late");
}

TEST_CASE("a key expires after its window, and its age is checked, by the log's clock")
{
    claim_table table;
    record_feeder feed(table);
    schema::order_claim aged = claim_of("k", "a1");
    aged.set_key_created_ms(1'000'000);
    CHECK(feed.claim(aged, 1'000'000).result() == schema::claim_won);
    CHECK(feed.claim(claim_of("k", "a2"), 999'999 + window_ms).result() == schema::claim_settled);
    aged.set_attempt_id("a3");
    CHECK(feed.claim(aged, 1'000'000 + window_ms).result() == schema::claim_refused);
    CHECK(feed.claim(claim_of("k", "a4"), 1'000'001 + window_ms).result() == schema::claim_won);
    schema::order_claim future = claim_of("f", "a5");
    future.set_key_created_ms(10'000'000);
    CHECK(feed.claim(future, 1'000'002 + window_ms).result() == schema::claim_refused);
}

TEST_CASE("a claim without a key or valid for more than half of the window is refused")
{
    claim_table table;
    record_feeder feed(table);
    CHECK(feed.claim(claim_of("", "a1"), 1000).result() == schema::claim_refused);
    schema::order_claim long_lived = claim_of("k", "a1");
    long_lived.set_valid_ms(window_ms);
    CHECK(feed.claim(long_lived, 1000).result() == schema::claim_refused);
    CHECK(feed.claim(claim_of("k", "a2"), 1001).result() == schema::claim_won);
}
