/** \file
 * Tests that an entry whose stream broke off passes on nothing of the next engine's error, and that
 * the stream does not end as if it were complete.
 */
#include <doctest/doctest.h>

#include "support/scripted_engine.h"

using namespace chervildyke;
using namespace chervildyke::testing;

namespace {

const std::string error_text = "text of the failed engine";

/** \return the answer of an engine with bytes that are no chunks of the call. */
scripted_engine::script answer_with(unsigned status, std::string type, std::string body)
{
    return [status, type, body](http_exchange& exchange,
                                schema::engine_call) -> asio::awaitable<void> {
        http_reply reply;
        reply.status = status;
        reply.content_type = type;
        reply.body = body;
        co_await exchange.respond(std::move(reply));
    };
}

struct engine_error {
    std::string name;
    scripted_engine::script answer;
};

std::vector<engine_error> engine_errors()
{
    const std::string head = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 25\r\n\r\n";
    return {
        {"500", answer_with(500, "text/plain", error_text)},
        {"404", answer_with(404, "text/plain", error_text)},
        {"500 of the type of events",
         answer_with(500, "text/event-stream", "data: " + error_text + "\n\n")},
        {"200 that is no stream", answer_with(200, "text/plain", error_text + "\n\n")},
        {"text in an event", answer_with(200, "text/event-stream", "data: " + error_text + "\n\n")},
        {"a head in the body", answer_with(200, "text/event-stream", head + error_text + "\n\n")},
        {"chunks of another attempt", answer_with(200, "text/event-stream",
                                                  chunk_event("another", 0, error_text, false) +
                                                      chunk_event("another", 1, "", true))},
        {"the end of another attempt",
         answer_with(200, "text/event-stream", chunk_event("another", 0, "", true))},
        {"an end inside a chunk",
         answer_with(200, "text/event-stream", "data: {\"text\":\"" + error_text)},
    };
}

} // namespace

TEST_CASE("an error of the next engine is not written into a stream that broke off")
{
    for (const engine_error& error : engine_errors()) {
        CAPTURE(error.name);
        asio::io_context context;
        scripted_engine engine(context);
        engine.answer = [&](http_exchange& exchange, schema::engine_call call) {
            return engine.calls.size() == 1 ? stream_words(exchange, call, 8, 3)
                                            : error.answer(exchange, call);
        };
        entry_under_test entry(context);
        REQUIRE(entry.start(view_of({engine.address()})));
        http_request request = entry_under_test::chat(true);
        request.headers.push_back({"X-Chervil-Deadline-Ms", "1000"});
        const http_reply reply = entry.call(request);
        CHECK(reply.status == 200);
        CHECK(engine.calls.size() > 1);
        CHECK(reply.body.find(R"("t2 ")") != std::string::npos);
        CHECK(reply.body.find(error_text) == std::string::npos);
        CHECK(reply.body.find("HTTP/1.1") == std::string::npos);
        CHECK(reply.body.find(R"("chervil_outcome":"unknown")") != std::string::npos);
        CHECK(reply.body.find(R"("chervil_outcome":"complete")") == std::string::npos);
    }
}

// Guards against a call that is held past its deadline by bytes that are no chunk of it.
TEST_CASE("an engine whose comments or error never end does not hold the call past its deadline")
{
    const auto endless = [](unsigned status, std::string piece,
                            duration pause) -> scripted_engine::script {
        return [status, piece, pause](http_exchange& exchange,
                                      schema::engine_call) -> asio::awaitable<void> {
            http_reply head;
            head.status = status;
            head.content_type = "text/event-stream";
            co_await exchange.start_stream(head);
            bool written = true;
            while (written) {
                written = co_await exchange.write_chunk(piece);
                co_await sleep_for(pause);
            }
        };
    };
    const std::vector<engine_error> errors = {
        {"comments", endless(200, ": none\n\n", 1ms)},
        {"chunks of another attempt", endless(200, chunk_event("another", 0, "x", false), 1ms)},
        {"an error, a byte now and then", endless(500, "x", 20ms)}};
    for (const engine_error& error : errors) {
        CAPTURE(error.name);
        asio::io_context context;
        scripted_engine engine(context);
        engine.answer = error.answer;
        entry_under_test entry(context);
        REQUIRE(entry.start(view_of({engine.address()})));
        http_request request = entry_under_test::chat(false);
        request.headers.push_back({"X-Chervil-Deadline-Ms", "400"});
        const time_point begun = monotonic_clock::now();
        const http_reply reply = entry.call(request);
        CHECK((reply.status == 502 || reply.status == 504));
        CHECK(monotonic_clock::now() - begun < 900ms);
    }
}

TEST_CASE("an engine's stream that ends inside a chunk is not complete")
{
    asio::io_context context;
    scripted_engine engine(context);
    engine.answer = [](http_exchange& exchange, schema::engine_call call) -> asio::awaitable<void> {
        http_reply reply;
        reply.content_type = "text/event-stream";
        const std::string last = chunk_event(call.attempt_id(), 1, "", true);
        reply.body =
            chunk_event(call.attempt_id(), 0, "t0 ", false) + last.substr(0, last.size() - 2);
        co_await exchange.respond(std::move(reply));
    };
    entry_under_test entry(context);
    REQUIRE(entry.start(view_of({engine.address()})));
    http_request request = entry_under_test::chat(true);
    request.headers.push_back({"X-Chervil-Deadline-Ms", "1000"});
    const http_reply reply = entry.call(request);
    CHECK(reply.body.find(R"("chervil_outcome":"complete")") == std::string::npos);
    CHECK(reply.body.find(R"("chervil_outcome":"unknown")") != std::string::npos);
}
