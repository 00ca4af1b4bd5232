/** \file
 * Tests that an odd entry of another writer in the list of backend servers names no server, ends no
 * process, and leaves the other entries in force.
 */
#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include "base/milliseconds.h"
#include "base/task.h"
#include "platform/call_headers.h"
#include "platform/engine_calls.h"
#include "platform/published_documents.h"
#include "platform/store_client.h"
#include "relay/fleet_view.h"
#include "relay/message_values.h"
#include "support/child_process.h"

using namespace chervildyke;
namespace asio = boost::asio;
using nlohmann::json;

namespace {

json sound_entry()
{
    return json::parse(R"({"service":"pool","address":"10.0.0.9:80","zone":"a","version":"v1",
  "slots":17,"state":"ready","sequence":4,"born":12,"domain":"a-d0","staged":["m0"],
  "models":[{"name":"m0","version":1,"adapters":[]}],
  "group":{"name":"r1","epoch":3,"rank":0,"state":"open"}})");
}

/** \return the entry with the value at a JSON pointer replaced by JSON text, which may be invalid.
 */
std::string with_value(const std::string& pointer, const std::string& text)
{
    json entry = sound_entry();
    entry[json::json_pointer(pointer)] = "@";
    std::string written = entry.dump();
    return written.replace(written.find("\"@\""), 3, text);
}

bool is_rejected(const std::string& pointer, const std::string& text)
{
    return !platform::read_backend("i-1", with_value(pointer, text));
}

/** \return arrays nested as deeply as a record of the store allows. */
std::string deeply_nested()
{
    constexpr std::size_t depth = 120'000;
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

TEST_CASE("the entry that the other cases change is sound")
{
    CHECK(platform::read_backend("i-1", sound_entry().dump()));
}

// Guards against a stack overflow in the copy or the output of a nested value, which ended every
// node that read the list.
TEST_CASE("a deeply nested entry ends no process and names no server")
{
    for (const std::string field : {"/domain", "/models", "/staged", "/group", "/other", "/born"}) {
        CAPTURE(field);
        const std::string entry = with_value(field, deeply_nested());
        CHECK(test::ends_normally([&] { (void)platform::read_backend("i-1", entry); }));
    }
}

// Guards against undefined conversions and against values that wrapped into another valid one.
TEST_CASE("an entry with a number that its field can't hold names no server")
{
    const std::vector<std::string> numbers = {"-1",
                                              "1.5",
                                              "1e300",
                                              "-1e300",
                                              "1e400",
                                              "NaN",
                                              "\"7\"",
                                              "true",
                                              "null",
                                              "[7]",
                                              "18446744073709551616"};
    for (const std::string field : {"/slots", "/born", "/group/epoch", "/group/rank"}) {
        CAPTURE(field);
        for (const std::string& number : numbers) {
            CAPTURE(number);
            CHECK(is_rejected(field, number));
        }
    }
    CHECK(is_rejected("/slots", "4294967296"));
    CHECK(is_rejected("/group/rank", "4294967296"));
}

TEST_CASE("a whole number may be written with a fraction of zero")
{
    const auto server = platform::read_backend("i-1", with_value("/born", "12.0"));
    REQUIRE(server);
    CHECK(server->started_ms == 12);
}

TEST_CASE("an entry whose fields have another type names no server")
{
    for (const std::string field : {"/service", "/address", "/zone", "/state", "/models", "/staged",
                                    "/group/name", "/group/state", "/models/0/name"}) {
        CAPTURE(field);
        CHECK(is_rejected(field, "7"));
    }
    for (const std::string text : {"", "7", "null", "[]", "\"text\"", "{}", "{\"service\":"}) {
        CAPTURE(text);
        CHECK_FALSE(platform::read_backend("i-1", text));
    }
}

// Guards against calls and retries spent on a server that can't be reached, and against calls to
// the node's own ports.
TEST_CASE("an entry whose address is not an IP address and a port names no server")
{
    for (const std::string address :
         {"", "10.0.0.9", "10.0.0.9:", ":80", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:65536",
          "10.0.0.9:70000", "10.0.0.9:8e1", "10.0.0.9:80 ", " 10.0.0.9:80", "10.0.0.999:80",
          "server.example:80", "0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80"}) {
        CAPTURE(address);
        CHECK(is_rejected("/address", json(address).dump()));
    }
    CHECK_FALSE(is_rejected("/address", R"("10.0.0.9:65535")"));
}

// Guards against an id that ends a header line or that no JSON command can carry: a command to such
// a server ended the process.
TEST_CASE("an entry whose id can't be sent in a header names no server")
{
    const std::string entry = sound_entry().dump();
    for (const std::string& id :
         {std::string(), std::string("i 1"), std::string("i-1\r\nX-Tenant: a"),
          std::string("i\0", 2), std::string("i-\xff"), std::string("i-\xc3\xa9"),
          std::string("i\x7f"), std::string(256, 'i')}) {
        CAPTURE(id);
        CHECK_FALSE(platform::read_backend(id, entry));
    }
    CHECK(platform::read_backend(std::string(255, 'i'), entry));
}

// Guards against an exception of the JSON writer, which ended the process.
TEST_CASE("texts that are not UTF-8 are written into commands and refusals")
{
    engine_command command;
    command.kind = command_kind::join;
    command.replica = "r\xff";
    command.members = {"i-\xff"};
    CHECK(test::ends_normally([&] { (void)platform::encode_command(command); }));
    CHECK(test::ends_normally(
        [] { (void)platform::write_refusal(503, "caused by \xff", std::nullopt); }));
}

// Guards against an exception, which ended the process, and against a list that was not read at all
// because of one item.
TEST_CASE("an odd item of a page of the newest records leaves the other items readable")
{
    for (const std::string item :
         {R"({"key":7,"value":"aGk=","offset":4})", R"({"key":"k","value":"aGk=","offset":-1})",
          R"({"key":"k","value":"aGk="})", R"({"key":"k","value":"aGk=","offset":1e30})", "7",
          "null", "[]", R"({"value":"aGk=","offset":4})"}) {
        CAPTURE(item);
        const auto page = platform::decode_latest_page(
            R"({"items":[)" + item +
            R"(,{"key":"i-1","value":"aGk=","offset":5}],"has-more":false,"end-offset":6})");
        REQUIRE(page);
        REQUIRE(page->records.size() == 1);
        CHECK(page->records.front().key == "i-1");
    }
}

TEST_CASE("an item whose value is not base64 is read as a key without a value")
{
    for (const std::string value : {"7", "null", R"("a")", R"("====")", R"("\u00e9")", "{}"}) {
        CAPTURE(value);
        const auto page = platform::decode_latest_page(R"({"items":[{"key":"k","value":)" + value +
                                                       R"(,"offset":4}],"end-offset":6})");
        REQUIRE(page);
        REQUIRE(page->records.size() == 1);
        CHECK(page->records.front().value.value_or("").size() < 3);
    }
}

TEST_CASE("a page whose has-more is no boolean is rejected")
{
    for (const std::string value : {"7", "null", "\"yes\"", "[]"}) {
        CAPTURE(value);
        const std::string page = R"({"items":[],"end-offset":6,"has-more":)" + value + "}";
        REQUIRE(test::ends_normally([&] { (void)platform::decode_latest_page(page); }));
        CHECK_FALSE(platform::decode_latest_page(page));
    }
}

// Guards against a page that hides its later records: without a key to go on from, the list would
// count as complete and sound servers as removed.
TEST_CASE("a page that has more but no readable key is rejected")
{
    CHECK_FALSE(platform::decode_latest_page(R"({"items":[7],"end-offset":6,"has-more":true})"));
    CHECK_FALSE(platform::decode_latest_page(R"({"items":[],"end-offset":6,"has-more":true})"));
}

// Guards against a follower that reads the same offset again and again because it can't decode one
// record there.
TEST_CASE("a record without room for its key is passed over")
{
    keyed_record sound;
    sound.offset = 2;
    sound.key = "i-1";
    sound.value = "v";
    const std::string empty(4, '\0');              // A content of no bytes.
    const std::string no_room("\0\0\0\2\xffk", 6); // A key of 255 bytes in a content of two.
    const auto read = platform::decode_records(
        std::string(16, '\0') + empty + no_room + platform::encode_records({sound}), 0);
    REQUIRE(read);
    const std::vector<keyed_record>& records = read->records.records;
    CHECK(read->records.next_offset == 3);
    REQUIRE(records.size() == 3);
    CHECK_FALSE(records[0].value);
    CHECK_FALSE(records[1].value);
    CHECK(records[2] == sound);
}

// Guards against peers that reject every message of the leader, and so take it for lost, while the
// message carries a record with such a key.
TEST_CASE("a message with a key that is not UTF-8 is decoded by peers")
{
    keyed_record odd;
    odd.offset = 4;
    odd.key = "i-\xff\xfe";
    odd.value = "v";
    schema::peer_word message;
    message.set_address("10.0.0.1");
    message.set_port(9000);
    to_messages({odd}, *message.mutable_backend_records());
    schema::peer_word received;
    REQUIRE(received.ParseFromString(message.SerializeAsString()));
    CHECK(from_messages(received.backend_records()) == std::vector<keyed_record>{odd});
}

// Guards against an undefined conversion, after which a time-out was negative or in the far past.
TEST_CASE("a span that no duration can hold is limited")
{
    for (const double ms : {1e300, 1e20, HUGE_VAL}) {
        CAPTURE(ms);
        CHECK(from_ms(ms) > 24h);
        CHECK(monotonic_clock::now() + from_ms(ms) > monotonic_clock::now());
        CHECK(from_ms(-ms) < -24h);
        CHECK(monotonic_clock::now() + from_ms(-ms) < monotonic_clock::now());
    }
    CHECK(from_ms(std::nan("")) == duration::zero());
    CHECK(from_ms(1.5) == 1500us);
}

namespace {

/** A log in memory whose topic "servers" grows while a view follows it. */
struct server_list {
    shared_log hooks()
    {
        shared_log log;
        log.read_latest = [this](std::string) -> asio::awaitable<shared_log_result<keyed_records>> {
            co_return records_from(0);
        };
        log.read = [this](std::string, std::uint64_t from,
                          duration) -> asio::awaitable<shared_log_result<topic_read>> {
            topic_read read{records_from(from), records.size()};
            co_return read;
        };
        return log;
    }

    keyed_records records_from(std::uint64_t from) const
    {
        keyed_records read;
        read.records.assign(records.begin() + static_cast<std::ptrdiff_t>(from), records.end());
        read.next_offset = records.size();
        return read;
    }

    void add(const std::string& id, const std::string& value)
    {
        keyed_record record;
        record.offset = records.size();
        record.key = id;
        record.value = value;
        records.push_back(record);
    }

    std::vector<keyed_record> records;
};

void follow_list_with(const std::string& odd_id, const std::string& odd_entry)
{
    asio::io_context context{1};
    manual_clock clock(context);
    server_list list;
    list.add("i-1", sound_entry().dump());
    list.add(odd_id, odd_entry);
    const auto view = std::make_shared<fleet_view>(
        context.get_executor(), list.hooks(), platform::make_fleet_codec(), seeded_random(1), 2s);
    view->on_change = [] {};
    view->on_configuration = [](const published_configuration_ptr&) {};
    view->is_leader = [] { return true; };
    view->reads_log_directly = [] { return true; };
    view->on_read = [](schema::shared_topic, const keyed_records&) {};
    spawn_task(context.get_executor(), "backends", view->follow_backends());
    clock.advance(3s);
    list.add(odd_id, odd_entry);
    list.add("i-2", sound_entry().dump());
    clock.advance(3s);
    if (view->backends().all().size() != 2 || view->backends().find("i-2") == nullptr) {
        throw std::runtime_error("expected the two sound servers in the list");
    }
}

} // namespace

TEST_CASE("a node goes on following the list of servers across odd entries")
{
    const std::vector<std::string> entries = {"",
                                              "{",
                                              "null",
                                              deeply_nested(),
                                              with_value("/domain", deeply_nested()),
                                              "\xff\xfe",
                                              "{\"a\":" + deeply_nested() + "}",
                                              with_value("/slots", "1e300"),
                                              with_value("/address", R"("10.0.0.9:70000")"),
                                              with_value("/zone", "\"\xff\""),
                                              with_value("/models", deeply_nested())};
    for (const std::string& entry : entries) {
        CAPTURE(entry.substr(0, 60));
        CHECK(test::ends_normally([&] { follow_list_with("i-9", entry); }));
    }
    for (const std::string& id : {std::string(), std::string("\xff"), std::string(255, 'x')}) {
        CAPTURE(id);
        CHECK(test::ends_normally([&] { follow_list_with(id, "{"); }));
    }
}
