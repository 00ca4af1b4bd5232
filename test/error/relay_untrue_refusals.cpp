/** \file
 * Tests calls that a server has run and answers with a status that states the opposite: 408, 429 or
 * 503 without the header of a refusal. Their callers must not be told that they did not run.
 */
#include "support/call_fixture.h"

using namespace chervildyke;
using namespace chervildyke::test;

namespace {

const std::vector<unsigned> untrue_statuses = {408, 429, 503};

/** \return the headers of an answer, of which some state a refusal or delay the caller's return. */
std::vector<http_header> misleading_headers()
{
    return {{"X-Response-Seal", "seal"}, {"Retry-After", "2"}};
}

void check_unknown_outcome(const received& answer)
{
    CHECK((answer.status() == 502 || answer.status() == 504));
    CHECK(answer.text.find("X-Response-Seal") == std::string::npos);
    CHECK(answer.text.find("Retry-After") == std::string::npos);
    CHECK(answer.text.find("X-Not-Executed") == std::string::npos);
}

} // namespace

// Guards against an order that ran and is sent again by its caller, who was told that it had not
// run.
TEST_CASE("an order that ran is not answered with a status that promises that it did not")
{
    for (const unsigned status : untrue_statuses) {
        CAPTURE(status);
        call_fixture fixture(retry_rule::never);
        plain_server failing(fixture.context);
        plain_server other(fixture.context);
        failing.status = status;
        failing.added = misleading_headers();
        failing.delay = 50ms;
        fixture.list("i-1", failing);
        tcp::socket caller = fixture.begin_call();
        fixture.run(30ms);
        fixture.list("i-2", other);
        fixture.run(150ms);
        check_unknown_outcome(received(caller));
        CHECK(failing.calls == 1);
        CHECK(other.calls == 0);
    }
}

// The same for streams, which may run once unless they can be resumed.
TEST_CASE("a stream whose head ran it is not answered with a status that promises the opposite")
{
    for (const unsigned status : untrue_statuses) {
        for (const retry_rule retry : {retry_rule::never, retry_rule::resumable}) {
            CAPTURE(status);
            call_fixture fixture(retry);
            http_reply refusal;
            refusal.status = status;
            refusal.headers = misleading_headers();
            fixture.first.refusal = refusal;
            tcp::socket caller = fixture.begin_call("/a/x", "500");
            fixture.run(700ms);
            check_unknown_outcome(received(caller));
            CHECK(fixture.first.calls == 1);
        }
    }
}

TEST_CASE("a resumable stream goes on at another head after a status that promises the opposite")
{
    call_fixture fixture(retry_rule::resumable);
    http_reply refusal;
    refusal.status = 503;
    fixture.first.refusal = refusal;
    fixture.first.delay = 50ms;
    tcp::socket caller = fixture.begin_call("/a/x");
    fixture.run(30ms);
    fixture.serve_at({&fixture.first, &fixture.second});
    fixture.run(300ms);
    CHECK(received(caller).status() == 200);
    CHECK(fixture.second.calls == 1);
}

// Guards also against the promise of the last attempt, which says nothing of the first one.
TEST_CASE("an idempotent call is sent to another server after a status that promises the opposite")
{
    struct other_answer {
        unsigned status;
        std::vector<http_header> headers;
        unsigned forwarded; // What the caller gets.
    };
    const std::vector<other_answer> answers = {
        {200, {}, 200}, {500, {}, 500}, {503, {{"X-Not-Executed", "1"}}, 502}, {503, {}, 502}};
    for (const unsigned status : untrue_statuses) {
        for (const other_answer& answer : answers) {
            CAPTURE(status);
            CAPTURE(answer.status);
            call_fixture fixture(retry_rule::idempotent);
            plain_server failing(fixture.context);
            plain_server other(fixture.context);
            failing.status = status;
            failing.delay = 50ms;
            other.status = answer.status;
            other.added = answer.headers;
            fixture.list("i-1", failing);
            tcp::socket caller = fixture.begin_call();
            fixture.run(30ms);
            fixture.list("i-2", other);
            fixture.run(150ms);
            CHECK(received(caller).status() == answer.forwarded);
            CHECK(other.calls == 1);
        }
    }
}

// A refusal that states that the call did not run stays one.
TEST_CASE("a call that its server refused is told that it did not run")
{
    for (const unsigned status : {421U, 429U, 503U}) {
        CAPTURE(status);
        call_fixture fixture(retry_rule::never);
        plain_server full(fixture.context);
        full.status = status;
        full.added = {{"X-Not-Executed", "1"}};
        fixture.list("i-1", full);
        tcp::socket caller = fixture.begin_call();
        fixture.run(100ms);
        CHECK(received(caller).status() == 503);
    }
}

// Guards against a failing server that keeps its share of the calls.
TEST_CASE("a server that answers with untrue refusals is ejected like one that does not answer")
{
    call_fixture fixture(retry_rule::never);
    plain_server failing(fixture.context);
    plain_server other(fixture.context);
    failing.status = 503;
    other.delay = 1ms;
    fixture.list("i-1", failing);
    fixture.list("i-2", other);
    constexpr int orders = 40;
    for (int i = 0; i < orders; ++i) {
        tcp::socket caller = fixture.begin_call();
        fixture.run(10ms);
    }
    CHECK(failing.calls >= 3);
    CHECK(failing.calls < orders / 4);
}
