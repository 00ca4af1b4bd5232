/** \file
 * Tests who is let in, who waits and who is refused, under the manual clock.
 */
#include <doctest/doctest.h>

#include <map>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "routing/admission.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

/** Calls in and out of one admission. */
struct gate_under_test {
    asio::io_context context;
    manual_clock clock{context};
    std::uint32_t room = 2;
    admission gate{context.get_executor(), [this](const std::string&) { return room; }};
    std::map<std::string, int> let_in;
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

    void call(admission_request terms, duration hold = 100ms)
    {
        asio::co_spawn(context, run(std::move(terms), hold), asio::detached);
    }

    asio::awaitable<void> run(admission_request terms, duration hold)
    {
        const time_point came = monotonic_clock::now();
        admission_verdict verdict = co_await gate.enter(terms);
        if (!verdict.ticket) {
            refused.push_back(verdict.refusal.code);
            refused_after.push_back(monotonic_clock::now() - came);
            co_return;
        }
        ++let_in[terms.tenant];
        co_await sleep_for(hold);
    }
};

} // namespace

TEST_CASE("waiting tenants get through in proportion to their shares")
{
    gate_under_test test;
    for (int i = 0; i < 60; ++i) {
        test.call(test.request("small", 1));
        test.call(test.request("large", 3));
    }
    test.clock.advance(1s);
    const int both = test.let_in["small"] + test.let_in["large"];
    CHECK(both >= 18);
    CHECK(test.let_in["large"] >= 2 * test.let_in["small"]);
    CHECK(test.let_in["small"] >= 3);
}

TEST_CASE("one tenant's flood does not hold back another's single call")
{
    gate_under_test test;
    for (int i = 0; i < 200; ++i) {
        test.call(test.request("flood"));
    }
    test.clock.advance(150ms);
    test.call(test.request("quiet"));
    test.clock.advance(250ms);
    CHECK(test.let_in["quiet"] == 1);
}

TEST_CASE("a call that can't be answered by its deadline is refused at once")
{
    gate_under_test test;
    for (int i = 0; i < 40; ++i) {
        test.call(test.request("desk", 1, 60s), 500ms);
    }
    test.clock.advance(10ms);
    CHECK(test.refused.empty());
    test.call(test.request("desk", 1, 3s));
    test.clock.advance(1ms);
    REQUIRE(test.refused.size() == 1);
    CHECK(test.refused.front() == admission_error::too_late);
    CHECK(test.refused_after.front() == 0ms);
}

TEST_CASE("the queue is bounded and a tenant's limits hold")
{
    gate_under_test test;
    for (int i = 0; i < 30; ++i) {
        admission_request terms = test.request("desk");
        terms.max_queued_calls = 10;
        test.call(terms);
    }
    test.clock.advance(1ms);
    CHECK(test.refused.size() == 18); // Two run, ten wait.
    CHECK(test.refused.front() == admission_error::queue_full);
    test.clock.advance(10s);
    test.refused.clear();
    for (int i = 0; i < 5; ++i) {
        admission_request terms = test.request("one");
        terms.max_concurrent_calls = 3;
        test.call(terms);
    }
    test.clock.advance(1ms);
    CHECK(test.refused == std::vector<admission_error>(2, admission_error::tenant_concurrency));
    test.clock.advance(10s);
    test.refused.clear();
    for (int i = 0; i < 25; ++i) {
        admission_request terms = test.request("fast");
        terms.max_calls_per_second = 10;
        test.call(terms);
        test.clock.advance(10ms);
    }
    CHECK(test.refused.size() >= 12);
    CHECK(test.refused.front() == admission_error::tenant_rate);
}

TEST_CASE("a team without replicas refuses at once, and waiting calls go on when room grows")
{
    gate_under_test test;
    test.room = 0;
    test.call(test.request("desk"));
    test.clock.advance(1ms);
    REQUIRE(test.refused.size() == 1);
    CHECK(test.refused.front() == admission_error::no_capacity);
    test.room = 1;
    for (int i = 0; i < 4; ++i) {
        test.call(test.request("desk"), 10s);
    }
    test.clock.advance(1ms);
    CHECK(test.let_in["desk"] == 1);
    test.room = 4;
    test.gate.capacity_changed();
    test.clock.advance(1ms);
    CHECK(test.let_in["desk"] == 4);
}
