/** \file
 * Tests what becomes of streams at the end of the grace time of a node that stops.
 */
#include "support/relay_fixture.h"

using namespace chervildyke;
using test::relay_fixture;

namespace {

void end_calls_after(relay_fixture& fixture, duration delay)
{
    boost::asio::co_spawn(
        fixture.context,
        [&fixture, delay]() -> boost::asio::awaitable<void> {
            co_await sleep_for(delay);
            fixture.node.end_calls();
        },
        boost::asio::detached);
}

} // namespace

// Guards against a caller that gets neither an answer nor a refusal, since the process ends while
// the server has not begun to answer.
TEST_CASE(
    "a stream without an event is answered before the process ends, and sent to no other server")
{
    for (const retry_rule retry : {retry_rule::never, retry_rule::resumable}) {
        CAPTURE(retry);
        relay_fixture fixture(retry);
        fixture.first.delay = 2s;
        fixture.serve_at({&fixture.first, &fixture.second});
        fixture.second.delay = 2s;
        end_calls_after(fixture, 200ms);
        const time_point began = monotonic_clock::now();
        fixture.call("k1");
        CHECK(fixture.status == 502); // It may have run.
        CHECK(monotonic_clock::now() - began < 1s);
        CHECK(fixture.first.calls + fixture.second.calls == 1);
    }
}

TEST_CASE("a stream that waits for a slot is refused before the process ends")
{
    relay_fixture fixture(retry_rule::never);
    fixture.node.end_calls();
    fixture.call("k1");
    CHECK(fixture.status == 503);
    CHECK(fixture.first.calls == 0);
}
