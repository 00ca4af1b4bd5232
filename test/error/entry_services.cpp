/** \file
 * Guards against an order that is sent again after it may have run, and the outcome not_run for a
 * call that may have run. It comes about when a backend server runs a call and its reply is lost,
 * and when the retry on the next backend server is refused.
 */
#include <deque>
#include <utility>

#include <doctest/doctest.h>

#include "entry/service_proxy.h"
#include "support/run_task.h"

using namespace chervildyke;
using namespace chervildyke::test;
namespace asio = boost::asio;

namespace {

/** A backend server with selectable behavior. */
struct fake_backend {
    enum class behavior { answers, refuses, fails, drops_reply };

    /** What the servers that share it do with their next requests, and after which delay. */
    using behavior_script = std::deque<std::pair<behavior, duration>>;

    fake_backend(asio::io_context& context, behavior_script& shared_script)
        : script(shared_script), server(context.get_executor(),
                                        [this](http_exchange& exchange) { return serve(exchange); })
    {
        REQUIRE(server.listen("127.0.0.1", 0));
    }

    asio::awaitable<void> serve(http_exchange& exchange)
    {
        ++requests;
        behavior now = current_behavior;
        if (!script.empty()) {
            now = script.front().first;
            const duration delay = script.front().second;
            script.pop_front();
            co_await sleep_for(delay);
        }
        http_reply reply;
        reply.body = R"({"confirmation":")" +
                     std::string(exchange.request().header("X-Attempt-Id")) + R"("})";
        if (now == behavior::refuses) {
            reply.status = 503;
            reply.body = R"({"code":"busy","reason":"busy","not_run":true})";
        }
        if (now == behavior::fails) {
            reply.status = failure_status;
            reply.body = "failed";
        }
        if (now == behavior::drops_reply) {
            exchange.abort();
            co_return;
        }
        co_await exchange.respond(reply);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server.port()); }

    behavior_script& script;
    behavior current_behavior = behavior::answers; // After the script.
    unsigned failure_status = 500;
    int requests = 0;
    http_server server;
};

/** The service handler of an entry behind an HTTP server, with two backend servers. */
struct service_fixture {
    service_fixture()
        : first(context, script), second(context, script),
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
        service_proxy_context proxy_context;
        proxy_context.executor = context.get_executor();
        proxy_context.random = seeded_random(1);
        proxy_context.http = http;
        proxy_context.metrics = std::make_shared<metrics_registry>();
        proxy_context.at_most_once.claim =
            [this](call_identity) -> asio::awaitable<claim_decision> {
            claim_decision decision;
            decision.result = claim_result;
            co_return decision;
        };
        proxy_context.at_most_once.settle = [this](call_identity, call_outcome outcome, unsigned,
                                                   std::string,
                                                   std::string body) -> asio::awaitable<void> {
            settled = to_text(outcome);
            settled_body = body;
            co_return;
        };
        handler = service_proxy(std::move(proxy_context), service_proxy_settings()).handler();
        entry =
            std::make_unique<http_server>(context.get_executor(), [this](http_exchange& exchange) {
                return handler(exchange, caller, view);
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
            request.headers = headers;
            request.body = "{}";
            const std::string address = "127.0.0.1:" + std::to_string(entry->port());
            const auto reply = co_await http->call(address, request);
            REQUIRE(reply);
            answer = *reply;
        });
        context.restart();
        return answer;
    }

    void set_behavior(fake_backend::behavior behavior)
    {
        first.current_behavior = behavior;
        second.current_behavior = behavior;
    }
    int requests() const { return first.requests + second.requests; }

    asio::io_context context;
    fake_backend::behavior_script script;
    fake_backend first;
    fake_backend second;
    std::shared_ptr<http_client> http;
    schema::routing_view view;
    caller_info caller;
    schema::claim_result claim_result = schema::claim_won;
    std::vector<http_header> headers; // Of each call.
    std::string settled;
    std::string settled_body;
    service_call_handler handler;
    std::unique_ptr<http_server> entry;
};

} // namespace

TEST_CASE("an order whose reply is lost is sent once and has the outcome unknown")
{
    service_fixture fixture;
    fixture.set_behavior(fake_backend::behavior::drops_reply);
    const http_reply reply = fixture.call("order");
    CHECK(reply.header("X-Chervil-Outcome") == "unknown");
    CHECK(fixture.settled == "unknown");
    CHECK(fixture.requests() == 1);
}

TEST_CASE("an order that a backend server refused is retried on the next one, and is not_run if "
          "all refuse")
{
    service_fixture fixture;
    fixture.set_behavior(fake_backend::behavior::refuses);
    const http_reply reply = fixture.call("order");
    CHECK(reply.header("X-Chervil-Outcome") == "not_run");
    CHECK(fixture.settled == "not_run");
    CHECK(fixture.requests() == 2);
    fixture.second.current_behavior = fake_backend::behavior::answers;
    fixture.first.current_behavior = fake_backend::behavior::answers;
    const http_reply complete = fixture.call("order");
    CHECK(complete.header("X-Chervil-Outcome") == "complete");
    CHECK(fixture.settled_body == complete.body);
}

TEST_CASE("an order that was not claimed is not sent")
{
    service_fixture fixture;
    for (const auto claim_result : {schema::claim_held, schema::claim_other_body,
                                    schema::claim_refused, schema::claim_undecided}) {
        fixture.claim_result = claim_result;
        const http_reply reply = fixture.call("order");
        CHECK(reply.header("X-Chervil-Outcome") != "complete");
    }
    CHECK(fixture.requests() == 0);
    CHECK(fixture.settled.empty());
}

TEST_CASE("an idempotent operation is retried on the next backend server after a lost reply")
{
    service_fixture fixture;
    fixture.first.current_behavior = fake_backend::behavior::drops_reply;
    for (int i = 0; i < 10; ++i) {
        CHECK(fixture.call("look_up").header("X-Chervil-Outcome") == "complete");
    }
    CHECK(fixture.settled.empty());
}

TEST_CASE("the outcome of a call that may have run is unknown, even if a later attempt was refused")
{
    service_fixture fixture;
    fixture.first.current_behavior = fake_backend::behavior::drops_reply;
    fixture.second.current_behavior = fake_backend::behavior::refuses;
    int unknown = 0;
    for (int i = 0; i < 10; ++i) {
        const int requests_before = fixture.first.requests;
        const std::string outcome(fixture.call("look_up").header("X-Chervil-Outcome"));
        const bool reached_first = fixture.first.requests > requests_before;
        CHECK(outcome == (reached_first ? "unknown" : "not_run"));
        unknown += outcome == "unknown" ? 1 : 0;
    }
    CHECK(unknown > 0);
}

// Guards against an order that ran and whose caller is told to send it again.
TEST_CASE("an order is unknown if its server answers 408, 429 or 503 and does not refuse it")
{
    for (const unsigned status : {408U, 421U, 429U, 503U}) {
        CAPTURE(status);
        service_fixture fixture;
        fixture.set_behavior(fake_backend::behavior::fails);
        fixture.first.failure_status = status;
        fixture.second.failure_status = status;
        const http_reply reply = fixture.call("order");
        CHECK(reply.status == 502);
        CHECK(reply.header("X-Chervil-Outcome") == "unknown");
        CHECK(reply.header("Retry-After").empty());
        CHECK(fixture.settled == "unknown");
        CHECK(fixture.requests() == 1);
    }
}

// Guards against the status of a later refusal, which says nothing of the attempt before it.
TEST_CASE("a call that may have run gets 502, though a later attempt was refused with 503")
{
    service_fixture fixture;
    fixture.script = {{fake_backend::behavior::drops_reply, 0ms},
                      {fake_backend::behavior::refuses, 0ms}};
    const http_reply reply = fixture.call("look_up");
    CHECK(fixture.requests() == 2);
    CHECK(reply.header("X-Chervil-Outcome") == "unknown");
    CHECK(reply.status == 502);
}

// Guards against a call that is given up at a slow backend server although no other one takes it.
TEST_CASE("an idempotent call stays at its slow backend server until another one can take it")
{
    service_fixture fixture;
    // Without a configured timeout, an attempt is silent for too long after half the time left.
    fixture.headers = {{"X-Chervil-Deadline-Ms", "1000"}};
    fixture.script = {{fake_backend::behavior::answers, 700ms}};
    SUBCASE("there is no other one")
    {
        fixture.view.mutable_services(0)->mutable_backends(1)->set_healthy(false);
    }
    SUBCASE("the other one refuses")
    {
        fixture.script.emplace_back(fake_backend::behavior::refuses, 0ms);
    }
    SUBCASE("the other one drops its reply")
    {
        fixture.script.emplace_back(fake_backend::behavior::drops_reply, 0ms);
    }
    const int servers = fixture.view.services(0).backends(1).healthy() ? 2 : 1;
    const http_reply reply = fixture.call("look_up");
    CHECK(reply.header("X-Chervil-Outcome") == "complete");
    CHECK(fixture.requests() == servers);
}

TEST_CASE("an idempotent call goes on at the next backend server when the first one stays silent")
{
    service_fixture fixture;
    fixture.headers = {{"X-Chervil-Deadline-Ms", "1000"}};
    fixture.script = {{fake_backend::behavior::answers, 5s}};
    const http_reply reply = fixture.call("look_up");
    CHECK(reply.header("X-Chervil-Outcome") == "complete");
    CHECK(fixture.requests() == 2);
}

TEST_CASE("an idempotent call at silent backend servers ends at its deadline as unknown")
{
    service_fixture fixture;
    fixture.headers = {{"X-Chervil-Deadline-Ms", "300"}};
    fixture.script = {{fake_backend::behavior::answers, 5s}, {fake_backend::behavior::answers, 5s}};
    const http_reply reply = fixture.call("look_up");
    CHECK(reply.status == 504);
    CHECK(reply.header("X-Chervil-Outcome") == "unknown");
    CHECK(fixture.requests() == 2);
}

TEST_CASE(
    "calls of unknown operations, or of a service without healthy backend servers, are not_run")
{
    service_fixture fixture;
    CHECK(fixture.call("nothing").status == 404);
    fixture.view.mutable_services(0)->mutable_backends(0)->set_healthy(false);
    fixture.view.mutable_services(0)->mutable_backends(1)->set_healthy(false);
    const http_reply reply = fixture.call("look_up");
    CHECK(reply.status == 503);
    CHECK(reply.header("X-Chervil-Outcome") == "not_run");
}

TEST_CASE("a failing backend server is ejected, gets one trial call after its ejection time, and "
          "is used again")
{
    asio::io_context context;
    manual_clock clock(context);
    const std::vector<backend_candidate> candidates = {{"near:1", "nea"}, {"far:1", "far"}};
    backend_balancer balancer("nea", seeded_random(1));
    const auto choose = [&] {
        return balancer.choose(candidates, {}, monotonic_clock::now()).value();
    };
    CHECK(choose() == "near:1");
    for (int i = 0; i < 3; ++i) {
        balancer.note_start("near:1");
        balancer.note_end("near:1", backend_result::failed, monotonic_clock::now());
    }
    CHECK(choose() == "far:1");
    clock.advance(1100ms);
    CHECK(choose() == "near:1");
    balancer.note_start("near:1");
    CHECK(choose() == "far:1"); // The trial call is in flight.
    balancer.note_end("near:1", backend_result::answered, monotonic_clock::now());
    CHECK(choose() == "near:1");
    for (int i = 0; i < 6; ++i) {
        balancer.note_start("near:1");
    }
    CHECK(choose() == "far:1"); // It has far fewer calls in flight.
}

// Guards against the ejection of a backend server whose attempts only lost to an earlier one.
TEST_CASE("attempts that are cancelled early don't eject a backend server")
{
    const std::vector<backend_candidate> candidates = {{"near:1", "nea"}, {"far:1", "far"}};
    backend_balancer balancer("nea", seeded_random(1));
    for (int i = 0; i < 5; ++i) {
        balancer.note_start("near:1");
        balancer.note_end("near:1", backend_result::cancelled, monotonic_clock::now());
    }
    CHECK(balancer.choose(candidates, {}, monotonic_clock::now()) == "near:1");
    CHECK(balancer.in_flight("near:1") == 0);
}
