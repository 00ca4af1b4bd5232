/** \file
 * Fuzzes the parsers of untrusted input: server-sent events and completions requests. Guards
 * against a result that depends on how the network divided a stream, a buffer that grows without
 * bound, and a body that is neither parsed nor refused.
 */
#include <doctest/doctest.h>

#include <cstdlib>

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "entry/completion_request.h"
#include "entry/sse_parser.h"

using namespace chervildyke;

namespace {

[[maybe_unused]] const int fixed_seed = setenv("RC_PARAMS", "seed=20261204 max_success=500", 0);

std::vector<std::string> parse_in_parts(const std::string& bytes, std::size_t part)
{
    sse_parser parser;
    std::vector<std::string> events;
    for (std::size_t at = 0; at < bytes.size(); at += part) {
        if (!parser.feed(std::string_view(bytes).substr(at, part))) {
            break;
        }
        while (auto event = parser.next_event()) {
            events.push_back(std::move(*event));
        }
    }
    return events;
}

} // namespace

TEST_CASE("the parsed events do not depend on how the stream is divided")
{
    const bool held = rc::check([](const std::string& bytes) {
        const std::size_t part = 1 + *rc::gen::inRange<std::size_t>(0, 7);
        RC_ASSERT(parse_in_parts(bytes, part) == parse_in_parts(bytes, bytes.size() + 1));
    });
    CHECK(held);
}

TEST_CASE("encoded events are parsed back")
{
    const bool held = rc::check([](const std::vector<std::string>& texts) {
        std::string bytes;
        std::vector<std::string> written;
        for (const std::string& text : texts) {
            written.push_back(
                nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace));
            bytes += ": comment\r\ndata: " + written.back() + "\r\n\r\n";
        }
        RC_ASSERT(parse_in_parts(bytes, 3) == written);
    });
    CHECK(held);
}

TEST_CASE("an event that does not end is refused")
{
    sse_parser parser(1024);
    bool accepted = true;
    for (int i = 0; i < 10 && accepted; ++i) {
        accepted = parser.feed(std::string(512, 'x'));
    }
    CHECK(!accepted);
}

TEST_CASE("any body is parsed or refused with status 400")
{
    const bool held = rc::check([](const std::string& inserted) {
        const std::string whole =
            R"({"model":"desk","messages":[{"role":"user","content":"hello"}],"max_tokens":7})";
        const std::size_t at = *rc::gen::inRange<std::size_t>(0, whole.size());
        const std::size_t cut = *rc::gen::inRange<std::size_t>(0, whole.size() - at);
        http_request request;
        request.body = whole.substr(0, at) + inserted + whole.substr(at + cut);
        for (const completion_kind kind : {completion_kind::chat, completion_kind::text}) {
            auto read = parse_completion_request(kind, request);
            RC_ASSERT(read || read.error().status == 400U);
            RC_ASSERT(read || read.error().outcome == call_outcome::not_run);
        }
    });
    CHECK(held);
}
