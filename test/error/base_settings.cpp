/** \file
 * Tests that settings that violate the schema are rejected with line, path and expected value.
 */
#include <doctest/doctest.h>

#include "base/settings.h"
#include "settings.pb.h"

using namespace chervildyke;

namespace {

const std::string valid_document = R"(// An entry.
{
  "node": {"vm": "entry-1", "address": "127.0.1.1", "failure_domain": "gent-a"},
  "http_port": 8080, /* for callers */
  "control_port": 8090
})";

std::vector<settings_fault> faults_of(std::string text, const std::string& from,
                                      const std::string& to)
{
    text.replace(text.find(from), from.size(), to);
    schema::entry_settings settings;
    return parse_document(text, "entry.json", settings);
}

} // namespace

TEST_CASE("a valid file with comments is accepted")
{
    schema::entry_settings settings;
    CHECK(parse_document(valid_document, "entry.json", settings).empty());
    CHECK(settings.http_port() == 8080);
    CHECK(settings.node().failure_domain() == "gent-a");
}

TEST_CASE("an unknown key is rejected with its line and path")
{
    const auto faults =
        faults_of(valid_document, "\"control_port\": 8090", "\"control_port\": 8090, \"x\": 1");
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].line == 5);
    CHECK(faults[0].path == "/x");
    CHECK(faults[0].to_string().find("entry.json:5: /x: expected a known key") == 0);
}

TEST_CASE("a wrong type, a missing value and a value out of range are rejected")
{
    auto faults = faults_of(valid_document, "\"http_port\": 8080", "\"http_port\": \"8080\"");
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].path == "/http_port");
    CHECK(faults[0].line == 4);
    CHECK(faults[0].expected.find("an integer from 1 to 65535") == 0);
    CHECK(faults[0].expected.ends_with(", found \"8080\""));
    faults = faults_of(valid_document, "\"http_port\": 8080", "\"http_port\": 70000");
    REQUIRE(faults.size() == 1);
    faults = faults_of(valid_document, "\"vm\": \"entry-1\", ", "");
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].path == "/node/vm");
    CHECK(faults[0].line == 3);
    faults = faults_of(valid_document, "\"http_port\": 8080, ", "");
    CHECK(faults.size() == 1);
    faults = faults_of(valid_document, "8080", "-1");
    CHECK(faults.size() == 1);
}

TEST_CASE("a long string value in a fault is cut, but not within a character")
{
    // The quote and 58 letters are 59 bytes; the two bytes of the next character don't fit into 60.
    const std::string start = "\"" + std::string(58, 'a');
    auto faults =
        faults_of(valid_document, "8080", start + "\u00e9" + std::string(1000, 'b') + "\"");
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].expected.ends_with(", found " + start + " ..."));
    faults = faults_of(valid_document, "8080", start + std::string(1000, 'b') + "\"");
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].expected.ends_with(", found " + start + "b ..."));
    faults = faults_of(valid_document, "8080", start + "\"");
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].expected.ends_with(", found " + start + "\""));
}

TEST_CASE("a repeated key and a text that is not JSON are rejected")
{
    auto faults = faults_of(valid_document, "\"control_port\": 8090",
                            "\"control_port\": 1, \"control_port\": 2");
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].path == "/control_port");
    faults = faults_of(valid_document, "8080,", "8080");
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].line == 5);
}
