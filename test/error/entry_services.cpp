/** \file
 * Tests plain services: backend servers that die, refuse and drop replies.
 */
#include <doctest/doctest.h>

#include "entry/service_call.h"
#include "support/run_task.h"

using namespace chervildyke;
using namespace chervildyke::test;
namespace asio = boost::asio;

namespace {

/** A backend server that answers as it is told. */
struct fake_backend {
    enum class mood { answers, refuses, drops_reply };

    explicit fake_backend(asio::io_context& context)
        : server(context.get_executor(),
                 [this](http_exchange& exchange) { return serve(exchange); })
    {
        REQUIRE(server.listen("127.0.0.1", 0));
    }

    asio::awaitable<void> serve(http_exchange& exchange)
    {
        ++requests;
        http_reply reply;
        reply.body = R"({"confirmation":")" +
                     std::string(exchange.request().header("X-Attempt-Id")) + R"("})";
        if (now == mood::refuses) {
            reply.status = 503;
            reply.body = R"({"code":"busy","reason":"busy","not_run":true})";
        }
        if (now == mood::drops_reply) {
            exchange.abort();
            co_return;
        }
        co_await exchange.respond(reply);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server.port()); }

    mood now = mood::answers;
    int requests = 0;
    http_server server;
};

/** An entry's service route behind a server, with two backend servers. */
struct service_bench {
    service_bench()
        : first(context), second(context),
          http(std::make_shared<http_client>(context.get_executor()))
    {
        schema::service_view& service = *view.add_services();
        service.set_name("stock");
        schema::service_operation& look_up = *service.add_operations();
        look_up.set_name("look_up");
        look_up.set_repeatable(true);
        service.add_operations()->set_name("order");
        for (const fake_backend* backend : {&first, &second}) {
            schema::backend_view& listed = *service.add_backends();
            listed.set_address(backend->address());
            listed.set_healthy(true);
        }
        service_call_context shared;
        shared.executor = context.get_executor();
        shared.random = seeded_random(1);
        shared.http = http;
        shared.metrics = std::make_shared<metrics_registry>();
        shared.guard.claim = [this](call_identity) -> asio::awaitable<claim_decision> {
            claim_decision decision;
            decision.result = verdict;
            co_return decision;
        };
        shared.guard.settle = [this](call_identity, call_outcome outcome, unsigned, std::string,
                                     std::string body) -> asio::awaitable<void> {
            settled = to_text(outcome);
            settled_body = body;
            co_return;
        };
        route = service_calls(std::move(shared), service_call_settings()).route();
        entry =
            std::make_unique<http_server>(context.get_executor(), [this](http_exchange& exchange) {
                return route(exchange, who, view);
            });
        REQUIRE(entry->listen("127.0.0.1", 0));
    }

    http_reply call(const std::string& operation)
    {
        http_reply answer;
        run_task(context, [&]() -> asio::awaitable<void> {
            http_request request;
            request.method = "POST";
            request.target = "/v1/services/stock/" + operation;
            request.body = "{}";
            const std::string address = "127.0.0.1:" + std::to_string(entry->port());
            const auto reply = co_await http->call(address, request);
            REQUIRE(reply);
            answer = *reply;
        });
        context.restart();
        return answer;
    }

    void set_mood(fake_backend::mood mood)
    {
        first.now = mood;
        second.now = mood;
    }
    int requests() const { return first.requests + second.requests; }

    asio::io_context context;
    fake_backend first;
    fake_backend second;
    std::shared_ptr<http_client> http;
    schema::routing_view view;
    caller who;
    schema::claim_result verdict = schema::claim_won;
    std::string settled;
    std::string settled_body;
    service_route route;
    std::unique_ptr<http_server> entry;
};

} // namespace

TEST_CASE("an order whose reply is lost is sent once and unknown")
{
    service_bench bench;
    bench.set_mood(fake_backend::mood::drops_reply);
    const http_reply reply = bench.call("order");
    CHECK(reply.header("X-Chervil-Outcome") == "unknown");
    CHECK(bench.settled == "unknown");
    CHECK(bench.requests() == 1);
}

TEST_CASE("an order that a backend server refused is tried at the next, then not run")
{
    service_bench bench;
    bench.set_mood(fake_backend::mood::refuses);
    const http_reply reply = bench.call("order");
    CHECK(reply.header("X-Chervil-Outcome") == "not_run");
    CHECK(bench.settled == "not_run");
    CHECK(bench.requests() == 2);
    bench.second.now = fake_backend::mood::answers;
    bench.first.now = fake_backend::mood::answers;
    const http_reply complete = bench.call("order");
    CHECK(complete.header("X-Chervil-Outcome") == "complete");
    CHECK(bench.settled_body == complete.body);
}

TEST_CASE("an order that was not claimed is not sent")
{
    service_bench bench;
    for (const auto verdict : {schema::claim_held, schema::claim_other_body, schema::claim_refused,
                               schema::claim_undecided}) {
        bench.verdict = verdict;
        const http_reply reply = bench.call("order");
        CHECK(reply.header("X-Chervil-Outcome") != "complete");
    }
    CHECK(bench.requests() == 0);
    CHECK(bench.settled.empty());
}

TEST_CASE("a repeatable operation goes to the next backend server after a lost reply")
{
    service_bench bench;
    bench.first.now = fake_backend::mood::drops_reply;
    for (int i = 0; i < 10; ++i) {
        CHECK(bench.call("look_up").header("X-Chervil-Outcome") == "complete");
    }
    CHECK(bench.settled.empty());
}

TEST_CASE("a call that may have run once is never not_run, though a later attempt was refused")
{
    service_bench bench;
    bench.first.now = fake_backend::mood::drops_reply;
    bench.second.now = fake_backend::mood::refuses;
    int unknown = 0;
    for (int i = 0; i < 10; ++i) {
        const int dropped = bench.first.requests;
        const std::string outcome(bench.call("look_up").header("X-Chervil-Outcome"));
        const bool reached_first = bench.first.requests > dropped;
        CHECK(outcome == (reached_first ? "unknown" : "not_run"));
        unknown += outcome == "unknown" ? 1 : 0;
    }
    CHECK(unknown > 0);
}

TEST_CASE("unknown operations and services without a healthy backend server are not run")
{
    service_bench bench;
    CHECK(bench.call("nothing").status == 404);
    bench.view.mutable_services(0)->mutable_backends(0)->set_healthy(false);
    bench.view.mutable_services(0)->mutable_backends(1)->set_healthy(false);
    const http_reply reply = bench.call("look_up");
    CHECK(reply.status == 503);
    CHECK(reply.header("X-Chervil-Outcome") == "not_run");
}

TEST_CASE("a backend server that fails is left out, tried once after a while, and taken back")
{
    asio::io_context context;
    manual_clock clock(context);
    const std::vector<backend_candidate> candidates = {{"near:1", "nea"}, {"far:1", "far"}};
    backend_balancer book("nea", seeded_random(1));
    const auto choose = [&] { return book.choose(candidates, {}, monotonic_clock::now()).value(); };
    CHECK(choose() == "near:1");
    for (int i = 0; i < 3; ++i) {
        book.note_start("near:1");
        book.note_end("near:1", backend_result::failed, monotonic_clock::now());
    }
    CHECK(choose() == "far:1");
    clock.advance(1100ms);
    CHECK(choose() == "near:1");
    book.note_start("near:1");
    CHECK(choose() == "far:1"); // The trial call is under way.
    book.note_end("near:1", backend_result::answered, monotonic_clock::now());
    CHECK(choose() == "near:1");
    for (int i = 0; i < 6; ++i) {
        book.note_start("near:1");
    }
    CHECK(choose() == "far:1"); // Much less busy.
}
