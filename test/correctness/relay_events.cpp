/** \file
 * Tests that streams are split into whole events, and which headers are forwarded.
 */
#include <doctest/doctest.h>

#include "relay/call_codec.h"
#include "relay/event_splitter.h"

using namespace chervildyke;

TEST_CASE("events come out whole and unchanged, however the bytes arrive")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\n";
    event_splitter splitter;
    std::string joined;
    std::vector<std::optional<std::uint64_t>> ids;
    for (const char byte : stream) {
        splitter.feed(std::string_view(&byte, 1));
        while (const auto event = splitter.next()) {
            joined += event->bytes;
            ids.push_back(event->id);
        }
    }
    CHECK(joined == stream);
    CHECK(ids == std::vector<std::optional<std::uint64_t>>{1, 2, std::nullopt});
    CHECK_FALSE(splitter.has_partial_event());
}

TEST_CASE("bytes of an unfinished event are reported as a partial event")
{
    event_splitter splitter;
    splitter.feed("id: 1\ndata: a\n\nid: 2\nda");
    CHECK(splitter.next()->id == 1);
    CHECK_FALSE(splitter.next().has_value());
    CHECK(splitter.has_partial_event());
}

TEST_CASE("hop-by-hop headers are not forwarded, nor those listed in Connection")
{
    const std::vector<http_header> headers = {{"Connection", "close, X-Hop"},
                                              {"X-Hop", "1"},
                                              {"transfer-encoding", "chunked"},
                                              {"Content-Length", "3"},
                                              {"X-Kept", "2"}};
    CHECK(end_to_end_headers(headers) == std::vector<http_header>{{"X-Kept", "2"}});
}

// Guards against missing the end of an event that arrives in two parts.
TEST_CASE("events are the same wherever their bytes are divided")
{
    const std::string bytes = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for (std::size_t first = 0; first <= bytes.size(); ++first) {
        for (std::size_t second = first; second <= bytes.size(); ++second) {
            event_splitter splitter;
            std::string joined;
            std::vector<std::uint64_t> ids;
            for (const std::string& part :
                 {bytes.substr(0, first), bytes.substr(first, second - first),
                  bytes.substr(second)}) {
                splitter.feed(part);
                while (const auto event = splitter.next()) {
                    joined += event->bytes;
                    ids.push_back(event->id.value_or(0));
                }
            }
            CHECK(joined == bytes);
            CHECK(ids == std::vector<std::uint64_t>{1, 2, 3});
        }
    }
}
