/** \file
 * Tests who waits for a place at a replica, who goes first, and who is refused at once.
 */
#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "relay/call_gate.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

struct gate_bench {
    gate_bench()
    {
        engine_profile profile;
        profile.batch_slots = 2;
        profile.step_ms = 8;
        model_profile model;
        model.name = "m";
        profile.models = {model};
        board.set_profile("pool", profile);
        serving_replica replica;
        replica.epoch = 1;
        replica.service = "pool";
        replica.model = "m";
        board.set_serving({replica});
    }

    void enter(const std::string& name, const std::string& team, duration patience,
               std::uint32_t urgency = 0, bool goes_on = false)
    {
        gate_request request;
        request.wanted.service = "pool";
        request.wanted.model = "m";
        request.team = team;
        request.urgency = urgency;
        request.goes_on = goes_on;
        request.wait_until = monotonic_clock::now() + patience;
        asio::co_spawn(context, wait(name, std::move(request)), asio::detached);
        clock.advance(1ms);
    }

    asio::awaitable<void> wait(std::string name, gate_request request)
    {
        gate_answer answer = co_await gate.enter(std::move(request));
        verdicts[name] = answer.verdict;
        if (answer.verdict == gate_verdict::admitted) {
            order.push_back(name);
            uses[name] = std::move(answer.use);
        }
    }

    void end(const std::string& name)
    {
        uses.erase(name);
        gate.pump();
        clock.advance(1ms);
    }

    asio::io_context context;
    manual_clock clock{context};
    replica_balancer board{seeded_random(1)};
    call_gate gate{context.get_executor(), board};
    std::map<std::string, gate_verdict> verdicts;
    std::map<std::string, std::unique_ptr<replica_balancer::call>> uses;
    std::vector<std::string> order;
};

} // namespace

TEST_CASE("a call waits until a place is free, and takes it")
{
    gate_bench bench;
    bench.enter("a", "t", 200ms);
    bench.enter("b", "t", 200ms);
    bench.enter("c", "t", 200ms);
    CHECK(bench.order == std::vector<std::string>{"a", "b"});
    bench.end("a");
    CHECK(bench.order == std::vector<std::string>{"a", "b", "c"});
}

TEST_CASE("a call that finds no place in time is refused, and a freed place goes to the next")
{
    gate_bench bench;
    for (const char* name : {"a", "b", "c"}) {
        bench.enter(name, "t", 100ms);
    }
    bench.clock.advance(200ms);
    CHECK(bench.verdicts.at("c") == gate_verdict::waited_too_long);
    bench.enter("d", "t", 500ms);
    bench.end("a");
    CHECK(bench.verdicts.at("d") == gate_verdict::admitted);
}

TEST_CASE("a burst of one team does not keep the others waiting")
{
    gate_bench bench;
    bench.enter("x", "big", 10s);
    bench.enter("y", "big", 10s);
    for (int i = 0; i < 20; ++i) {
        bench.enter("big" + std::to_string(i), "big", 10s);
    }
    bench.enter("small", "small", 10s);
    bench.end("x");
    bench.end("y");
    CHECK(std::find(bench.order.begin(), bench.order.end(), "small") != bench.order.end());
}

TEST_CASE("an urgent call goes before those that wait")
{
    gate_bench bench;
    bench.enter("x", "t", 10s);
    bench.enter("y", "t", 10s);
    bench.enter("usual", "t", 10s, 1);
    bench.enter("urgent", "t", 10s, 9);
    bench.end("x");
    CHECK(bench.order.back() == "urgent");
}

TEST_CASE("overload: a call that can't be reached in time is refused at once, not at its deadline")
{
    gate_bench bench;
    bench.enter("x", "t", 10s);
    bench.enter("y", "t", 10s);
    // Five calls a second are admitted; twenty wait, so the next would wait four seconds.
    for (int i = 0; i < 20; ++i) {
        bench.enter("w" + std::to_string(i), "t", 60s);
    }
    for (int i = 0; i < 10; ++i) {
        bench.clock.advance(200ms);
        bench.end(bench.order[static_cast<std::size_t>(i)]);
    }
    for (int i = 20; i < 30; ++i) {
        bench.enter("w" + std::to_string(i), "t", 60s);
    }
    bench.enter("late", "t", 300ms);
    CHECK(bench.verdicts.at("late") == gate_verdict::too_many_waiting);
    // A call that lost its replica half way is not refused for that, and goes first.
    bench.enter("moved", "t", 300ms, 100, true);
    bench.end(bench.order.back());
    CHECK(bench.verdicts.at("moved") == gate_verdict::admitted);
}

TEST_CASE("no replica of the model: the call is refused at once")
{
    gate_bench bench;
    bench.board.set_serving({});
    bench.enter("a", "t", 10s);
    CHECK(bench.verdicts.at("a") == gate_verdict::no_replica);
}
