/** \file
 * Tests which calls wait for a slot at a replica, in which order they are admitted, and which are
 * refused immediately.
 */
#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "relay/replica_queue.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

struct queue_fixture {
    queue_fixture()
    {
        engine_profile profile;
        profile.batch_slots = 2;
        profile.step_ms = 8;
        model_profile model;
        model.name = "m";
        profile.models = {model};
        balancer.set_profile("pool", profile);
        serving_replica replica;
        replica.epoch = 1;
        replica.service = "pool";
        replica.model = "m";
        balancer.set_serving({replica});
    }

    void admit(const std::string& name, const std::string& team, duration max_wait,
               std::uint32_t urgency = 0, bool is_failover = false)
    {
        replica_queue_request request;
        request.wanted.service = "pool";
        request.wanted.model = "m";
        request.team = team;
        request.urgency = urgency;
        request.is_failover = is_failover;
        request.wait_until = monotonic_clock::now() + max_wait;
        asio::co_spawn(context, wait(name, std::move(request)), asio::detached);
        clock.advance(1ms);
    }

    asio::awaitable<void> wait(std::string name, replica_queue_request request)
    {
        replica_queue_result result = co_await queue.admit(std::move(request));
        outcomes[name] = result.outcome;
        if (result.outcome == replica_queue_outcome::admitted) {
            order.push_back(name);
            slots[name] = std::move(result.slot);
        }
    }

    void end(const std::string& name)
    {
        slots.erase(name);
        queue.admit_waiting();
        clock.advance(1ms);
    }

    asio::io_context context;
    manual_clock clock{context};
    replica_balancer balancer{seeded_random(1)};
    replica_queue queue{context.get_executor(), balancer};
    std::map<std::string, replica_queue_outcome> outcomes;
    std::map<std::string, std::unique_ptr<replica_balancer::call>> slots;
    std::vector<std::string> order;
};

} // namespace

TEST_CASE("a call waits until a slot is free, and takes it")
{
    queue_fixture fixture;
    fixture.admit("a", "t", 200ms);
    fixture.admit("b", "t", 200ms);
    fixture.admit("c", "t", 200ms);
    CHECK(fixture.order == std::vector<std::string>{"a", "b"});
    fixture.end("a");
    CHECK(fixture.order == std::vector<std::string>{"a", "b", "c"});
}

TEST_CASE("a call that gets no slot in time is refused, and a freed slot goes to the next call")
{
    queue_fixture fixture;
    for (const char* name : {"a", "b", "c"}) {
        fixture.admit(name, "t", 100ms);
    }
    fixture.clock.advance(200ms);
    CHECK(fixture.outcomes.at("c") == replica_queue_outcome::waited_too_long);
    fixture.admit("d", "t", 500ms);
    fixture.end("a");
    CHECK(fixture.outcomes.at("d") == replica_queue_outcome::admitted);
}

TEST_CASE("a burst of one team does not delay the calls of others")
{
    queue_fixture fixture;
    fixture.admit("x", "big", 10s);
    fixture.admit("y", "big", 10s);
    for (int i = 0; i < 20; ++i) {
        fixture.admit("big" + std::to_string(i), "big", 10s);
    }
    fixture.admit("small", "small", 10s);
    fixture.end("x");
    fixture.end("y");
    CHECK(std::find(fixture.order.begin(), fixture.order.end(), "small") != fixture.order.end());
}

TEST_CASE("an urgent call is admitted before earlier calls that wait")
{
    queue_fixture fixture;
    fixture.admit("x", "t", 10s);
    fixture.admit("y", "t", 10s);
    fixture.admit("usual", "t", 10s, 1);
    fixture.admit("urgent", "t", 10s, 9);
    fixture.end("x");
    CHECK(fixture.order.back() == "urgent");
}

TEST_CASE("overload: a call that can't be admitted in time is refused at once, not at its deadline")
{
    queue_fixture fixture;
    fixture.admit("x", "t", 10s);
    fixture.admit("y", "t", 10s);
    // Five calls a second are admitted; twenty wait, so the next would wait four seconds.
    for (int i = 0; i < 20; ++i) {
        fixture.admit("w" + std::to_string(i), "t", 60s);
    }
    for (int i = 0; i < 10; ++i) {
        fixture.clock.advance(200ms);
        fixture.end(fixture.order[static_cast<std::size_t>(i)]);
    }
    for (int i = 20; i < 30; ++i) {
        fixture.admit("w" + std::to_string(i), "t", 60s);
    }
    fixture.admit("late", "t", 300ms);
    CHECK(fixture.outcomes.at("late") == replica_queue_outcome::too_many_waiting);
    // A failover is not refused for the estimated wait and is admitted first.
    fixture.admit("moved", "t", 300ms, 100, true);
    fixture.end(fixture.order.back());
    CHECK(fixture.outcomes.at("moved") == replica_queue_outcome::admitted);
}

// Guards against a call that still waits when its process ends, and so is neither sent nor refused.
TEST_CASE("when the queue closes, waiting calls are refused and no further one is admitted")
{
    queue_fixture fixture;
    fixture.admit("first", "a", 1s);
    fixture.admit("second", "a", 1s);
    fixture.admit("waiting", "a", 10s);
    REQUIRE(fixture.outcomes.count("waiting") == 0);
    fixture.queue.close();
    fixture.clock.advance(1ms);
    CHECK(fixture.outcomes.at("waiting") == replica_queue_outcome::waited_too_long);
    fixture.end("first");
    fixture.admit("late", "a", 1s);
    CHECK(fixture.outcomes.at("late") == replica_queue_outcome::waited_too_long);
}

TEST_CASE("no replica of the model: the call is refused at once")
{
    queue_fixture fixture;
    fixture.balancer.set_serving({});
    fixture.admit("a", "t", 10s);
    CHECK(fixture.outcomes.at("a") == replica_queue_outcome::no_replica);
}
