/** \file
 * Tests servers that work but send nothing for a second: an answer that has begun there is not cut
 * off, whatever becomes of the attempt that the node makes elsewhere meanwhile.
 */
#include "support/relay_fixture.h"

using namespace chervildyke;
using test::event;
using test::relay_fixture;

namespace {

/** The first head pauses for a second after its second event and then finishes its stream. */
struct silent_server_fixture : relay_fixture {
    silent_server_fixture() : relay_fixture(retry_rule::resumable)
    {
        first.last_whole_event = 99;
        first.silent_after_event = 2;
        first.silence = 1s;
    }

    void check_whole_answer() const
    {
        CHECK(status == 200);
        CHECK(body == event(1) + event(2) + event(3) + event(4) + event(5));
        CHECK(is_complete);
        CHECK(seal == "first");
    }
};

http_reply not_run()
{
    http_reply reply;
    reply.status = 503;
    reply.headers = {{"X-Not-Executed", "1"}};
    return reply;
}

http_reply server_error()
{
    http_reply reply;
    reply.status = 500;
    reply.headers = {{"X-Response-Seal", "second"}};
    reply.body = "the server failed";
    return reply;
}

} // namespace

// Guards against cutting off a stream whose server is silent for a second, when the replica to
// which the call fails over refuses it.
TEST_CASE("a stream survives a silent second of its server although the other replica refuses")
{
    silent_server_fixture fixture;
    fixture.second.refusal = not_run();
    fixture.call("k1");
    fixture.check_whole_answer();
}

// Guards against the same when the other replica answers with an error.
TEST_CASE("a stream survives a silent second of its server although the other replica fails")
{
    silent_server_fixture fixture;
    fixture.second.refusal = server_error();
    fixture.call("k1");
    fixture.check_whole_answer();
}

// Guards against the same when the other replica breaks off before its first event.
TEST_CASE("a stream survives a silent second of its server although the other replica breaks off")
{
    silent_server_fixture fixture;
    fixture.second.last_whole_event = 0;
    fixture.call("k1");
    fixture.check_whole_answer();
}

// Guards against taking a comment of the other replica for its answer.
TEST_CASE(
    "a stream survives a silent second of its server although the other replica only comments")
{
    silent_server_fixture fixture;
    fixture.second.comment = ": still there\n\n";
    fixture.second.last_whole_event = 0;
    fixture.call("k1");
    fixture.check_whole_answer();
}

// Guards against giving up the server that resumes first when both are silent at once.
TEST_CASE("a stream resumes with its server although another attempt waits at a silent replica")
{
    silent_server_fixture fixture;
    fixture.second.delay = 2500ms;
    const time_point begin = monotonic_clock::now();
    fixture.call("k1");
    fixture.check_whole_answer();
    CHECK(monotonic_clock::now() - begin < 2s); // Callers leave after a gap of 2 s.
}

TEST_CASE("a call waits for the first event of a silent server although the other replica refuses")
{
    relay_fixture fixture(retry_rule::resumable);
    fixture.first.last_whole_event = 99;
    fixture.first.delay = 1s;
    fixture.second.refusal = not_run();
    fixture.join_second_after(100ms);
    fixture.call("k1");
    CHECK(fixture.status == 200);
    CHECK(fixture.is_complete);
    CHECK(fixture.seal == "first");
}

TEST_CASE("a stream goes on elsewhere when its server stays silent, and is not sent twice")
{
    silent_server_fixture fixture;
    fixture.first.silence = 4s;
    fixture.call("k1");
    fixture.check_whole_answer();
    CHECK(fixture.first.calls == 1);
    CHECK(fixture.second.calls == 1);
}
