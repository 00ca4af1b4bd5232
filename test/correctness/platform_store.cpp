/** \file
 * Tests the store's client against the stand-in for the store, over sockets.
 */
#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "platform/store_client.h"
#include "soak/store.h"
#include "support/run_task.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

struct store_bench {
    store_bench() : store(context.get_executor())
    {
        REQUIRE(store.listen_for_node(0, "127.0.0.1", 0));
        http = std::make_shared<http_client>(context.get_executor());
        log = platform::store_log(http, "127.0.0.1:" + std::to_string(store.last_port()));
    }

    asio::io_context context{1};
    soak::metadata_store store;
    std::shared_ptr<http_client> http;
    shared_log log;
};

keyed_record make_record(std::uint64_t offset, const std::string& key, const std::string& value)
{
    return {offset, key, value};
}

} // namespace

TEST_CASE("records appended at the end are read back, newest by key")
{
    store_bench bench;
    test::run_task(bench.context, [&bench]() -> asio::awaitable<void> {
        std::vector<keyed_record> records = {make_record(0, "a", "1"), make_record(1, "a", "2"),
                                             make_record(2, "b", std::string("\0x", 2))};
        const auto appended = co_await bench.log.append("t", records);
        REQUIRE(appended);
        CHECK(*appended == 3);
        const auto newest = co_await bench.log.read_latest("t");
        REQUIRE(newest);
        REQUIRE(newest->records.size() == 2);
        CHECK(newest->records[0].value == "2");
        CHECK(newest->records[1].value == std::string("\0x", 2));
        CHECK(newest->next_offset == 3);
        const auto read = co_await bench.log.read("t", 1, 0ms);
        REQUIRE(read);
        REQUIRE(read->records.size() == 2);
        CHECK(read->records[0].offset == 1);
        CHECK(read->next_offset == 3);
    });
}

TEST_CASE("an append at another offset is a conflict and does nothing")
{
    store_bench bench;
    test::run_task(bench.context, [&bench]() -> asio::awaitable<void> {
        std::vector<keyed_record> first = {make_record(0, "a", "1")};
        const auto appended = co_await bench.log.append("t", first);
        REQUIRE(appended);
        std::vector<keyed_record> again = {make_record(0, "a", "other")};
        const auto refused = co_await bench.log.append("t", again);
        REQUIRE_FALSE(refused);
        CHECK(refused.last_reason().code == shared_log_error::conflict);
        const auto newest = co_await bench.log.read_latest("t");
        REQUIRE(newest);
        CHECK(newest->records[0].value == "1");
    });
}

TEST_CASE("a dropped key is gone from the newest and read as dropped")
{
    store_bench bench;
    test::run_task(bench.context, [&bench]() -> asio::awaitable<void> {
        bench.store.put("keyed.t", "a", "1");
        bench.store.put("keyed.t", "a", "");
        const auto newest = co_await bench.log.read_latest("t");
        REQUIRE(newest);
        CHECK(newest->records.empty());
        const auto read = co_await bench.log.read("t", 1, 0ms);
        REQUIRE(read);
        CHECK_FALSE(read->records[0].value.has_value());
    });
}

TEST_CASE("more records than a page holds are all read")
{
    store_bench bench;
    for (int i = 0; i < 1200; ++i) {
        bench.store.put("keyed.t", "key" + std::to_string(i), "v");
    }
    test::run_task(bench.context, [&bench]() -> asio::awaitable<void> {
        const auto newest = co_await bench.log.read_latest("t");
        REQUIRE(newest);
        CHECK(newest->records.size() == 1200);
    });
}

TEST_CASE(
    "history that was dropped is trimmed, a store that is down refuses, a lost answer is unclear")
{
    store_bench bench;
    bench.store.put("keyed.t", "a", "1");
    bench.store.forget_history();
    test::run_task(bench.context, [&bench]() -> asio::awaitable<void> {
        const auto trimmed = co_await bench.log.read("t", 0, 0ms);
        REQUIRE_FALSE(trimmed);
        CHECK(trimmed.last_reason().code == shared_log_error::trimmed);
        bench.store.faults().down = true;
        const auto refused = co_await bench.log.read_latest("t");
        REQUIRE_FALSE(refused);
        CHECK(refused.last_reason().code == shared_log_error::refused);
        bench.store.faults().down = false;
        bench.store.faults().loses_answers = true;
        std::vector<keyed_record> records = {make_record(1, "b", "2")};
        const auto unclear = co_await bench.log.append("t", records);
        REQUIRE_FALSE(unclear);
        CHECK(unclear.last_reason().code == shared_log_error::unknown_outcome);
        bench.store.faults().loses_answers = false;
        const auto newest = co_await bench.log.read_latest("t");
        REQUIRE(newest);
        CHECK(newest->records.size() == 2); // It was carried out.
    });
}
