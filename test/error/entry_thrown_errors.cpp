/** \file
 * Tests how a call ends whose handling throws: with status 500 as long as nothing was sent, else
 * with a broken connection. It comes from faults in the entry itself.
 */
#include <cstdint>
#include <stdexcept>

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "support/scripted_engine.h"

using namespace chervildyke;
using namespace chervildyke::testing;

namespace {

// An answer is there at once; only a call without one lasts as long.
constexpr duration answer_timeout = 2s;

void check_internal_error(const http_reply& reply)
{
    CAPTURE(reply.body);
    CHECK(reply.status == 500);
    CHECK(reply.header("X-Chervil-Outcome") == "unknown");
    const auto document = nlohmann::json::parse(reply.body, nullptr, false);
    REQUIRE(document.is_object());
    REQUIRE(document.contains("error"));
    REQUIRE(document["error"].is_object());
    CHECK(document["error"].value("code", "") == "internal_error");
    CHECK(document["error"].value("type", "") == "server_error");
}

struct entry_fixture {
    asio::io_context context;
    scripted_engine engine{context};
    entry_under_test entry{context};

    entry_fixture()
    {
        engine.answer = [](http_exchange& exchange, schema::engine_call call) {
            return stream_words(exchange, std::move(call), 3);
        };
    }

    http_reply call(const http_request& request)
    {
        http_call_options options;
        options.timeout = answer_timeout;
        return entry.call(request, options);
    }

    std::uint64_t internal_errors()
    {
        return entry.node->context().metrics->counter("chervil_internal_errors_total");
    }
};

/** \return a source that fails, as a fault within the handling of a call does. */
random_source throwing_source()
{
    return []() -> std::uint64_t { throw std::runtime_error("random source"); };
}

http_request service_request()
{
    http_request request;
    request.method = "POST";
    request.target = "/v1/services/stock/order";
    request.body = "{}";
    return request;
}

} // namespace

// Guards against a reset connection, of which a caller can't tell what happened to its call.
TEST_CASE("a call whose handler throws is answered with status 500")
{
    entry_fixture fixture;
    SUBCASE("a service call")
    {
        fixture.entry.node->on_service_call =
            [](http_exchange&, const caller_info&,
               const schema::routing_view&) -> asio::awaitable<void> {
            throw std::runtime_error("handler");
            co_return;
        };
        REQUIRE(fixture.entry.start(view_of({fixture.engine.address()})));
        check_internal_error(fixture.call(service_request()));
    }
    SUBCASE("a completion that runs at most once")
    {
        at_most_once_hooks& hooks = fixture.entry.node->at_most_once();
        hooks.claim = [](call_identity) -> asio::awaitable<claim_decision> {
            throw std::runtime_error("claim");
            co_return claim_decision();
        };
        hooks.settle = [](call_identity, call_outcome, unsigned, std::string,
                          std::string) -> asio::awaitable<void> { co_return; };
        schema::routing_view view = view_of({fixture.engine.address()});
        view.mutable_teams(0)->mutable_parameters()->add_never_repeat("chat.completions");
        REQUIRE(fixture.entry.start(view));
        check_internal_error(fixture.call(entry_under_test::chat(false)));
    }
    CHECK(fixture.internal_errors() == 1);
}

// Guards against a part of an answer that looks like a whole one.
TEST_CASE("an answer whose handler throws within it is broken off")
{
    entry_fixture fixture;
    fixture.entry.node->on_service_call = [](http_exchange& exchange, const caller_info&,
                                             const schema::routing_view&) -> asio::awaitable<void> {
        http_reply head;
        co_await exchange.start_stream(std::move(head));
        co_await exchange.write_chunk("part");
        throw std::runtime_error("handler");
    };
    REQUIRE(fixture.entry.start(view_of({fixture.engine.address()})));
    CHECK(fixture.call(service_request()).status == 0);
    CHECK(fixture.internal_errors() == 1);
}

// Guards against a call that waits for its caller to leave after its handling has thrown.
TEST_CASE("a completion whose handling throws before its answer is answered with status 500")
{
    entry_fixture fixture;
    fixture.engine.answer = [&](http_exchange& exchange,
                                schema::engine_call) -> asio::awaitable<void> {
        fixture.entry.node->context().random = throwing_source();
        co_await refuse(exchange);
    };
    REQUIRE(fixture.entry.start(view_of({fixture.engine.address(), fixture.engine.address()})));
    check_internal_error(fixture.call(entry_under_test::chat(true)));
    CHECK(fixture.engine.calls.size() == 1);
    CHECK(fixture.internal_errors() == 1);
}

// Guards against a stream that stays open without an end after its handling has thrown.
TEST_CASE("a stream whose handling throws is broken off")
{
    entry_fixture fixture;
    fixture.engine.answer = [&](http_exchange& exchange,
                                schema::engine_call call) -> asio::awaitable<void> {
        if (fixture.engine.calls.size() > 1) {
            co_await refuse(exchange);
            co_return;
        }
        fixture.entry.node->context().random = throwing_source();
        co_await stream_words(exchange, std::move(call), 3, 1);
    };
    REQUIRE(fixture.entry.start(view_of({fixture.engine.address(), fixture.engine.address()})));
    const http_reply reply = fixture.call(entry_under_test::chat(true));
    CHECK(reply.status == 0);
    CHECK(reply.body.find("timeout") == std::string::npos);
    CHECK(fixture.internal_errors() == 1);
}
