/** \file
 * Tests which calls are admitted, queued and refused, under the manual clock.
 */
#include <doctest/doctest.h>

#include <map>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "routing/admission.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

/** Runs calls through one admission and counts the results. */
struct admission_fixture {
    asio::io_context context;
    manual_clock clock{context};
    std::uint32_t capacity = 2;
    admission controller{context.get_executor(), [this](const std::string&) { return capacity; }};
    std::map<std::string, int> admitted;
    std::vector<admission_error> refused;
    std::vector<duration> refused_after;

    admission_request request(const std::string& tenant, std::uint32_t share = 1,
                              duration deadline = 60s) const
    {
        admission_request made;
        made.team = "desk";
        made.tenant = tenant;
        made.share = share;
        made.deadline = monotonic_clock::now() + deadline;
        return made;
    }

    void call(admission_request request, duration hold = 100ms)
    {
        asio::co_spawn(context, run(std::move(request), hold), asio::detached);
    }

    asio::awaitable<void> run(admission_request request, duration hold)
    {
        const time_point arrived_at = monotonic_clock::now();
        admission_decision decision = co_await controller.admit(request);
        if (!decision.ticket) {
            refused.push_back(decision.refusal.code);
            refused_after.push_back(monotonic_clock::now() - arrived_at);
            co_return;
        }
        ++admitted[request.tenant];
        co_await sleep_for(hold);
    }
};

} // namespace

TEST_CASE("queued calls are admitted in proportion to the shares of their tenants")
{
    admission_fixture test;
    for (int i = 0; i < 60; ++i) {
        test.call(test.request("small", 1));
        test.call(test.request("large", 3));
    }
    test.clock.advance(1s);
    const int both = test.admitted["small"] + test.admitted["large"];
    CHECK(both >= 18);
    CHECK(test.admitted["large"] >= 2 * test.admitted["small"]);
    CHECK(test.admitted["small"] >= 3);
}

TEST_CASE("a flood of one tenant does not delay a single call of another")
{
    admission_fixture test;
    for (int i = 0; i < 200; ++i) {
        test.call(test.request("flood"));
    }
    test.clock.advance(150ms);
    test.call(test.request("quiet"));
    test.clock.advance(250ms);
    CHECK(test.admitted["quiet"] == 1);
}

TEST_CASE("a call that can't be answered by its deadline is refused on arrival")
{
    admission_fixture test;
    for (int i = 0; i < 40; ++i) {
        test.call(test.request("desk", 1, 60s), 500ms);
    }
    test.clock.advance(10ms);
    CHECK(test.refused.empty());
    test.call(test.request("desk", 1, 3s));
    test.clock.advance(1ms);
    REQUIRE(test.refused.size() == 1);
    CHECK(test.refused.front() == admission_error::deadline_unreachable);
    CHECK(test.refused_after.front() == 0ms);
}

TEST_CASE("the queue is bounded and a tenant's limits are enforced")
{
    admission_fixture test;
    for (int i = 0; i < 30; ++i) {
        admission_request request = test.request("desk");
        request.max_queued_calls = 10;
        test.call(request);
    }
    test.clock.advance(1ms);
    CHECK(test.refused.size() == 18); // Two run, ten are queued.
    CHECK(test.refused.front() == admission_error::queue_full);
    test.clock.advance(10s);
    test.refused.clear();
    for (int i = 0; i < 5; ++i) {
        admission_request request = test.request("one");
        request.max_concurrent_calls = 3;
        test.call(request);
    }
    test.clock.advance(1ms);
    CHECK(test.refused == std::vector<admission_error>(2, admission_error::tenant_concurrency));
    test.clock.advance(10s);
    test.refused.clear();
    for (int i = 0; i < 25; ++i) {
        admission_request request = test.request("fast");
        request.max_calls_per_second = 10;
        test.call(request);
        test.clock.advance(10ms);
    }
    CHECK(test.refused.size() >= 12);
    CHECK(test.refused.front() == admission_error::tenant_rate);
}

TEST_CASE("calls for a team without replicas are refused on arrival, and queued calls are admitted "
          "when capacity grows")
{
    admission_fixture test;
    test.capacity = 0;
    test.call(test.request("desk"));
    test.clock.advance(1ms);
    REQUIRE(test.refused.size() == 1);
    CHECK(test.refused.front() == admission_error::no_capacity);
    test.capacity = 1;
    for (int i = 0; i < 4; ++i) {
        test.call(test.request("desk"), 10s);
    }
    test.clock.advance(1ms);
    CHECK(test.admitted["desk"] == 1);
    test.capacity = 4;
    test.controller.capacity_changed();
    test.clock.advance(1ms);
    CHECK(test.admitted["desk"] == 4);
}
