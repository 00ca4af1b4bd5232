/** \file
 * Tests order coordinators with lost replies, outages, a slow log and stopped members.
 */
#include <doctest/doctest.h>

#include "base/hash.h"
#include "support/order_fixture.h"

using namespace chervildyke;
using namespace chervildyke::test;

namespace {

/** \return the index of a coordinator that reads the key's stream, or of one that does not; the
 * number of coordinators when there is none.
 */
std::size_t find_coordinator(const order_fixture& fixture, const std::string& key,
                             bool reads_stream)
{
    const std::string stream = order_stream_of("tenant", key, default_order_streams);
    for (std::size_t i = 0; i < fixture.coordinators.size(); ++i) {
        if ((fixture.coordinators[i]->find_stream(stream) != nullptr) == reads_stream) {
            return i;
        }
    }
    return fixture.coordinators.size();
}

} // namespace

TEST_CASE("a lost reply to an append changes no verdict")
{
    order_fixture fixture(1);
    fixture.log.lose_replies(1);
    CHECK(fixture.claim_now(0, claim_of("k", "a1")).result() == schema::claim_won);
    fixture.log.lose_replies(1);
    CHECK(fixture.settle_now(0, settlement_of("k", "a1", schema::order_complete, "yes")));
    const auto repeated = fixture.claim_now(0, claim_of("k", "a2"));
    CHECK(repeated.settlement().confirmation() == "yes");
}

TEST_CASE("a claim that is appended twice wins once")
{
    boost::asio::io_context context;
    manual_clock clock(context);
    memory_log log;
    log_client client = log.client("writer");
    client.read = log.client("reader").read;
    order_stream_settings settings;
    settings.stream = "orders-0";
    const auto stream =
        std::make_shared<order_stream>(context.get_executor(), settings, client, seeded_random(1));
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

TEST_CASE("claims are refused at once during a log outage and accepted after it")
{
    order_fixture fixture(3);
    fixture.log.set_outage(true);
    fixture.clock.advance(3s);
    const auto refused = fixture.claim(0, claim_of("k", "a1"), 5s);
    fixture.clock.advance(20ms);
    REQUIRE(refused->has_value());
    CHECK((*refused)->verdicts(0).result() == schema::claim_refused);
    fixture.log.set_outage(false);
    fixture.clock.advance(3s);
    CHECK(fixture.claim_now(0, claim_of("k", "a2")).result() == schema::claim_won);
}

TEST_CASE("a claim appended after its timeout is undecided, and a not_run settlement frees the key")
{
    order_fixture fixture(2);
    fixture.log.set_latency(8s);
    const auto undecided = fixture.claim_now(0, claim_of("k", "a1"));
    CHECK(undecided.result() == schema::claim_undecided);
    fixture.log.set_latency(duration::zero());
    CHECK(fixture.settle_now(0, settlement_of("k", "a1", schema::order_not_run)));
    fixture.clock.advance(20s, 10ms);
    CHECK(fixture.claim_now(0, claim_of("k", "a2")).result() == schema::claim_won);
}

TEST_CASE("concurrent claims at all coordinators have one winner and see the same settlement")
{
    order_fixture fixture(4);
    std::vector<pending<schema::claim_reply>> replies;
    for (std::size_t i = 0; i < 4; ++i) {
        replies.push_back(fixture.claim(i, claim_of("k", "a" + std::to_string(i))));
    }
    fixture.clock.advance(2s);
    std::string winner;
    int held = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        const auto& verdict = (*replies[i])->verdicts(0);
        held += verdict.result() == schema::claim_held ? 1 : 0;
        winner = verdict.result() == schema::claim_won ? "a" + std::to_string(i) : winner;
    }
    CHECK(held == 3);
    CHECK(fixture.settle_now(1, settlement_of("k", winner, schema::order_complete, "yes")));
    for (std::size_t i = 0; i < 4; ++i) {
        const auto verdict = fixture.claim_now(i, claim_of("k", "b" + std::to_string(i)));
        CHECK(verdict.settlement().confirmation() == "yes");
    }
}

TEST_CASE(
    "an attempt still wins when the first assigned member of its stream fails during the append")
{
    order_fixture fixture(4);
    const std::string stream = order_stream_of("tenant", "k", default_order_streams);
    const std::string first = rendezvous_order(stream, {"c0", "c1", "c2", "c3"}, 1).at(0);
    const std::size_t unassigned = find_coordinator(fixture, "k", false);
    REQUIRE(unassigned < fixture.coordinators.size());
    fixture.log.set_latency(40ms);
    const auto reply = fixture.claim(unassigned, claim_of("k", "a1"), 4s);
    fixture.clock.advance(10ms);
    fixture.coordinators[std::stoul(first.substr(1))]->stop();
    fixture.unreachable.insert(first);
    fixture.clock.advance(5s);
    CHECK((*reply)->verdicts(0).result() == schema::claim_won);
    CHECK(fixture.claim_now(unassigned, claim_of("k", "a2")).result() == schema::claim_held);
}

TEST_CASE("a coordinator that starts late reads the keys of the whole window")
{
    order_fixture fixture(1, 1h);
    CHECK(fixture.claim_now(0, claim_of("k", "a1")).result() == schema::claim_won);
    CHECK(fixture.settle_now(0, settlement_of("k", "a1", schema::order_complete, "yes")));
    fixture.clock.advance(20min, 100ms);
    fixture.coordinators[0]->stop();
    fixture.unreachable.insert("c0");
    fixture.add_coordinator();
    fixture.add_coordinator();
    fixture.clock.advance(2s);
    CHECK(fixture.claim_now(1, claim_of("k", "a2")).settlement().confirmation() == "yes");
    CHECK(fixture.claim_now(2, claim_of("new", "a3")).result() == schema::claim_won);
}

TEST_CASE("a new reader accepts no claim while the log's retention is shorter than the window")
{
    order_coordinator_settings settings;
    settings.window_ms = 600'000;
    order_fixture fixture(1, 60s, settings);
    CHECK(fixture.claim_now(0, claim_of("k", "a1")).result() == schema::claim_won);
    fixture.clock.advance(120s, 100ms);
    fixture.coordinators[0]->stop();
    fixture.unlisted.insert("c0");
    fixture.add_coordinator();
    fixture.clock.advance(2s);
    // The claim may win for another reader, so it is undecided rather than refused.
    const auto verdict = fixture.claim_now(1, claim_of("k", "a2"));
    CHECK(verdict.result() == schema::claim_undecided);
    CHECK(verdict.reason().find("do not cover the claim window") != std::string::npos);
    CHECK(fixture.claim_now(1, claim_of("k", "a3")).result() == schema::claim_refused);
}
