/** \file
 * Tests over sockets that a plain call gets the answer of a server that is silent, slow or fails,
 * or of another one, and a 503 only if it did not run.
 */
#include "support/call_fixture.h"

using namespace chervildyke;
using namespace chervildyke::test;

TEST_CASE("a plain call that may run once waits for a server that is silent for a second")
{
    call_fixture fixture(retry_rule::never);
    plain_server silent(fixture.context);
    plain_server other(fixture.context);
    silent.delay = 1s;
    fixture.list("i-1", silent);
    tcp::socket caller = fixture.begin_call();
    fixture.run(100ms);
    fixture.list("i-2", other);
    fixture.run(1300ms);
    CHECK(received(caller).status() == 200);
    CHECK(silent.calls == 1);
    CHECK(other.calls == 0);
}

TEST_CASE("a plain call that may run again is answered by another server")
{
    call_fixture fixture(retry_rule::idempotent);
    plain_server silent(fixture.context);
    plain_server other(fixture.context);
    silent.delay = 3s;
    fixture.list("i-1", silent);
    tcp::socket caller = fixture.begin_call();
    fixture.run(100ms);
    fixture.list("i-2", other);
    fixture.run(1300ms);
    CHECK(received(caller).status() == 200);
    CHECK(other.calls == 1);
}

// Guards against giving up the only server of a call because it is silent for a second.
TEST_CASE("a plain call that may run again waits for its server if there is no other")
{
    call_fixture fixture(retry_rule::idempotent);
    plain_server silent(fixture.context);
    silent.delay = 1s;
    fixture.list("i-1", silent);
    tcp::socket caller = fixture.begin_call();
    fixture.run(1400ms);
    CHECK(received(caller).status() == 200);
    CHECK(silent.calls == 1);
}

// Guards against giving up a silent server when the budget allows no retry.
TEST_CASE("a plain call that may run again waits for its server if no retry is left")
{
    call_fixture fixture(retry_rule::idempotent);
    fixture.node.limits.retry_ratio = 0;
    fixture.node.limits.retry_reserve = 0;
    plain_server silent(fixture.context);
    plain_server other(fixture.context);
    silent.delay = 1s;
    fixture.list("i-1", silent);
    tcp::socket caller = fixture.begin_call();
    fixture.run(100ms);
    fixture.list("i-2", other);
    fixture.run(1300ms);
    CHECK(received(caller).status() == 200);
    CHECK(other.calls == 0);
}

TEST_CASE("a plain call whose server stays silent gets 504 at its deadline")
{
    call_fixture fixture(retry_rule::never);
    plain_server silent(fixture.context);
    silent.delay = 2s;
    fixture.list("i-1", silent);
    tcp::socket caller = fixture.begin_call("/p/x", "500");
    fixture.run(700ms);
    CHECK(received(caller).status() == 504);
}

TEST_CASE("a call that may run once gets 502 if its server closes without an answer")
{
    call_fixture fixture(retry_rule::never);
    plain_server closing(fixture.context);
    plain_server other(fixture.context);
    closing.closes = true;
    closing.delay = 50ms;
    fixture.list("i-1", closing);
    tcp::socket caller = fixture.begin_call();
    fixture.run(20ms);
    fixture.list("i-2", other);
    fixture.run(200ms);
    CHECK(received(caller).status() == 502);
    CHECK(other.calls == 0);
}

TEST_CASE("a call that may run again is answered if its server closes without an answer")
{
    call_fixture fixture(retry_rule::idempotent);
    plain_server closing(fixture.context);
    plain_server other(fixture.context);
    closing.closes = true;
    closing.delay = 50ms;
    fixture.list("i-1", closing);
    tcp::socket caller = fixture.begin_call();
    fixture.run(20ms);
    fixture.list("i-2", other);
    fixture.run(200ms);
    CHECK(received(caller).status() == 200);
    CHECK(other.calls == 1);
}

// Guards against giving up a silent server before another one has answered.
TEST_CASE("a plain call is answered by its silent first server if the second one fails")
{
    call_fixture fixture(retry_rule::idempotent);
    plain_server silent(fixture.context);
    plain_server other(fixture.context);
    silent.delay = 1200ms;
    SUBCASE("it refuses")
    {
        other.status = 503;
        other.added = {{"X-Not-Executed", "1"}};
    }
    SUBCASE("it closes without an answer")
    {
        other.closes = true;
    }
    SUBCASE("it answers with a failure")
    {
        other.status = 500;
    }
    SUBCASE("it stays silent")
    {
        other.delay = 4s;
    }
    fixture.list("i-1", silent);
    tcp::socket caller = fixture.begin_call();
    fixture.run(100ms);
    fixture.list("i-2", other);
    fixture.run(1800ms);
    CHECK(received(caller).status() == 200);
    CHECK(silent.calls == 1);
    CHECK(other.calls == 1);
    CHECK(fixture.front.requests_in_progress() == 0);
}

// Guards against a refusal of a call that the silent one of its servers may have run.
TEST_CASE("a plain call whose first server is silent and whose second one refuses gets 504")
{
    call_fixture fixture(retry_rule::idempotent);
    plain_server silent(fixture.context);
    plain_server other(fixture.context);
    silent.delay = 3s;
    other.status = 503;
    other.added = {{"X-Not-Executed", "1"}};
    fixture.list("i-1", silent);
    tcp::socket caller = fixture.begin_call("/p/x", "1200");
    fixture.run(100ms);
    fixture.list("i-2", other);
    fixture.run(1500ms);
    CHECK(received(caller).status() == 504);
    CHECK(other.calls == 1);
}

// Guards against a failure of a server that is replaced by another one of the node.
TEST_CASE("a plain call whose servers are silent and fail gets the failure by its deadline")
{
    call_fixture fixture(retry_rule::idempotent);
    plain_server silent(fixture.context);
    plain_server other(fixture.context);
    silent.delay = 3s;
    other.status = 500;
    fixture.list("i-1", silent);
    tcp::socket caller = fixture.begin_call("/p/x", "1200");
    fixture.run(100ms);
    fixture.list("i-2", other);
    fixture.run(1500ms);
    CHECK(received(caller).status() == 500);
    CHECK(other.calls == 1);
}
