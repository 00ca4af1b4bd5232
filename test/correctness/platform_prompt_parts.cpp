/** \file
 * Tests which parts of a prompt count as shared with other calls.
 */
#include <algorithm>

#include <doctest/doctest.h>

#include "platform/call_headers.h"

using namespace chervildyke;

namespace {

std::vector<std::string> shared_parts(const std::string& header)
{
    http_request request;
    request.headers = {{"X-Prompt-Prefix", header}};
    return platform::read_call(request).shared_parts;
}

using texts = std::vector<std::string>;

std::string long_id(int letters)
{
    std::string id;
    for (int i = 0; i < letters; ++i) {
        id += 'x';
    }
    return id;
}

} // namespace

TEST_CASE("all parts of a prompt but the last one are shared")
{
    CHECK(shared_parts("5c1e07a2:800,91bd3f06:410,e4402b7d:250") == texts{"5c1e07a2", "91bd3f06"});
    CHECK(shared_parts("5c1e07a2:800, 91bd3f06:410, e4402b7d:250") ==
          texts{"5c1e07a2", "91bd3f06"});
    CHECK(shared_parts("e4402b7d:250").empty());
    CHECK(shared_parts("").empty());
}

// Guards against a part that crashes servers and is never blamed, because it is not read.
TEST_CASE("each shared part that a head holds is read")
{
    texts ids;
    std::string header;
    for (int i = 0; header.size() < 16'384; ++i) {
        ids.push_back(std::to_string(i));
        header += ids.back() + ":1,";
    }
    CHECK(shared_parts(header + "own:1") == ids);
}

// Guards against a state that no peer can parse, since a protobuf string must be UTF-8: one such id
// in a crash would hide the node from all others.
TEST_CASE("an id that is not printable ASCII is replaced by its hash")
{
    for (const std::string id : {"\xff\xfe", "a\x80", "a\tb", "\xc3("}) {
        const texts read = shared_parts(id + ":1,91bd3f06:410,y:1");
        REQUIRE(read.size() == 2);
        CHECK(read.front() != id);
        CHECK(std::all_of(read.front().begin(), read.front().end(),
                          [](char letter) { return letter > ' ' && letter <= '~'; }));
        CHECK(read.back() == "91bd3f06");
    }
    CHECK(shared_parts("\xff:1,y:1") != shared_parts("\xfe:1,y:1"));
}

TEST_CASE("a header that does not list parts names none, and the size of an id is bounded")
{
    CHECK(shared_parts(",,:5,").empty());
    CHECK(shared_parts("a,b") == texts{"a"});
    const texts hashed = shared_parts(long_id(5000) + ":1,y:1");
    REQUIRE(hashed.size() == 1);
    CHECK(hashed.front().size() < 64);
    CHECK(hashed != shared_parts(long_id(5001) + ":1,y:1"));
}
