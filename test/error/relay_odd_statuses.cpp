/** \file
 * Tests servers that answer with a status that HTTP does not define as one of an answer: under 100,
 * over 599, or 101 without a request to switch protocols. Such a head is no answer.
 */
#include "support/call_fixture.h"
#include "support/scripted_server.h"

using namespace chervildyke;
using namespace chervildyke::test;

namespace {

const std::vector<std::string> odd_statuses = {"000", "001", "042", "099",
                                               "101", "600", "789", "999"};

/** A node whose plain server and whose only head write scripted bytes. */
struct odd_fixture : call_fixture {
    explicit odd_fixture(retry_rule retry) : call_fixture(retry)
    {
        list_scripted("i-1", odd);
        serving_replica replica;
        replica.epoch = 7;
        replica.service = "pool";
        replica.model = "m";
        replica.head_id = "i-1";
        replica.head_address = odd.address();
        node.replica_lb->set_serving({replica});
    }

    void list_scripted(const std::string& id, const scripted_server& server)
    {
        backend listed;
        listed.id = id;
        listed.service = "desk";
        listed.address = server.address();
        listed.started_ms = 1;
        backends.apply(listed, monotonic_clock::now());
    }

    scripted_server odd{context};
};

std::string answer(const std::string& status, const std::string& headers)
{
    return "HTTP/1.1 " + status + " Odd\r\nX-Attempt-Id: call1\r\n" + headers +
           "Content-Length: 3\r\n\r\nodd";
}

} // namespace

// Guards against a client that gets the head of a server in trouble as the answer to its request.
TEST_CASE("a call whose server answers with a status that is none gets 502, and runs once")
{
    const std::vector<std::string> headers = {
        "", "X-Response-Seal: s\r\n", "X-Not-Executed: 1\r\n",
        "X-Response-Seal: s\r\nX-Not-Executed: 1\r\nRetry-After: 1\r\n"};
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    for (const std::string& status : odd_statuses) {
        for (const std::string& added : headers) {
            for (const std::string path : {"/p/x", "/a/x"}) {
                for (const std::string& before : {std::string(), interim}) {
                    CAPTURE(status);
                    CAPTURE(added);
                    CAPTURE(path);
                    CAPTURE(before);
                    odd_fixture fixture(retry_rule::never);
                    fixture.odd.answers.emplace_back(before + answer(status, added));
                    tcp::socket caller = fixture.begin_call(path, "400");
                    fixture.run(20ms);
                    std::string text;
                    for (int i = 0; i < 10 && text.empty(); ++i) {
                        fixture.run(50ms);
                        text = received(caller).text;
                    }
                    CHECK((text.starts_with("HTTP/1.1 502") || text.starts_with("HTTP/1.1 504")));
                    CHECK(text.find("X-Response-Seal") == std::string::npos);
                    CHECK(text.find("Retry-After") == std::string::npos);
                    CHECK(fixture.odd.answers.empty());
                }
            }
        }
    }
}

// Guards against taking such a head for a refusal or an answer although another server could
// answer.
TEST_CASE("an idempotent call goes on at another server after a status that is none")
{
    for (const std::string& status : odd_statuses) {
        CAPTURE(status);
        odd_fixture fixture(retry_rule::idempotent);
        plain_server other(fixture.context);
        fixture.odd.answers.emplace_back(answer(status, "X-Response-Seal: s\r\n"));
        tcp::socket caller = fixture.begin_call();
        fixture.list("i-2", other);
        fixture.run(200ms);
        CHECK(received(caller).status() == 200);
        CHECK(other.calls == 1);
    }
}

// Guards against bytes behind an answer without a body that are taken for the next answer.
TEST_CASE("a body behind an answer that has none is dropped with its connection")
{
    for (const std::string status : {"204", "304"}) {
        CAPTURE(status);
        odd_fixture fixture(retry_rule::never);
        fixture.odd.answers.emplace_back(answer(status, "X-Response-Seal: s\r\n"));
        fixture.odd.answers.emplace_back(answer("200", "X-Response-Seal: s\r\n"));
        tcp::socket first = fixture.begin_call();
        fixture.run(100ms);
        const received without_body(first);
        CHECK(without_body.status() == std::stoul(status));
        CHECK(without_body.text.find("odd") == std::string::npos);
        tcp::socket second = fixture.begin_call();
        fixture.run(100ms);
        const received whole(second);
        CHECK(whole.status() == 200);
        CHECK(whole.text.ends_with("odd"));
        CHECK(fixture.odd.connections == 2);
    }
}
