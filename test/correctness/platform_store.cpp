/** \file
 * Tests the store client over sockets against the simulated store.
 */
#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "platform/store_client.h"
#include "soak/metadata_store.h"
#include "support/run_task.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

struct store_fixture {
    store_fixture() : store(context.get_executor())
    {
        REQUIRE(store.listen_for_node(0, "127.0.0.1", 0));
        http = std::make_shared<http_client>(context.get_executor());
        log = platform::make_store_log(http, "127.0.0.1:" + std::to_string(store.last_port()));
    }

    asio::io_context context{1};
    soak::metadata_store store;
    std::shared_ptr<http_client> http;
    shared_log log;
};

const log_position start{1, 0}; // The stand-in counts eras from one.

keyed_record make_record(std::uint64_t offset, const std::string& key, const std::string& value)
{
    return {offset, key, value};
}

} // namespace

TEST_CASE("appended records are read back, and read_latest returns the newest of each key")
{
    store_fixture fixture;
    test::run_task(fixture.context, [&fixture]() -> asio::awaitable<void> {
        std::vector<keyed_record> records = {make_record(0, "a", "1"), make_record(1, "a", "2"),
                                             make_record(2, "b", std::string("\0x", 2))};
        const auto appended = co_await fixture.log.append("t", start, records);
        REQUIRE(appended);
        CHECK((*appended == log_position{1, 3}));
        const auto newest = co_await fixture.log.read_latest("t");
        REQUIRE(newest);
        REQUIRE(newest->records.size() == 2);
        CHECK(newest->records[0].value == "2");
        CHECK(newest->records[1].value == std::string("\0x", 2));
        CHECK(newest->next_offset == 3);
        const auto read = co_await fixture.log.read("t", 1, 0ms);
        REQUIRE(read);
        REQUIRE(read->records.records.size() == 2);
        CHECK(read->records.records[0].offset == 1);
        CHECK(read->records.next_offset == 3);
        CHECK(read->topic_end == 3);
    });
}

TEST_CASE("an append at an offset other than the end is a conflict and has no effect")
{
    store_fixture fixture;
    test::run_task(fixture.context, [&fixture]() -> asio::awaitable<void> {
        std::vector<keyed_record> first = {make_record(0, "a", "1")};
        const auto appended = co_await fixture.log.append("t", start, first);
        REQUIRE(appended);
        std::vector<keyed_record> again = {make_record(0, "a", "other")};
        const auto refused = co_await fixture.log.append("t", start, again);
        REQUIRE_FALSE(refused);
        CHECK(refused.failure().code == shared_log_error::conflict);
        const auto newest = co_await fixture.log.read_latest("t");
        REQUIRE(newest);
        CHECK(newest->records[0].value == "1");
    });
}

TEST_CASE("a deleted key is missing from read_latest and is read without a value")
{
    store_fixture fixture;
    test::run_task(fixture.context, [&fixture]() -> asio::awaitable<void> {
        fixture.store.put("keyed.t", "a", "1");
        fixture.store.put("keyed.t", "a", "");
        const auto newest = co_await fixture.log.read_latest("t");
        REQUIRE(newest);
        CHECK(newest->records.empty());
        const auto read = co_await fixture.log.read("t", 1, 0ms);
        REQUIRE(read);
        CHECK_FALSE(read->records.records[0].value.has_value());
    });
}

TEST_CASE("read_latest reads all pages")
{
    store_fixture fixture;
    for (int i = 0; i < 1200; ++i) {
        fixture.store.put("keyed.t", "key" + std::to_string(i), "v");
    }
    test::run_task(fixture.context, [&fixture]() -> asio::awaitable<void> {
        const auto newest = co_await fixture.log.read_latest("t");
        REQUIRE(newest);
        CHECK(newest->records.size() == 1200);
    });
}

TEST_CASE("store failures are told apart: trimmed history, store down, lost response")
{
    store_fixture fixture;
    fixture.store.put("keyed.t", "a", "1");
    fixture.store.trim_history();
    test::run_task(fixture.context, [&fixture]() -> asio::awaitable<void> {
        const auto trimmed = co_await fixture.log.read("t", 0, 0ms);
        REQUIRE_FALSE(trimmed);
        CHECK(trimmed.failure().code == shared_log_error::trimmed);
        fixture.store.faults().down = true;
        const auto refused = co_await fixture.log.read_latest("t");
        REQUIRE_FALSE(refused);
        CHECK(refused.failure().code == shared_log_error::refused);
        fixture.store.faults().down = false;
        fixture.store.faults().drops_answers = true;
        std::vector<keyed_record> records = {make_record(1, "b", "2")};
        const log_position at{1, 1};
        const auto unanswered = co_await fixture.log.append("t", at, records);
        REQUIRE_FALSE(unanswered);
        CHECK(unanswered.failure().code == shared_log_error::unknown_outcome);
        fixture.store.faults().drops_answers = false;
        const auto newest = co_await fixture.log.read_latest("t");
        REQUIRE(newest);
        CHECK(newest->records.size() == 2); // The append was applied.
    });
}
