/** \file
 * Tests the entry's side of orders: late wakes, lost settlements, outages and keys of tenants.
 */
#include <doctest/doctest.h>

#include "entry/order_call.h"
#include "support/order_fixture.h"

using namespace chervildyke;
using namespace chervildyke::test;

namespace {

/** An entry's order calls over desks of a bench. */
struct order_entry {
    explicit order_entry(order_fixture& bench, std::size_t desk = 0)
        : calls(bench.context.get_executor(), order_call_settings(), hooks(bench, desk)),
          guard(calls.guard())
    {
    }

    order_call_hooks hooks(order_fixture& bench, std::size_t desk)
    {
        order_call_hooks made;
        made.claim = [this, &bench, desk](schema::claim_request request,
                                          duration) -> rpc_awaitable<schema::claim_reply> {
            schema::claim_reply reply =
                co_await bench.coordinators[desk]->claim(std::move(request));
            co_await sleep_for(claim_delay);
            co_return reply;
        };
        made.settle = [this, &bench, desk](schema::settle_request request,
                                           duration) -> rpc_awaitable<schema::settle_reply> {
            if (lost_settlements > 0) {
                --lost_settlements;
                co_return rpc_failure{rpc_error::unreachable, "lost"};
            }
            schema::settle_reply reply =
                co_await bench.coordinators[desk]->settle(std::move(request));
            co_return reply;
        };
        return made;
    }

    duration claim_delay = duration::zero(); // As if the process were paused after the verdict.
    int lost_settlements = 0;
    order_calls calls;
    call_guard guard;
};

call_identity identity_of(const std::string& tenant, const std::string& key,
                          const std::string& attempt, duration time = 4s)
{
    call_identity identity;
    identity.tenant = tenant;
    identity.key = key;
    identity.attempt_id = attempt;
    identity.body_digest = "body";
    identity.deadline = monotonic_clock::now() + time;
    return identity;
}

claim_decision claim_now(order_fixture& bench, order_entry& entry, const call_identity& identity)
{
    const auto decision = start(bench.context, entry.guard.claim(identity));
    bench.clock.advance(6s, 5ms);
    return decision->value();
}

} // namespace

TEST_CASE("an entry that wakes after the deadline does not send, and frees the key")
{
    order_fixture bench(2);
    order_entry paused(bench);
    paused.claim_delay = 5s;
    const auto late = claim_now(bench, paused, identity_of("t", "k", "a1"));
    CHECK(late.result == schema::claim_undecided);
    order_entry other(bench, 1);
    CHECK(claim_now(bench, other, identity_of("t", "k", "a2")).result == schema::claim_won);
}

TEST_CASE("a key that died with its entry is held, then unknown, and never won again")
{
    order_fixture bench(2);
    order_entry first(bench);
    CHECK(claim_now(bench, first, identity_of("t", "k", "a1")).result == schema::claim_won);
    order_entry other(bench, 1);
    const auto held = claim_now(bench, other, identity_of("t", "k", "a2"));
    CHECK(held.result == schema::claim_held);
    CHECK(not_claimed(held).status == 409);
    CHECK(not_claimed(held).outcome == call_outcome::unknown);
    bench.clock.advance(10s, 10ms);
    const auto unknown = claim_now(bench, other, identity_of("t", "k", "a3"));
    REQUIRE(unknown.settlement);
    const http_reply reply = replay_of(*unknown.settlement);
    CHECK(reply.header("X-Chervil-Outcome") == "unknown");
}

TEST_CASE("a settlement is tried until it is kept, and every entry gives the same answer")
{
    order_fixture bench(3);
    order_entry first(bench);
    first.lost_settlements = 5;
    const call_identity identity = identity_of("t", "k", "a1");
    CHECK(claim_now(bench, first, identity).result == schema::claim_won);
    const auto settled = [&]() -> boost::asio::awaitable<bool> {
        co_await first.guard.settle(identity, call_outcome::complete, 201, "text/plain", "yes");
        co_return true;
    };
    const auto told = start(bench.context, settled());
    bench.clock.advance(300ms);
    CHECK(told->has_value()); // The caller's answer does not wait for long.
    bench.clock.advance(20s, 10ms);
    CHECK(first.calls.background_settlements() == 0);
    for (std::size_t desk = 0; desk < 3; ++desk) {
        order_entry entry(bench, desk);
        const auto again =
            claim_now(bench, entry, identity_of("t", "k", "b" + std::to_string(desk)));
        REQUIRE(again.settlement);
        const http_reply reply = replay_of(*again.settlement);
        CHECK(reply.status == 201);
        CHECK(reply.body == "yes");
        CHECK(reply.header("X-Chervil-Replayed") == "true");
        CHECK(reply.header("X-Chervil-Outcome") == "complete");
    }
    order_entry foreign(bench);
    CHECK(claim_now(bench, foreign, identity_of("u", "k", "c1")).result == schema::claim_won);
}

TEST_CASE("while the log is down a call without a key runs, and one with a key is not run")
{
    order_fixture bench(2);
    bench.log.set_outage(true);
    bench.clock.advance(3s);
    order_entry entry(bench);
    CHECK(claim_now(bench, entry, identity_of("t", "a1", "a1")).result == schema::claim_won);
    const auto refused = claim_now(bench, entry, identity_of("t", "k", "a2"));
    CHECK(refused.result == schema::claim_refused);
    CHECK(not_claimed(refused).status == 503);
    CHECK(not_claimed(refused).outcome == call_outcome::not_run);
    CHECK(not_claimed(refused).retry_after.has_value());
}

TEST_CASE("a key used again with another body is refused with 422")
{
    order_fixture bench(1);
    order_entry entry(bench);
    CHECK(claim_now(bench, entry, identity_of("t", "k", "a1")).result == schema::claim_won);
    call_identity other = identity_of("t", "k", "a2");
    other.body_digest = "another";
    const auto refused = claim_now(bench, entry, other);
    CHECK(not_claimed(refused).status == 422);
    CHECK(not_claimed(refused).outcome == call_outcome::not_run);
}

TEST_CASE("only a UUID of version 7 tells its time")
{
    CHECK(uuid_v7_time_ms("017f22e2-79b0-7cc3-98c4-dc0c0c07398f") == 0x017F22E279B0);
    CHECK(uuid_v7_time_ms("017f22e2-79b0-4cc3-98c4-dc0c0c07398f") == 0);
    CHECK(uuid_v7_time_ms("017f22e2x79b0-7cc3-98c4-dc0c0c07398f") == 0);
    CHECK(uuid_v7_time_ms("order-17") == 0);
}
