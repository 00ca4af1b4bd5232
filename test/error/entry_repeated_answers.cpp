/** \file
 * Tests that an entry takes no repeated answer to an earlier request, which a faulty server writes
 * once more on a kept connection, for the answer to the next one.
 */
#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "entry/service_proxy.h"
#include "support/run_task.h"
#include "support/scripted_engine.h"
#include "support/scripted_server.h"

using namespace chervildyke;
using namespace chervildyke::test;
namespace asio = boost::asio;

namespace {

std::string plain_answer(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

const std::string refusal =
    plain_answer("503 Service Unavailable", R"({"code":"busy","reason":"busy","not_run":true})");

/** The service handler of an entry behind an HTTP server, with one scripted backend server. */
struct service_fixture {
    service_fixture()
    {
        schema::service_view& service = *view.add_services();
        service.set_name("stock");
        schema::service_operation& look_up = *service.add_operations();
        look_up.set_name("look_up");
        look_up.set_repeatable(true);
        schema::backend_view& listed = *service.add_backends();
        listed.set_address(server.address());
        listed.set_healthy(true);
        server.repeats = true;
        service_proxy_context proxy_context;
        proxy_context.executor = context.get_executor();
        proxy_context.random = seeded_random(1);
        proxy_context.http = http;
        proxy_context.metrics = std::make_shared<metrics_registry>();
        handler = service_proxy(std::move(proxy_context), service_proxy_settings()).handler();
        entry =
            std::make_unique<http_server>(context.get_executor(), [this](http_exchange& exchange) {
                return handler(exchange, caller, view);
            });
        REQUIRE(entry->listen("127.0.0.1", 0));
    }

    http_reply call()
    {
        http_reply answer;
        run_task(context, [&]() -> asio::awaitable<void> {
            http_request request;
            request.method = "POST";
            request.target = "/v1/services/stock/look_up";
            request.headers = {{"X-Chervil-Deadline-Ms", "1500"}};
            request.body = "{}";
            const std::string address = "127.0.0.1:" + std::to_string(entry->port());
            const auto reply = co_await http->call(address, request);
            REQUIRE(reply);
            answer = *reply;
        });
        context.restart();
        return answer;
    }

    asio::io_context context;
    scripted_server server{context};
    std::shared_ptr<http_client> http = std::make_shared<http_client>(context.get_executor());
    schema::routing_view view;
    caller_info caller;
    service_call_handler handler;
    std::unique_ptr<http_server> entry;
};

} // namespace

// Guards against a caller that gets the answer of an earlier caller.
TEST_CASE("a repeated answer of a service does not answer the next call")
{
    service_fixture fixture;
    fixture.server.answers = {plain_answer("200 OK", "first"), plain_answer("200 OK", "second")};
    CHECK(fixture.call().body == "first");
    CHECK(fixture.call().body == "second");
}

// Guards against "not run" for a call that the server runs.
TEST_CASE("a repeated refusal of a service does not answer the next call")
{
    service_fixture fixture;
    fixture.server.answers = {refusal, plain_answer("200 OK", "second")};
    CHECK(fixture.call().status == 503);
    const http_reply reply = fixture.call();
    CHECK(reply.status == 200);
    CHECK(reply.body == "second");
}

// Guards against "not run" for a call that the engine runs.
TEST_CASE("a repeated refusal of an engine does not show that the next attempt has not run")
{
    asio::io_context context;
    scripted_server engine(context);
    engine.repeats = true;
    // It runs the second attempt and writes the refusal of the first one again meanwhile.
    engine.answers = {refusal, std::string(), refusal, refusal, refusal, refusal, refusal, refusal};
    testing::entry_under_test entry(context);
    REQUIRE(entry.start(testing::view_of({engine.address()})));
    http_request request = testing::entry_under_test::chat(false);
    request.headers.push_back({"X-Chervil-Deadline-Ms", "1500"});
    const http_reply reply = entry.call(request);
    CHECK(engine.answers.size() < 7);
    CHECK(reply.header("X-Chervil-Outcome") == "unknown");
}
