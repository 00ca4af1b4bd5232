/** \file
 * Guards against bad input that reaches an engine, affects other calls, or is answered by anything
 * but a 4xx error in the OpenAI format. It comes from callers that send malformed, oversized or
 * incomplete requests.
 */
#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include "support/scripted_engine.h"

using namespace chervildyke;
using namespace chervildyke::testing;
using asio::ip::tcp;

namespace {

struct entry_fixture {
    asio::io_context context;
    scripted_engine engine{context};
    entry_under_test entry{context, 4096};

    entry_fixture()
    {
        engine.answer = [](http_exchange& exchange, schema::engine_call call) {
            return stream_words(exchange, std::move(call), 3);
        };
        schema::routing_view view = view_of({engine.address()});
        view.mutable_teams(0)->mutable_parameters()->mutable_limits()->set_max_tokens_per_call(100);
        REQUIRE(entry.start(view));
    }

    /** Sends raw bytes and reads until the entry closes the connection. */
    std::string send_raw(const std::string& bytes)
    {
        std::string answer;
        entry.run([&]() -> asio::awaitable<void> {
            tcp::socket socket(context);
            const tcp::endpoint target(asio::ip::make_address("127.0.0.1"), entry.node->port());
            co_await socket.async_connect(target, asio::use_awaitable);
            const auto as_tuple = asio::as_tuple(asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(bytes), as_tuple);
            co_await asio::async_read(socket, asio::dynamic_buffer(answer), as_tuple);
        });
        return answer;
    }

    bool is_serving() { return entry.call(entry_under_test::chat(false)).status == 200; }
};

void check_error(const http_reply& reply, unsigned status)
{
    CAPTURE(reply.body);
    CHECK(reply.status == status);
    CHECK(reply.header("X-Chervil-Outcome") == "not_run");
    const auto document = nlohmann::json::parse(reply.body, nullptr, false);
    REQUIRE(document.is_object());
    CHECK(document["error"]["message"].is_string());
    CHECK(document["error"]["type"].is_string());
    CHECK(document["error"]["code"].is_string());
}

void check_raw_error(const std::string& answer, const std::string& status)
{
    CAPTURE(answer);
    CHECK(answer.starts_with("HTTP/1.1 " + status));
    CHECK(answer.find("X-Chervil-Outcome: not_run") != std::string::npos);
    const auto document =
        nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n") + 4), nullptr, false);
    CHECK(document.is_object());
}

} // namespace

TEST_CASE("bodies with bad JSON, wrong types, unknown teams or exceeded limits are refused")
{
    entry_fixture fixture;
    const std::vector<std::pair<std::string, unsigned>> bodies{
        {"", 400},
        {"{", 400},
        {"[]", 400},
        {"null", 400},
        {R"({"messages":[]})", 400},
        {R"({"model":7,"messages":[{"role":"user","content":"a"}]})", 400},
        {R"({"model":"desk","messages":"a"})", 400},
        {R"({"model":"desk","messages":[{"role":"user"}]})", 400},
        {R"({"model":"desk","messages":[{"role":"user","content":7}]})", 400},
        {R"({"model":"desk","messages":[{"role":"user","content":"a"}],"stream":"yes"})", 400},
        {R"({"model":"desk","messages":[{"role":"user","content":"a"}],"max_tokens":-1})", 400},
        {R"({"model":"desk","messages":[{"role":"user","content":"a"}],"max_tokens":1e99})", 400},
        {R"({"model":"desk","messages":[{"role":"user","content":"a"}],"max_tokens":101})", 400},
        {R"({"model":"desk","messages":[{"role":"user","content":"a"}],"n":2})", 400},
        {R"({"model":"nobody","messages":[{"role":"user","content":"a"}]})", 404},
        {R"({"model":"desk:none","messages":[{"role":"user","content":"a"}]})", 404},
        {std::string(5000, ' '), 413},
    };
    for (const auto& [body, status] : bodies) {
        http_request request = entry_under_test::chat(false);
        request.body = body;
        check_error(fixture.entry.call(request), status);
    }
    CHECK(fixture.engine.calls.empty());
    CHECK(fixture.is_serving());
}

TEST_CASE("bad paths, methods, deadlines and keys are refused")
{
    entry_fixture fixture;
    http_request request = entry_under_test::chat(false);
    request.headers.push_back({"X-Chervil-Deadline-Ms", "soon"});
    check_error(fixture.entry.call(request), 400);
    request = entry_under_test::chat(false);
    request.headers.push_back({"Idempotency-Key", std::string(300, 'k')});
    check_error(fixture.entry.call(request), 400);
    request.target = "/v1/nothing";
    check_error(fixture.entry.call(request), 404);
    request.method = "DELETE";
    check_error(fixture.entry.call(request), 405);
    CHECK(fixture.engine.calls.empty());
    CHECK(fixture.is_serving());
}

TEST_CASE(
    "oversized headers, incomplete requests and bytes that are no HTTP get an error and are closed")
{
    entry_fixture fixture;
    std::string flood = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n";
    for (int i = 0; i < 1000; ++i) {
        flood += "X-Flood-" + std::to_string(i) + ": aaaaaaaaaaaaaaaa\r\n";
    }
    check_raw_error(fixture.send_raw(flood + "\r\n"), "431");
    check_raw_error(fixture.send_raw("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
                                     "Content-Length: 50\r\n\r\n{\"model\""),
                    "408");
    check_raw_error(fixture.send_raw("\x16\x03\x01 not http at all\r\n\r\n"), "400");
    CHECK(fixture.engine.calls.empty());
    CHECK(fixture.is_serving());
}

TEST_CASE("a call in progress is not affected by bad requests")
{
    entry_fixture fixture;
    fixture.engine.answer = [](http_exchange& exchange,
                               schema::engine_call call) -> asio::awaitable<void> {
        co_await sleep_for(400ms);
        co_await stream_words(exchange, call, 3);
    };
    std::string response;
    asio::co_spawn(
        fixture.context,
        [&]() -> asio::awaitable<void> {
            const http_request request = entry_under_test::chat(false);
            const auto reply = co_await fixture.entry.client.call(fixture.entry.address(), request);
            response = reply ? reply->body : reply.failure().reason;
        },
        asio::detached);
    fixture.entry.run([&]() -> asio::awaitable<void> {
        for (int i = 0; i < 50; ++i) {
            http_request bad = entry_under_test::chat(false);
            bad.body = "{";
            const auto refused = co_await fixture.entry.client.call(fixture.entry.address(), bad);
            CHECK(refused.has_value());
        }
        for (int i = 0; i < 200 && response.empty(); ++i) {
            co_await sleep_for(10ms);
        }
    });
    CHECK(response.find("t0 t1 t2 ") != std::string::npos);
}
