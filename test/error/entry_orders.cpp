/** \file
 * Guards against orders that are sent twice or too late, and against repeated calls that get
 * another reply than the first one. It comes about when an entry pauses after its claim was won,
 * crashes while it holds a key, or loses settlements, when the log is down, and when a key is
 * reused.
 */
#include <doctest/doctest.h>

#include "entry/order_client.h"
#include "support/order_fixture.h"

using namespace chervildyke;
using namespace chervildyke::test;

namespace {

/** The order client of one entry, connected to one coordinator of the fixture. */
struct order_entry {
    explicit order_entry(order_fixture& fixture, std::size_t coordinator = 0)
        : client(fixture.context.get_executor(), order_client_settings(),
                 hooks(fixture, coordinator)),
          at_most_once(client.at_most_once())
    {
    }

    order_client_hooks hooks(order_fixture& fixture, std::size_t coordinator)
    {
        order_client_hooks result;
        result.claim = [this, &fixture,
                        coordinator](schema::claim_request request,
                                     duration) -> rpc_awaitable<schema::claim_reply> {
            schema::claim_reply reply =
                co_await fixture.coordinators[coordinator]->claim(std::move(request));
            co_await sleep_for(claim_delay);
            co_return reply;
        };
        result.settle = [this, &fixture,
                         coordinator](schema::settle_request request,
                                      duration) -> rpc_awaitable<schema::settle_reply> {
            if (lost_settlements > 0) {
                --lost_settlements;
                co_return rpc_failure{rpc_error::unreachable, "lost"};
            }
            schema::settle_reply reply =
                co_await fixture.coordinators[coordinator]->settle(std::move(request));
            co_return reply;
        };
        return result;
    }

    duration claim_delay =
        duration::zero(); // Simulates a pause of the process after the claim was won.
    int lost_settlements = 0;
    order_client client;
    at_most_once_hooks at_most_once;
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

claim_decision claim_now(order_fixture& fixture, order_entry& entry, const call_identity& identity)
{
    const auto decision = start(fixture.context, entry.at_most_once.claim(identity));
    fixture.clock.advance(6s, 5ms);
    return decision->value();
}

} // namespace

TEST_CASE("an entry that resumes after the deadline does not send the call, and releases the key")
{
    order_fixture fixture(2);
    order_entry paused(fixture);
    paused.claim_delay = 5s;
    const auto decision = claim_now(fixture, paused, identity_of("t", "k", "a1"));
    CHECK(decision.result == schema::claim_undecided);
    order_entry other(fixture, 1);
    CHECK(claim_now(fixture, other, identity_of("t", "k", "a2")).result == schema::claim_won);
}

TEST_CASE("the key of a crashed entry is held, then has an unknown outcome, and is never won again")
{
    order_fixture fixture(2);
    order_entry first(fixture);
    CHECK(claim_now(fixture, first, identity_of("t", "k", "a1")).result == schema::claim_won);
    order_entry other(fixture, 1);
    const auto held = claim_now(fixture, other, identity_of("t", "k", "a2"));
    CHECK(held.result == schema::claim_held);
    CHECK(not_claimed_error(held).status == 409);
    CHECK(not_claimed_error(held).outcome == call_outcome::unknown);
    fixture.clock.advance(10s, 10ms);
    const auto unknown = claim_now(fixture, other, identity_of("t", "k", "a3"));
    REQUIRE(unknown.settlement);
    const http_reply reply = replay_reply(*unknown.settlement);
    CHECK(reply.header("X-Chervil-Outcome") == "unknown");
}

TEST_CASE("a settlement is retried until it is kept, and every entry replays the same reply")
{
    order_fixture fixture(3);
    order_entry first(fixture);
    first.lost_settlements = 5;
    const call_identity identity = identity_of("t", "k", "a1");
    CHECK(claim_now(fixture, first, identity).result == schema::claim_won);
    const auto settled = [&]() -> boost::asio::awaitable<bool> {
        co_await first.at_most_once.settle(identity, call_outcome::complete, 201, "text/plain",
                                           "yes");
        co_return true;
    };
    const auto settling = start(fixture.context, settled());
    fixture.clock.advance(300ms);
    CHECK(settling->has_value()); // The reply to the caller is delayed only briefly.
    fixture.clock.advance(20s, 10ms);
    CHECK(first.client.background_settlements() == 0);
    for (std::size_t coordinator = 0; coordinator < 3; ++coordinator) {
        order_entry entry(fixture, coordinator);
        const auto again =
            claim_now(fixture, entry, identity_of("t", "k", "b" + std::to_string(coordinator)));
        REQUIRE(again.settlement);
        const http_reply reply = replay_reply(*again.settlement);
        CHECK(reply.status == 201);
        CHECK(reply.body == "yes");
        CHECK(reply.header("X-Chervil-Replayed") == "true");
        CHECK(reply.header("X-Chervil-Outcome") == "complete");
    }
    order_entry foreign(fixture);
    CHECK(claim_now(fixture, foreign, identity_of("u", "k", "c1")).result == schema::claim_won);
}

TEST_CASE("during a log outage a call without a key runs, and one with a key is not run")
{
    order_fixture fixture(2);
    fixture.log.set_outage(true);
    fixture.clock.advance(3s);
    order_entry entry(fixture);
    CHECK(claim_now(fixture, entry, identity_of("t", "a1", "a1")).result == schema::claim_won);
    const auto refused = claim_now(fixture, entry, identity_of("t", "k", "a2"));
    CHECK(refused.result == schema::claim_refused);
    CHECK(not_claimed_error(refused).status == 503);
    CHECK(not_claimed_error(refused).outcome == call_outcome::not_run);
    CHECK(not_claimed_error(refused).retry_after.has_value());
}

TEST_CASE("a key reused with another body is refused with status 422")
{
    order_fixture fixture(1);
    order_entry entry(fixture);
    CHECK(claim_now(fixture, entry, identity_of("t", "k", "a1")).result == schema::claim_won);
    call_identity other = identity_of("t", "k", "a2");
    other.body_digest = "another";
    const auto refused = claim_now(fixture, entry, other);
    CHECK(not_claimed_error(refused).status == 422);
    CHECK(not_claimed_error(refused).outcome == call_outcome::not_run);
}

TEST_CASE("a creation time is read only from a UUID of version 7")
{
    CHECK(uuid_v7_time_ms("017f22e2-79b0-7cc3-98c4-dc0c0c07398f") == 0x017F22E279B0);
    CHECK(uuid_v7_time_ms("017f22e2-79b0-4cc3-98c4-dc0c0c07398f") == 0);
    CHECK(uuid_v7_time_ms("017f22e2x79b0-7cc3-98c4-dc0c0c07398f") == 0);
    CHECK(uuid_v7_time_ms("order-17") == 0);
}
