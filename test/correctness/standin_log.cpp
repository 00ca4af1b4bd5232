/** \file
 * Tests the faults of the log stand-in through the platform's client.
 */
#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/http_client.h"
#include "external/http_external.h"
#include "standin/log_service.h"
#include "support/run_task.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

struct log_bench {
    explicit log_bench(schema::standin_log_settings settings)
        : service(context.get_executor(), with_address(std::move(settings)))
    {
        REQUIRE(service.listen());
        address = "127.0.0.1:" + std::to_string(service.port());
        client = http_log_client(http, address);
    }

    static schema::standin_log_settings with_address(schema::standin_log_settings settings)
    {
        settings.set_listen("127.0.0.1:0");
        return settings;
    }

    asio::awaitable<void> fault(std::string body)
    {
        http_request request;
        request.method = "POST";
        request.target = "/faults";
        request.body = std::move(body);
        auto reply = co_await http->call(address, request);
        CHECK(reply);
    }

    asio::io_context context;
    standin::log_service service;
    std::shared_ptr<http_client> http = std::make_shared<http_client>(context.get_executor());
    std::string address;
    log_client client;
};

} // namespace

TEST_CASE("an append whose reply is lost stands in the stream")
{
    log_bench bench({});
    test::run_task(bench.context, [&]() -> asio::awaitable<void> {
        co_await bench.fault(R"({"fault":"drop_reply","count":1})");
        auto lost = co_await bench.client.append("s", "first");
        CHECK(!lost);
        CHECK(lost.last_reason().code == external_error::unknown_outcome);
        auto second = co_await bench.client.append("s", "second");
        CHECK(*second == 2);
        auto read = co_await bench.client.read("s", 1, 10, 0ms);
        CHECK(read->records.size() == 2);
        CHECK(read->records.front().payload == "first");
    });
}

TEST_CASE("streams have their own offsets, and a read waits for the next append")
{
    log_bench bench({});
    std::size_t waited = 0;
    const auto long_poll = [&]() -> asio::awaitable<void> {
        auto read = co_await bench.client.read("a", 2, 10, 5s);
        waited = read->records.size();
    };
    test::run_task(bench.context, [&]() -> asio::awaitable<void> {
        auto a = co_await bench.client.append("a", "1");
        auto b = co_await bench.client.append("b", "1");
        CHECK(*a == 1);
        CHECK(*b == 1);
        asio::co_spawn(bench.context, long_poll, asio::detached);
        co_await sleep_for(20ms);
        auto next = co_await bench.client.append("a", "2");
        CHECK(*next == 2);
        co_await sleep_for(50ms);
        CHECK(waited == 1);
    });
}

TEST_CASE("records older than the retention are gone, and the reader is told from where on")
{
    schema::standin_log_settings settings;
    settings.set_retention_ms(30);
    log_bench bench(settings);
    test::run_task(bench.context, [&]() -> asio::awaitable<void> {
        auto first = co_await bench.client.append("s", "old");
        CHECK(first);
        co_await sleep_for(100ms);
        auto read = co_await bench.client.read("s", 1, 10, 0ms);
        CHECK(read->records.empty());
        CHECK(read->first_offset == 2);
        CHECK(read->next_offset == 2);
    });
}

TEST_CASE("appends beyond the rate are refused over all streams, and have no effect")
{
    schema::standin_log_settings settings;
    settings.set_appends_per_second(1);
    log_bench bench(settings);
    test::run_task(bench.context, [&]() -> asio::awaitable<void> {
        int overloaded = 0;
        for (int i = 0; i < 20; ++i) {
            auto reply = co_await bench.client.append(i % 2 == 0 ? "a" : "b", "x");
            const bool busy = !reply && reply.last_reason().code == external_error::overloaded;
            overloaded += busy ? 1 : 0;
        }
        auto a = co_await bench.client.read("a", 1, 100, 0ms);
        auto b = co_await bench.client.read("b", 1, 100, 0ms);
        CHECK(overloaded > 0);
        CHECK(a->records.size() + b->records.size() == 20U - static_cast<unsigned>(overloaded));
    });
}

TEST_CASE("a partitioned caller gets no answer, and its append has no effect")
{
    log_bench bench({});
    test::run_task(bench.context, [&]() -> asio::awaitable<void> {
        co_await bench.fault(
            R"({"fault":"partition","from_address":"127.0.0.1","duration_ms":200})");
        auto cut_off = co_await bench.client.append("s", "never");
        CHECK(!cut_off);
        auto read = co_await bench.client.read("s", 1, 10, 0ms);
        CHECK(read->next_offset == 1);
    });
}
