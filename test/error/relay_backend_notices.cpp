/** \file
 * Tests over sockets that a server whose answer states that it is leaving, or asks for a pause,
 * gets no calls.
 */
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "platform/engine_calls.h"
#include "support/relay_fixture.h"

using namespace chervildyke;
using test::relay_fixture;
namespace asio = boost::asio;

namespace {

/** A plain server that adds headers to its answers. */
struct plain_server {
    plain_server(asio::io_context& context, unsigned answers, std::vector<http_header> adds)
        : status(answers), added(std::move(adds)),
          server(context.get_executor(),
                 [this](http_exchange& exchange) { return serve(exchange); })
    {
        REQUIRE(server.listen("127.0.0.1", 0));
    }

    asio::awaitable<void> serve(http_exchange& exchange)
    {
        ++calls;
        http_reply reply;
        reply.status = status;
        reply.body = "done";
        reply.headers = added;
        reply.headers.push_back(
            {"X-Attempt-Id", std::string(exchange.request().header("X-Attempt-Id"))});
        reply.headers.push_back({"X-Response-Seal", "seal"});
        co_await exchange.respond(reply);
    }

    backend listed(const std::string& id) const
    {
        backend made;
        made.id = id;
        made.service = "desk";
        made.address = "127.0.0.1:" + std::to_string(server.port());
        made.started_ms = 1;
        return made;
    }

    unsigned status;
    std::vector<http_header> added;
    int calls = 0;
    http_server server;
};

/** A node in front of plain servers. */
struct plain_fixture : relay_fixture {
    plain_fixture() : relay_fixture(retry_rule::never) {}

    void list(const backend& server) { backends.apply(server, monotonic_clock::now()); }

    http_reply send_call()
    {
        http_reply answer;
        const std::string address = "127.0.0.1:" + std::to_string(front.port());
        test::run_task(context, [&]() -> asio::awaitable<void> {
            http_request request;
            request.target = "/p/x";
            request.headers = {{"Host", "desk.example"},
                               {"X-Attempt-Id", "a" + std::to_string(++calls_sent)},
                               {"Authorization", "Token k1"},
                               {"X-Deadline-Ms", "2000"}};
            http_client client(context.get_executor());
            auto reply = co_await client.call(address, request);
            REQUIRE(reply);
            answer = *reply;
        });
        return answer;
    }

    int calls_sent = 0;
};

} // namespace

TEST_CASE("a plain server whose answer states that it is leaving gets no more calls, listed or not")
{
    plain_fixture fixture;
    plain_server leaving_server(fixture.context, 200, {{"Server-Leaving", "1"}});
    fixture.list(leaving_server.listed("i-1"));
    CHECK(fixture.send_call().status == 200);
    const http_reply refused = fixture.send_call();
    CHECK(refused.status == 503);
    CHECK(leaving_server.calls == 1);
    SUBCASE("it is listed again as ready")
    {
        fixture.list(leaving_server.listed("i-1"));
        CHECK(fixture.send_call().status == 503);
        CHECK(leaving_server.calls == 1);
    }
    SUBCASE("a new incarnation of it may be called")
    {
        backend restarted = leaving_server.listed("i-1");
        restarted.started_ms = 2;
        fixture.list(restarted);
        CHECK(fixture.send_call().status == 200);
    }
}

TEST_CASE("a refusal that states that the server is leaving counts as well")
{
    plain_fixture fixture;
    plain_server leaving_server(fixture.context, 503,
                                {{"Server-Leaving", "1"}, {"X-Not-Executed", "1"}});
    fixture.list(leaving_server.listed("i-1"));
    CHECK(fixture.send_call().status == 503);
    CHECK(fixture.send_call().status == 503);
    CHECK(leaving_server.calls == 1);
}

TEST_CASE("a plain server that asks for a pause gets no calls until the pause is over")
{
    plain_fixture fixture;
    plain_server busy(fixture.context, 503, {{"Retry-After", "0.6"}, {"X-Not-Executed", "1"}});
    plain_server free(fixture.context, 200, {});
    fixture.list(busy.listed("i-1"));
    CHECK(fixture.send_call().status == 503);
    const http_reply refused = fixture.send_call();
    CHECK(refused.status == 503);
    // The Retry-After lasts until the end of the pause.
    CHECK(std::stod(std::string(find_header(refused.headers, "Retry-After"))) > 0.4);
    CHECK(busy.calls == 1);
    fixture.list(free.listed("i-2"));
    CHECK(fixture.send_call().status == 200);
    CHECK(busy.calls == 1);
    SUBCASE("it is called again afterwards")
    {
        fixture.backends.remove("i-2", monotonic_clock::now());
        test::run_task(fixture.context,
                       []() -> asio::awaitable<void> { co_await sleep_for(650ms); });
        fixture.send_call();
        CHECK(busy.calls == 2);
    }
}

TEST_CASE("a Retry-After that can't be parsed or is not positive changes nothing")
{
    for (const char* value : {"soon", "-5", "0", "nan", "Fri, 04 Dec 2026 12:00:00 GMT", "1s"}) {
        CAPTURE(value);
        plain_fixture fixture;
        plain_server odd(fixture.context, 503, {{"Retry-After", value}, {"X-Not-Executed", "1"}});
        fixture.list(odd.listed("i-1"));
        fixture.send_call();
        fixture.send_call();
        CHECK(odd.calls == 2);
    }
}

TEST_CASE("a Retry-After on an answer other than 503 does not pause the server")
{
    plain_fixture fixture;
    plain_server odd(fixture.context, 429, {{"Retry-After", "30"}, {"X-Not-Executed", "1"}});
    fixture.list(odd.listed("i-1"));
    fixture.send_call();
    fixture.send_call();
    CHECK(odd.calls == 2);
}

TEST_CASE("a replica whose head states that it is leaving gets no new stream")
{
    relay_fixture fixture(retry_rule::resumable);
    fixture.first.last_whole_event = 99;
    fixture.first.leaving = true;
    fixture.call("k1");
    CHECK(fixture.status == 200);
    CHECK(fixture.is_complete);
    fixture.serve_at({&fixture.first});
    fixture.call("k1");
    CHECK(fixture.status == 503);
    CHECK(fixture.first.calls == 1);
}

TEST_CASE("notices in answers to commands and probes are reported too")
{
    asio::io_context context;
    plain_server leaving_server(context, 200, {{"Server-Leaving", "1"}});
    std::vector<backend_notice> notices;
    const engine_calls engines = platform::make_engine_calls(
        std::make_shared<http_client>(context.get_executor()),
        [&notices](const backend&, const backend_notice& notice) { notices.push_back(notice); });
    const backend vm = leaving_server.listed("i-1");
    test::run_task(context, [&]() -> asio::awaitable<void> {
        engine_command command;
        command.replica = "r1";
        co_await engines.send(vm, command);
        co_await engines.probe(vm);
    });
    REQUIRE(notices.size() == 2);
    for (const backend_notice& notice : notices) {
        CHECK(notice.leaving);
        CHECK_FALSE(notice.pause);
    }
}
