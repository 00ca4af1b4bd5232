/** \file
 * Tests that a server is not chosen once its entry in the list has expired.
 */
#include "support/call_fixture.h"

using namespace chervildyke;
using test::call_fixture;
using test::plain_server;
using test::received;

// Guards against calls to a server whose removal was read during an outage of the list, when
// nothing removes the entry for as long as the list does not change.
TEST_CASE("a server whose list entry has expired gets no calls although the entry is still there")
{
    call_fixture fixture(retry_rule::idempotent);
    plain_server gone(fixture.context);
    fixture.list("i-1", gone);
    backend head;
    head.id = "i1";
    head.service = "pool";
    head.started_ms = 0;
    fixture.backends.apply(head, monotonic_clock::now());
    const time_point now = monotonic_clock::now();
    fixture.backends.note_outage(now - 1900ms, now); // The grace period of the fixture is 2 s.
    fixture.backends.remove("i-1", now);
    fixture.backends.remove("i1", now);
    REQUIRE(fixture.backends.all().size() == 2);
    fixture.run(150ms);
    boost::asio::ip::tcp::socket plain = fixture.begin_call();
    boost::asio::ip::tcp::socket stream = fixture.begin_call("/a/x");
    fixture.run(1200ms);
    CHECK(received(plain).status() == 503);
    CHECK(received(stream).status() == 503);
    CHECK(gone.calls == 0);
    CHECK(fixture.first.calls == 0);
}
