/** \file
 * Guards against a log stand-in that behaves other than the platform's log, and so hides faults of
 * the system: one that loses appends whose replies are dropped, keeps records beyond the retention,
 * exceeds its append rate, or answers a partitioned caller. Uses the client of the log service.
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

struct log_fixture {
    explicit log_fixture(schema::standin_log_settings settings)
        : service(context.get_executor(), with_listen_address(std::move(settings)))
    {
        REQUIRE(service.listen());
        address = "127.0.0.1:" + std::to_string(service.port());
        client = http_log_client(http, address);
    }

    static schema::standin_log_settings with_listen_address(schema::standin_log_settings settings)
    {
        settings.set_listen("127.0.0.1:0");
        return settings;
    }

    asio::awaitable<void> inject_fault(std::string body)
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

TEST_CASE("an append whose reply is dropped is stored in the stream")
{
    log_fixture fixture({});
    test::run_task(fixture.context, [&]() -> asio::awaitable<void> {
        co_await fixture.inject_fault(R"({"fault":"drop_reply","count":1})");
        auto lost = co_await fixture.client.append("s", "first");
        CHECK(!lost);
        CHECK(lost.failure().code == external_error::unknown_outcome);
        auto second = co_await fixture.client.append("s", "second");
        CHECK(*second == 2);
        auto read = co_await fixture.client.read("s", 1, 10, 0ms);
        CHECK(read->records.size() == 2);
        CHECK(read->records.front().payload == "first");
    });
}

TEST_CASE("streams have their own offsets, and a read waits for the next append")
{
    log_fixture fixture({});
    std::size_t received_records = 0;
    const auto long_poll = [&]() -> asio::awaitable<void> {
        auto read = co_await fixture.client.read("a", 2, 10, 5s);
        received_records = read->records.size();
    };
    test::run_task(fixture.context, [&]() -> asio::awaitable<void> {
        auto a = co_await fixture.client.append("a", "1");
        auto b = co_await fixture.client.append("b", "1");
        CHECK(*a == 1);
        CHECK(*b == 1);
        asio::co_spawn(fixture.context, long_poll, asio::detached);
        co_await sleep_for(20ms);
        auto next = co_await fixture.client.append("a", "2");
        CHECK(*next == 2);
        co_await sleep_for(50ms);
        CHECK(received_records == 1);
    });
}

TEST_CASE("records older than the retention are dropped, and a read returns the first offset kept")
{
    schema::standin_log_settings settings;
    settings.set_retention_ms(30);
    log_fixture fixture(settings);
    test::run_task(fixture.context, [&]() -> asio::awaitable<void> {
        auto first = co_await fixture.client.append("s", "old");
        CHECK(first);
        co_await sleep_for(100ms);
        auto read = co_await fixture.client.read("s", 1, 10, 0ms);
        CHECK(read->records.empty());
        CHECK(read->first_offset == 2);
        CHECK(read->next_offset == 2);
    });
}

TEST_CASE("appends beyond the rate of all streams together are rejected without effect")
{
    schema::standin_log_settings settings;
    settings.set_appends_per_second(1);
    log_fixture fixture(settings);
    test::run_task(fixture.context, [&]() -> asio::awaitable<void> {
        int overloaded = 0;
        for (int i = 0; i < 20; ++i) {
            auto reply = co_await fixture.client.append(i % 2 == 0 ? "a" : "b", "x");
            const bool is_overloaded = !reply && reply.failure().code == external_error::overloaded;
            overloaded += is_overloaded ? 1 : 0;
        }
        auto a = co_await fixture.client.read("a", 1, 100, 0ms);
        auto b = co_await fixture.client.read("b", 1, 100, 0ms);
        CHECK(overloaded > 0);
        CHECK(a->records.size() + b->records.size() == 20U - static_cast<unsigned>(overloaded));
    });
}

TEST_CASE("a partitioned caller gets no answer, and its append has no effect")
{
    log_fixture fixture({});
    test::run_task(fixture.context, [&]() -> asio::awaitable<void> {
        co_await fixture.inject_fault(
            R"({"fault":"partition","from_address":"127.0.0.1","duration_ms":200})");
        auto unanswered = co_await fixture.client.append("s", "never");
        CHECK(!unanswered);
        auto read = co_await fixture.client.read("s", 1, 10, 0ms);
        CHECK(read->next_offset == 1);
    });
}
