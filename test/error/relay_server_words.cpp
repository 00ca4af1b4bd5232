/** \file
 * Tests over sockets that a server that says it leaves, or asks for a pause, gets no calls.
 */
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "platform/engine_calls.h"
#include "support/relay_bench.h"

using namespace chervildyke;
using test::relay_bench;
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

/** A node before plain servers. */
struct desk_bench : relay_bench {
    desk_bench() : relay_bench(retry_rule::never) {}

    void list(const backend& server) { backends.apply(server, monotonic_clock::now()); }

    http_reply ask()
    {
        http_reply answer;
        const std::string address = "127.0.0.1:" + std::to_string(front.port());
        test::run_task(context, [&]() -> asio::awaitable<void> {
            http_request request;
            request.target = "/p/x";
            request.headers = {{"Host", "desk.example"},
                               {"X-Attempt-Id", "a" + std::to_string(++asked)},
                               {"Authorization", "Token k1"},
                               {"X-Deadline-Ms", "2000"}};
            http_client client(context.get_executor());
            auto reply = co_await client.call(address, request);
            REQUIRE(reply);
            answer = *reply;
        });
        return answer;
    }

    int asked = 0;
};

} // namespace

TEST_CASE("a plain server whose answer says that it leaves gets no call more, listed or not")
{
    desk_bench bench;
    plain_server leaves(bench.context, 200, {{"Server-Leaving", "1"}});
    bench.list(leaves.listed("i-1"));
    CHECK(bench.ask().status == 200);
    const http_reply refused = bench.ask();
    CHECK(refused.status == 503);
    CHECK(leaves.calls == 1);
    SUBCASE("its entry says again that it is ready")
    {
        bench.list(leaves.listed("i-1"));
        CHECK(bench.ask().status == 503);
        CHECK(leaves.calls == 1);
    }
    SUBCASE("another life of it may be called")
    {
        backend reborn = leaves.listed("i-1");
        reborn.started_ms = 2;
        bench.list(reborn);
        CHECK(bench.ask().status == 200);
    }
}

TEST_CASE("a refusal that says the server leaves counts as well")
{
    desk_bench bench;
    plain_server leaves(bench.context, 503, {{"Server-Leaving", "1"}, {"X-Not-Executed", "1"}});
    bench.list(leaves.listed("i-1"));
    CHECK(bench.ask().status == 503);
    CHECK(bench.ask().status == 503);
    CHECK(leaves.calls == 1);
}

TEST_CASE("a plain server that asks for a pause gets no call until it is over")
{
    desk_bench bench;
    plain_server busy(bench.context, 503, {{"Retry-After", "0.6"}, {"X-Not-Executed", "1"}});
    plain_server free(bench.context, 200, {});
    bench.list(busy.listed("i-1"));
    CHECK(bench.ask().status == 503);
    const http_reply refused = bench.ask();
    CHECK(refused.status == 503);
    // The caller hears when it may be served.
    CHECK(std::stod(std::string(find_header(refused.headers, "Retry-After"))) > 0.4);
    CHECK(busy.calls == 1);
    bench.list(free.listed("i-2"));
    CHECK(bench.ask().status == 200);
    CHECK(busy.calls == 1);
    SUBCASE("and is called again afterwards")
    {
        bench.backends.remove("i-2", monotonic_clock::now());
        test::run_task(bench.context, []() -> asio::awaitable<void> { co_await sleep_for(650ms); });
        bench.ask();
        CHECK(busy.calls == 2);
    }
}

TEST_CASE("a pause that can't be read, or that is none, changes nothing")
{
    for (const char* value : {"soon", "-5", "0", "nan", "Fri, 04 Dec 2026 12:00:00 GMT", "1s"}) {
        CAPTURE(value);
        desk_bench bench;
        plain_server odd(bench.context, 503, {{"Retry-After", value}, {"X-Not-Executed", "1"}});
        bench.list(odd.listed("i-1"));
        bench.ask();
        bench.ask();
        CHECK(odd.calls == 2);
    }
}

TEST_CASE("a pause on an answer that is no 503 is its caller's business")
{
    desk_bench bench;
    plain_server odd(bench.context, 429, {{"Retry-After", "30"}, {"X-Not-Executed", "1"}});
    bench.list(odd.listed("i-1"));
    bench.ask();
    bench.ask();
    CHECK(odd.calls == 2);
}

TEST_CASE("a replica whose head says that it leaves gets no new stream")
{
    relay_bench bench(retry_rule::resumable);
    bench.first.breaks = 99;
    bench.first.leaving = true;
    bench.call("k1");
    CHECK(bench.status == 200);
    CHECK(bench.whole);
    bench.serve_at({&bench.first});
    bench.call("k1");
    CHECK(bench.status == 503);
    CHECK(bench.first.calls == 1);
}

TEST_CASE("answers to orders and probes say it too")
{
    asio::io_context context;
    plain_server leaves(context, 200, {{"Server-Leaving", "1"}});
    std::vector<backend_notice> heard;
    const engine_calls engines = platform::make_engine_calls(
        std::make_shared<http_client>(context.get_executor()),
        [&heard](const backend&, const backend_notice& notice) { heard.push_back(notice); });
    const backend vm = leaves.listed("i-1");
    test::run_task(context, [&]() -> asio::awaitable<void> {
        engine_command order;
        order.replica = "r1";
        co_await engines.send(vm, order);
        co_await engines.probe(vm);
    });
    REQUIRE(heard.size() == 2);
    for (const backend_notice& notice : heard) {
        CHECK(notice.leaving);
        CHECK_FALSE(notice.pause);
    }
}
