/** \file
 * Tests that a call counts as not run only on a refusal of that very attempt: a faulty server may
 * write an earlier refusal once more on a kept connection while it runs the next request.
 */
#include "support/relay_fixture.h"
#include "support/scripted_server.h"

using namespace chervildyke;
using namespace chervildyke::test;

namespace {

std::string refusal(const std::string& id)
{
    const std::string header = id.empty() ? "" : "X-Attempt-Id: " + id + "\r\n";
    return "HTTP/1.1 503 Service Unavailable\r\n" + header +
           "X-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nno";
}

std::string sealed_answer(const std::string& id, const std::string& type, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
           "\r\nX-Response-Seal: own\r\nContent-Type: " + type +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string stream_answer(const std::string& id)
{
    return sealed_answer(id, "text/event-stream", event(1) + event(2));
}

/** Lets the server serve as the head of replicas, or as the only server of the plain service. */
struct repeated_fixture : relay_fixture {
    explicit repeated_fixture(retry_rule retry) : relay_fixture(retry) { server.repeats = true; }

    void serve_replicas(std::uint64_t count)
    {
        std::vector<serving_replica> replicas;
        for (std::uint64_t epoch = 1; epoch <= count; ++epoch) {
            serving_replica replica;
            replica.epoch = epoch;
            replica.service = "pool";
            replica.model = "m";
            replica.head_id = "i1";
            replica.head_address = server.address();
            replicas.push_back(replica);
        }
        node.replica_lb->set_serving(replicas);
    }

    http_reply call(const std::string& target, const std::string& id)
    {
        http_reply answer;
        answer.status = 0;
        const std::string address = "127.0.0.1:" + std::to_string(front.port());
        run_task(context, [&]() -> asio::awaitable<void> {
            http_request request;
            request.method = "POST";
            request.target = target;
            request.headers = {{"Host", "desk.example"},      {"X-Attempt-Id", id},
                               {"Authorization", "Token k1"}, {"X-Model", "m"},
                               {"X-Token-Usage", "100,20"},   {"X-Deadline-Ms", "1500"}};
            http_client client(context.get_executor());
            auto reply = co_await client.call(address, request);
            if (reply) {
                answer = *reply;
            }
        });
        return answer;
    }

    test::scripted_server server{context};
};

} // namespace

// Guards against "not run" for a stream that its head runs: the head of two replicas refused the
// first attempt and wrote that refusal again before its answer to the second one.
TEST_CASE("a refusal of the call's earlier attempt does not answer its next attempt there")
{
    for (const retry_rule retry : {retry_rule::never, retry_rule::resumable}) {
        repeated_fixture fixture(retry);
        fixture.serve_replicas(2);
        fixture.server.answers = {refusal("c1"), stream_answer("c1")};
        const http_reply reply = fixture.call("/a/x", "c1");
        CHECK(fixture.server.answers.empty());
        CHECK(reply.status == 200);
        CHECK(reply.body == event(1) + event(2));
    }
}

TEST_CASE("a repeated refusal of an earlier call does not answer a stream")
{
    repeated_fixture fixture(retry_rule::never);
    fixture.serve_replicas(1);
    fixture.server.answers = {refusal("c1"), stream_answer("c2")};
    CHECK(fixture.call("/a/x", "c1").status == 503);
    const http_reply reply = fixture.call("/a/x", "c2");
    CHECK(reply.status == 200);
    CHECK(reply.body == event(1) + event(2));
}

TEST_CASE("a repeated refusal that names no call does not answer a stream")
{
    repeated_fixture fixture(retry_rule::never);
    fixture.serve_replicas(1);
    fixture.server.answers = {stream_answer("c1"), refusal("") + stream_answer("c2")};
    fixture.server.repeats = false;
    CHECK(fixture.call("/a/x", "c1").status == 200);
    CHECK(fixture.call("/a/x", "c2").status == 200);
    CHECK(fixture.server.connections == 1);
}

TEST_CASE("after a repeated refusal and no answer a call may have run")
{
    repeated_fixture fixture(retry_rule::never);
    fixture.serve_replicas(1);
    fixture.server.answers = {refusal("c1"), std::string()};
    CHECK(fixture.call("/a/x", "c1").status == 503);
    const http_reply reply = fixture.call("/a/x", "c2");
    const bool promises_nothing = reply.status == 502 || reply.status == 504;
    CHECK(promises_nothing);
}

TEST_CASE("a repeated refusal of an earlier call does not answer a plain call")
{
    repeated_fixture fixture(retry_rule::never);
    backend server;
    server.id = "i1";
    server.service = "desk";
    server.address = fixture.server.address();
    server.failure_domain = "a";
    fixture.backends.apply(server, monotonic_clock::now());
    fixture.server.answers = {refusal("c1"), sealed_answer("c2", "text/plain", "own"),
                              std::string()};
    CHECK(fixture.call("/p/x", "c1").status == 503);
    const http_reply reply = fixture.call("/p/x", "c2");
    CHECK(reply.status == 200);
    CHECK(reply.body == "own");
}
