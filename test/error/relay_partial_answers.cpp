/** \file
 * Tests over sockets that a caller gets no success from a part of a server's answer, wherever the
 * server stops and however it ends the connection.
 */
#include <string>
#include <vector>

#include "support/relay_fixture.h"
#include "support/scripted_server.h"

using namespace chervildyke;
using test::after_answer;
using test::relay_fixture;
using test::run_task;
using test::scripted_answer;
using test::scripted_server;
namespace asio = boost::asio;

namespace {

const std::string answer_headers =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: call1\r\nX-Response-Seal: seal\r\n";

struct framed_answer {
    std::string path;
    std::string head;
    std::string sent_body;
    std::string body;
    bool ends_with_connection; // Its body ends where its connection is closed.

    std::string whole() const { return head + sent_body; }
};

std::vector<framed_answer> framed_answers(const std::string& path, const std::string& body)
{
    const std::string length = std::to_string(body.size());
    return {{path, answer_headers + "Content-Length: " + length + "\r\n\r\n", body, body, false},
            {path, answer_headers + "Transfer-Encoding: chunked\r\n\r\n",
             "5\r\n" + body.substr(0, 5) + "\r\n7\r\n" + body.substr(5) + "\r\n0\r\n\r\n", body,
             false},
            {path, answer_headers + "Connection: close\r\n\r\n", body, body, true}};
}

const std::string plain_path = "/p/x";
const std::string stream_path = "/a/x";

/** A node whose two servers, or heads of replicas, share a script. */
struct partial_fixture : relay_fixture {
    explicit partial_fixture(retry_rule retry) : relay_fixture(retry)
    {
        published_configuration::builder builder;
        for (call_route route : configuration->routes()) {
            route.max_attempts = 2;
            builder.route(route);
        }
        for (const auto& [name, service] : configuration->services()) {
            builder.service(service);
        }
        configuration = builder.version(configuration->version() + 1).build();
        std::vector<serving_replica> replicas;
        for (scripted_server* server : {&one, &other}) {
            server->script = &script;
            backend listed;
            listed.id = "i" + std::to_string(replicas.size() + 1);
            listed.service = "desk";
            listed.address = server->address();
            listed.started_ms = 1;
            backends.apply(listed, monotonic_clock::now());
            serving_replica replica;
            replica.epoch = replicas.size() + 1;
            replica.service = "pool";
            replica.model = "m";
            replica.head_id = listed.id;
            replica.head_address = listed.address;
            replicas.push_back(replica);
        }
        node.replica_lb->set_serving(replicas);
    }

    http_result<http_reply> call(const std::string& path)
    {
        http_result<http_reply> reply =
            http_failure{http_error::not_sent, "the call has not ended"};
        run_task(context, [&]() -> asio::awaitable<void> {
            http_request request;
            request.method = "POST";
            request.target = path;
            request.headers = {{"Host", "desk.example"},
                               {"X-Attempt-Id", "call1"},
                               {"X-Model", "m"},
                               {"X-Token-Usage", "100,20"},
                               {"X-Deadline-Ms", "4500"}};
            http_client client(context.get_executor());
            const std::string address = "127.0.0.1:" + std::to_string(front.port());
            reply = co_await client.call(address, request);
        });
        return reply;
    }

    std::deque<scripted_answer> script;
    scripted_server one{context};
    scripted_server other{context};
};

/** Makes the node keep a connection to each server. */
void keep_connections(partial_fixture& fixture)
{
    run_task(fixture.context, [&]() -> asio::awaitable<void> {
        http_request request;
        request.method = "POST";
        request.target = "/";
        for (const scripted_server* server : {&fixture.one, &fixture.other}) {
            fixture.script.emplace_back("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
            const auto reply = co_await fixture.node.http->call(server->address(), request);
            REQUIRE(reply);
        }
    });
}

/** Calls a service whose server ends the connection after each part of the answer in turn.
 * \param kept the node has a connection to each server already.
 * \param check is given each reply to a part that is no whole answer.
 */
template <typename Check>
void check_every_part(const framed_answer& answer, retry_rule retry, bool kept, Check check)
{
    const std::string bytes = answer.whole();
    for (const after_answer end : {after_answer::close, after_answer::reset}) {
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            CAPTURE(bytes);
            CAPTURE(length);
            CAPTURE(kept);
            partial_fixture fixture(retry);
            if (kept) {
                keep_connections(fixture);
            }
            fixture.script.emplace_back(bytes.substr(0, length), end);
            fixture.script.emplace_back(framed_answers(answer.path, answer.body).front().whole());
            const auto reply = fixture.call(answer.path);
            CHECK(fixture.one.connections + fixture.other.connections >= (kept ? 2 : 1));
            const bool may_be_whole = answer.ends_with_connection && end == after_answer::close &&
                                      length >= answer.head.size();
            if (!may_be_whole) {
                check(fixture, reply);
            }
        }
    }
}

void check_failed_once(const partial_fixture& fixture, const http_result<http_reply>& reply)
{
    CHECK(fixture.script.size() == 1); // The other answer was not asked for.
    if (reply) {
        const bool promises_nothing = reply->status == 502 || reply->status == 504;
        CHECK(promises_nothing);
    }
}

} // namespace

// Guards against a success framed as whole, and against a promise that the call did not run.
TEST_CASE("a plain call that may run once gets 502 or 504 if any part of its answer is missing")
{
    for (const framed_answer& answer : framed_answers(plain_path, "twelve bytes")) {
        for (const bool kept : {false, true}) {
            check_every_part(
                answer, retry_rule::never, kept,
                [](const partial_fixture& fixture, const http_result<http_reply>& reply) {
                    REQUIRE(reply);
                    check_failed_once(fixture, reply);
                });
        }
    }
}

// Guards against a success framed as whole from the part of an answer.
TEST_CASE("a plain call that may run again gets the other server's whole answer")
{
    for (const framed_answer& answer : framed_answers(plain_path, "twelve bytes")) {
        for (const bool kept : {false, true}) {
            check_every_part(answer, retry_rule::idempotent, kept,
                             [&](const partial_fixture&, const http_result<http_reply>& reply) {
                                 REQUIRE(reply);
                                 CHECK(reply->status == 200);
                                 CHECK(reply->body == answer.body);
                             });
        }
    }
}

// Guards against a stream framed as whole, and against a promise that the call did not run.
TEST_CASE("a stream that may run once is not framed as whole if any part of it is missing")
{
    for (const framed_answer& answer : framed_answers(stream_path, "id: 1\ndata\n\n")) {
        for (const bool kept : {false, true}) {
            check_every_part(answer, retry_rule::never, kept, check_failed_once);
        }
    }
}

// Guards against taking an interim answer for the answer, whose rest the next call then reads.
TEST_CASE("a call whose server sends interim answers first gets the whole answer")
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: call1\r\n\r\n";
    for (const std::string& path : {plain_path, stream_path}) {
        for (const framed_answer& answer : framed_answers(path, "id: 1\ndata\n\n")) {
            CAPTURE(path);
            CAPTURE(answer.head);
            partial_fixture fixture(retry_rule::never);
            const after_answer end =
                answer.ends_with_connection ? after_answer::close : after_answer::keep;
            fixture.script.emplace_back(interim + interim + answer.whole(), end);
            const auto reply = fixture.call(path);
            REQUIRE(reply);
            CHECK(reply->status == 200);
            CHECK(reply->body == answer.body);
        }
    }
}
