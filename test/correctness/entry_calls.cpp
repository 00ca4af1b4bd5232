/** \file
 * Guards against responses with missing, repeated or foreign text, and with a wrong outcome. They
 * come about when the stream of an engine breaks, an engine sends chunks of another attempt, or a
 * replica refuses calls, and when a caller disconnects or the entry drains during a call.
 */
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "entry/sse_parser.h"
#include "support/scripted_engine.h"

using namespace chervildyke;
using namespace chervildyke::testing;

namespace {

std::string content_of(const http_reply& reply)
{
    const auto document = nlohmann::json::parse(reply.body, nullptr, false);
    const auto pointer = nlohmann::json::json_pointer("/choices/0/message/content");
    return document.is_object() && document.contains(pointer) ? document[pointer].get<std::string>()
                                                              : reply.body;
}

/** The text and the end of a streamed response. */
struct streamed_response {
    std::string text;
    std::string outcome;
    bool done = false;

    explicit streamed_response(const http_reply& reply)
    {
        sse_parser parser;
        parser.feed(reply.body);
        while (const auto data = parser.next_event()) {
            if (*data == "[DONE]") {
                done = true;
                continue;
            }
            const auto event = nlohmann::json::parse(*data);
            outcome = event.value("chervil_outcome", outcome);
            const auto pointer = nlohmann::json::json_pointer("/choices/0/delta/content");
            text += event.contains(pointer) ? event[pointer].get<std::string>() : std::string();
        }
    }
};

} // namespace

TEST_CASE("streamed and other responses carry the same text and outcome")
{
    asio::io_context context;
    scripted_engine engine(context);
    engine.answer = [](http_exchange& exchange, schema::engine_call call) {
        return stream_words(exchange, std::move(call), 5);
    };
    entry_under_test entry(context);
    REQUIRE(entry.start(view_of({engine.address()})));
    const http_reply whole = entry.call(entry_under_test::chat(false));
    CHECK(whole.status == 200);
    CHECK(content_of(whole) == words_up_to(5));
    CHECK(whole.header("X-Chervil-Outcome") == "complete");
    const streamed_response parts(entry.call(entry_under_test::chat(true)));
    CHECK(parts.text == words_up_to(5));
    CHECK(parts.outcome == "complete");
    CHECK(parts.done);
    CHECK(engine.calls.front().replica_id() == 10);
    CHECK(engine.calls.front().prompt() == "user: hello\n");
}

TEST_CASE("a broken stream is resumed on the same replica without a gap")
{
    asio::io_context context;
    scripted_engine engine(context);
    engine.answer = [](http_exchange& exchange, schema::engine_call call) {
        return stream_words(exchange, call, 6, call.resume_only() ? -1 : 3);
    };
    entry_under_test entry(context);
    REQUIRE(entry.start(view_of({engine.address()})));
    const streamed_response parts(entry.call(entry_under_test::chat(true)));
    CHECK(parts.text == words_up_to(6));
    CHECK(parts.outcome == "complete");
    REQUIRE(engine.calls.size() == 2);
    CHECK(engine.calls[1].attempt_id() == engine.calls[0].attempt_id());
    CHECK(engine.calls[1].resume_from() == 3);
}

TEST_CASE("an idempotent call continues on another replica when its first one fails")
{
    asio::io_context context;
    scripted_engine first(context);
    scripted_engine second(context);
    const auto answer = [](http_exchange& exchange, schema::engine_call call) {
        const bool is_first_try = call.prior_tokens() == 0 && !call.resume_only();
        return call.resume_only() ? refuse(exchange)
                                  : stream_words(exchange, call, 8, is_first_try ? 4 : -1);
    };
    first.answer = answer;
    second.answer = answer;
    entry_under_test entry(context);
    REQUIRE(entry.start(view_of({first.address(), second.address()})));
    const streamed_response parts(entry.call(entry_under_test::chat(true)));
    CHECK(parts.text == words_up_to(8));
    CHECK(parts.outcome == "complete");
    const bool both = !first.calls.empty() && !second.calls.empty();
    CHECK(both);
}

TEST_CASE("a call in progress waits while its only replica is incomplete and refuses calls")
{
    asio::io_context context;
    scripted_engine engine(context);
    time_point broken_at{};
    engine.answer = [&](http_exchange& exchange, schema::engine_call call) {
        if (broken_at == time_point()) {
            broken_at = monotonic_clock::now();
            return stream_words(exchange, call, 8, 4);
        }
        const bool is_whole_again = monotonic_clock::now() - broken_at > 500ms;
        return is_whole_again ? stream_words(exchange, call, 8, -1) : refuse(exchange);
    };
    entry_under_test entry(context);
    REQUIRE(entry.start(view_of({engine.address()})));
    const streamed_response parts(entry.call(entry_under_test::chat(true)));
    CHECK(parts.text == words_up_to(8));
    CHECK(parts.outcome == "complete");
}

TEST_CASE(
    "chunks of other attempts and repeated chunks are dropped, and a gap never reaches the caller")
{
    asio::io_context context;
    scripted_engine engine(context);
    engine.answer = [](http_exchange& exchange, schema::engine_call call) -> asio::awaitable<void> {
        if (call.resume_only()) {
            co_await stream_words(exchange, call, 4);
            co_return;
        }
        http_reply head;
        co_await exchange.start_stream(head);
        const std::string events = chunk_event("another", 0, "foreign", false) +
                                   chunk_event(call.attempt_id(), 0, "t0 ", false) +
                                   chunk_event(call.attempt_id(), 0, "t0 ", false) +
                                   chunk_event(call.attempt_id(), 1, "t1 ", false) +
                                   chunk_event(call.attempt_id(), 3, "t3 ", false);
        co_await exchange.write_chunk(events);
        co_await sleep_for(2s);
    };
    entry_under_test entry(context);
    REQUIRE(entry.start(view_of({engine.address()})));
    const streamed_response parts(entry.call(entry_under_test::chat(true)));
    CHECK(parts.text == words_up_to(4));
    CHECK(parts.outcome == "complete");
}

TEST_CASE(
    "the outcome is not_run for a call that no replica ran, and unknown for one that may have run")
{
    asio::io_context context;
    scripted_engine engine(context);
    engine.answer = [](http_exchange& exchange, schema::engine_call) { return refuse(exchange); };
    entry_under_test entry(context);
    REQUIRE(entry.start(view_of({engine.address()})));
    const http_reply refused = entry.call(entry_under_test::chat(false));
    CHECK(refused.status == 503);
    CHECK(refused.header("X-Chervil-Outcome") == "not_run");
    CHECK(!refused.header("Retry-After").empty());
    engine.answer = [](http_exchange& exchange, schema::engine_call call) {
        return call.resume_only() ? refuse(exchange) : stream_words(exchange, call, 4, 0);
    };
    const http_reply lost = entry.call(entry_under_test::chat(false));
    CHECK(lost.status == 502);
    CHECK(lost.header("X-Chervil-Outcome") == "unknown");
}

TEST_CASE("the attempt is cancelled at the engine when the caller disconnects")
{
    asio::io_context context;
    scripted_engine engine(context);
    engine.answer = [](http_exchange& exchange, schema::engine_call call) -> asio::awaitable<void> {
        http_reply head;
        co_await exchange.start_stream(head);
        const std::string event = chunk_event(call.attempt_id(), 0, "t0 ", false);
        co_await exchange.write_chunk(event);
        co_await exchange.wait_for_peer_close();
    };
    entry_under_test entry(context);
    REQUIRE(entry.start(view_of({engine.address()})));
    entry.run([&]() -> asio::awaitable<void> {
        http_request request = entry_under_test::chat(true);
        auto stream = co_await entry.client.open(entry.address(), request);
        if (stream) {
            const auto part = co_await (*stream)->read_some(5s);
            CHECK(part.has_value());
            stream->reset();
        }
        for (int i = 0; i < 200 && engine.cancelled.empty(); ++i) {
            co_await sleep_for(10ms);
        }
    });
    REQUIRE(engine.cancelled.size() == 1);
    CHECK(engine.cancelled.front() == engine.calls.front().attempt_id());
}

TEST_CASE("a call that runs at most once is claimed, sent once and settled")
{
    asio::io_context context;
    scripted_engine engine(context);
    engine.answer = [](http_exchange& exchange, schema::engine_call call) {
        return stream_words(exchange, std::move(call), 3);
    };
    entry_under_test entry(context);
    auto view = view_of({engine.address()});
    view.mutable_teams(0)->mutable_parameters()->add_never_repeat("chat.completions");
    REQUIRE(entry.start(view));
    CHECK(entry.call(entry_under_test::chat(false)).header("X-Chervil-Outcome") == "not_run");
    schema::order_settlement kept;
    entry.node->at_most_once().claim = [&](call_identity) -> asio::awaitable<claim_decision> {
        claim_decision decision;
        decision.result = schema::claim_won;
        if (kept.outcome() == schema::order_complete) {
            decision.result = schema::claim_settled;
            decision.settlement = kept;
        }
        co_return decision;
    };
    entry.node->at_most_once().settle = [&](call_identity, call_outcome outcome, unsigned status,
                                            std::string content_type,
                                            std::string body) -> asio::awaitable<void> {
        kept.set_outcome(outcome == call_outcome::complete ? schema::order_complete
                                                           : schema::order_unknown);
        kept.set_http_status(status);
        kept.set_content_type(content_type);
        kept.set_confirmation(body);
        co_return;
    };
    const http_reply first = entry.call(entry_under_test::chat(false));
    const http_reply second = entry.call(entry_under_test::chat(false));
    const streamed_response third(entry.call(entry_under_test::chat(true)));
    CHECK(content_of(first) == words_up_to(3));
    CHECK(second.body == first.body);
    CHECK(third.text == words_up_to(3));
    CHECK(engine.calls.size() == 1);
}

TEST_CASE("a draining entry leaves the list of entries and completes its calls")
{
    asio::io_context context;
    scripted_engine engine(context);
    engine.answer = [](http_exchange& exchange, schema::engine_call call) -> asio::awaitable<void> {
        co_await sleep_for(900ms);
        co_await stream_words(exchange, call, 3);
    };
    entry_under_test entry(context);
    auto view = view_of({engine.address()});
    schema::entry_view& other = *view.add_entries();
    other.set_address("127.0.0.2:8080");
    REQUIRE(entry.start(view));
    bool drained = false;
    std::string listed;
    std::string answer;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            co_await sleep_for(50ms);
            drained = co_await entry.node->drain();
        },
        asio::detached);
    entry.run([&]() -> asio::awaitable<void> {
        http_request list;
        list.target = "/v1/entries";
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                co_await sleep_for(150ms);
                const auto reply = co_await entry.client.call(entry.address(), list);
                listed = reply ? reply->body : reply.failure().reason;
            },
            asio::detached);
        const http_request request = entry_under_test::chat(false);
        const auto reply = co_await entry.client.call(entry.address(), request);
        answer = reply ? content_of(*reply) : reply.failure().reason;
        co_await sleep_for(200ms);
    });
    CHECK(listed.find("127.0.0.2:8080") != std::string::npos);
    CHECK(listed.find("127.0.0.1:") == std::string::npos);
    CHECK(answer == words_up_to(3));
    CHECK(drained);
}
