/** \file
 * Tests order desks through lost replies, outages, a slow log and dead controls.
 */
#include <doctest/doctest.h>

#include "base/hash.h"
#include "support/order_bench.h"

using namespace chervildyke;
using namespace chervildyke::test;

namespace {

/** A desk that follows the key's stream, or one that does not. */
std::size_t desk_for(const order_bench& bench, const std::string& key, bool follows)
{
    const std::string stream = order_stream_of("tenant", key, default_order_streams);
    for (std::size_t i = 0; i < bench.desks.size(); ++i) {
        if ((bench.desks[i]->find_stream(stream) != nullptr) == follows) {
            return i;
        }
    }
    return bench.desks.size();
}

} // namespace

TEST_CASE("a lost reply costs time only")
{
    order_bench bench(1);
    bench.log.lose_replies(1);
    CHECK(bench.claim_now(0, claim_of("k", "a1")).result() == schema::claim_won);
    bench.log.lose_replies(1);
    CHECK(bench.settle_now(0, settlement_of("k", "a1", schema::order_complete, "yes")));
    const auto repeated = bench.claim_now(0, claim_of("k", "a2"));
    CHECK(repeated.settlement().confirmation() == "yes");
}

TEST_CASE("an append made twice is judged once")
{
    boost::asio::io_context context;
    manual_clock clock(context);
    memory_log log;
    log_client split = log.client("writer");
    split.read = log.client("reader").read;
    order_stream_settings settings;
    settings.stream = "orders-0";
    const auto stream =
        std::make_shared<order_stream>(context.get_executor(), settings, split, seeded_random(1));
    stream->start();
    clock.advance(50ms);
    log.lose_replies(2);
    const auto verdict = start(context, stream->claim(claim_of("k", "a1"), 10s));
    log.cut_off("reader", true);
    clock.advance(3s);
    log.cut_off("reader", false);
    clock.advance(3s);
    CHECK(log.next_offset("orders-0") > 2);
    REQUIRE(verdict->has_value());
    CHECK((*verdict)->result() == schema::claim_won);
    const auto second = start(context, stream->claim(claim_of("k", "a2"), 1s));
    clock.advance(1s);
    CHECK((*second)->result() == schema::claim_held);
    stream->stop();
    log.set_outage(true);
    clock.advance(5s);
}

TEST_CASE("while the log is down claims are refused at once, and won again after it")
{
    order_bench bench(3);
    bench.log.set_outage(true);
    bench.clock.advance(3s);
    const auto refused = bench.claim(0, claim_of("k", "a1"), 5s);
    bench.clock.advance(20ms);
    REQUIRE(refused->has_value());
    CHECK((*refused)->verdicts(0).result() == schema::claim_refused);
    bench.log.set_outage(false);
    bench.clock.advance(3s);
    CHECK(bench.claim_now(0, claim_of("k", "a2")).result() == schema::claim_won);
}

TEST_CASE("a claim that the log takes too late is undecided, and its withdrawal frees the key")
{
    order_bench bench(2);
    bench.log.set_latency(8s);
    const auto undecided = bench.claim_now(0, claim_of("k", "a1"));
    CHECK(undecided.result() == schema::claim_undecided);
    bench.log.set_latency(duration::zero());
    CHECK(bench.settle_now(0, settlement_of("k", "a1", schema::order_not_run)));
    bench.clock.advance(20s, 10ms);
    CHECK(bench.claim_now(0, claim_of("k", "a2")).result() == schema::claim_won);
}

TEST_CASE("one key at all desks at once is won once, and its settlement is the same at each")
{
    order_bench bench(4);
    std::vector<pending<schema::claim_reply>> replies;
    for (std::size_t i = 0; i < 4; ++i) {
        replies.push_back(bench.claim(i, claim_of("k", "a" + std::to_string(i))));
    }
    bench.clock.advance(2s);
    std::string winner;
    int held = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        const auto& verdict = (*replies[i])->verdicts(0);
        held += verdict.result() == schema::claim_held ? 1 : 0;
        winner = verdict.result() == schema::claim_won ? "a" + std::to_string(i) : winner;
    }
    CHECK(held == 3);
    CHECK(bench.settle_now(1, settlement_of("k", winner, schema::order_complete, "yes")));
    for (std::size_t i = 0; i < 4; ++i) {
        const auto verdict = bench.claim_now(i, claim_of("k", "b" + std::to_string(i)));
        CHECK(verdict.settlement().confirmation() == "yes");
    }
}

TEST_CASE(
    "when a stream's first control dies in the middle of a batch, the same attempt still wins")
{
    order_bench bench(4);
    const std::string stream = order_stream_of("tenant", "k", default_order_streams);
    const std::string first = rendezvous_order(stream, {"c0", "c1", "c2", "c3"}, 1).at(0);
    const std::size_t other = desk_for(bench, "k", false);
    REQUIRE(other < bench.desks.size());
    bench.log.set_latency(40ms);
    const auto reply = bench.claim(other, claim_of("k", "a1"), 4s);
    bench.clock.advance(10ms);
    bench.desks[std::stoul(first.substr(1))]->stop();
    bench.dead.insert(first);
    bench.clock.advance(5s);
    CHECK((*reply)->verdicts(0).result() == schema::claim_won);
    CHECK(bench.claim_now(other, claim_of("k", "a2")).result() == schema::claim_held);
}

TEST_CASE("a desk that starts late knows the keys of the window, and so do the others")
{
    order_bench bench(1, 1h);
    CHECK(bench.claim_now(0, claim_of("k", "a1")).result() == schema::claim_won);
    CHECK(bench.settle_now(0, settlement_of("k", "a1", schema::order_complete, "yes")));
    bench.clock.advance(20min, 100ms);
    bench.desks[0]->stop();
    bench.dead.insert("c0");
    bench.add_desk();
    bench.add_desk();
    bench.clock.advance(2s);
    CHECK(bench.claim_now(1, claim_of("k", "a2")).settlement().confirmation() == "yes");
    CHECK(bench.claim_now(2, claim_of("new", "a3")).result() == schema::claim_won);
}

TEST_CASE("a log that keeps less than the window gets no claims judged by a new reader")
{
    order_desk_settings settings;
    settings.window_ms = 600'000;
    order_bench bench(1, 60s, settings);
    CHECK(bench.claim_now(0, claim_of("k", "a1")).result() == schema::claim_won);
    bench.clock.advance(120s, 100ms);
    bench.desks[0]->stop();
    bench.gone.insert("c0");
    bench.add_desk();
    bench.clock.advance(2s);
    // Another reader may see the claim win, so it is withdrawn rather than refused.
    const auto verdict = bench.claim_now(1, claim_of("k", "a2"));
    CHECK(verdict.result() == schema::claim_undecided);
    CHECK(verdict.reason().find("do not cover the claim window") != std::string::npos);
    CHECK(bench.claim_now(1, claim_of("k", "a3")).result() == schema::claim_refused);
}
