/** \file
 * Tests over sockets that a node does not take an answer of the store that holds a part of a topic
 * for the whole.
 */
#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "fleet/topic_follower.h"
#include "platform/store_client.h"
#include "soak/metadata_store.h"
#include "support/run_task.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

constexpr std::size_t record_bytes = 400'000; // Two of them fit into one answer.
constexpr duration unread_time = 500ms;

/** A follower of the topic "t" of a store. */
struct follower_fixture {
    follower_fixture() : store(context.get_executor())
    {
        REQUIRE(store.listen_for_node(0, "127.0.0.1", 0));
        topic_hooks hooks;
        hooks.replace = [](const keyed_records&) {};
        hooks.apply = [this](const keyed_records& read) {
            applied += read.records.size();
            on_apply();
        };
        hooks.outage = [](time_point) {};
        http = std::make_shared<http_client>(context.get_executor());
        const std::string address = "127.0.0.1:" + std::to_string(store.last_port());
        follower.emplace(platform::make_store_log(http, address), "t", hooks);
    }

    /** Reads the topic, then lets it grow to several answers and some time pass. */
    asio::awaitable<void> read_and_write()
    {
        store.put("keyed.t", "config", "1");
        co_await follower->read_once(0ms);
        for (int i = 0; i < 5; ++i) {
            store.put("keyed.t", "config", std::string(record_bytes, 'x'));
        }
        const duration span = unread_time;
        co_await sleep_for(span);
    }

    asio::io_context context{1};
    soak::metadata_store store;
    std::shared_ptr<http_client> http;
    std::optional<topic_follower> follower;
    std::size_t applied = 0;
    std::function<void()> on_apply = [] {};
};

} // namespace

// Guards against a revoked key that is honoured because the change which revoked it did not fit
// into the first answer after an outage.
TEST_CASE("a part of a topic does not make the copy look up to date")
{
    follower_fixture fixture;
    test::run_task(fixture.context, [&fixture]() -> asio::awaitable<void> {
        co_await fixture.read_and_write();
        fixture.on_apply = [&fixture] { fixture.store.faults().down = true; };
        co_await fixture.follower->read_once(0ms);
        CHECK(fixture.applied == 2);
        CHECK(*fixture.follower->age() >= unread_time);
    });
}

// Guards against a node that refuses calls for longer than it takes to read the rest.
TEST_CASE("the rest of a topic is read at once")
{
    follower_fixture fixture;
    test::run_task(fixture.context, [&fixture]() -> asio::awaitable<void> {
        co_await fixture.read_and_write();
        const duration long_wait = 1s;
        const bool read = co_await fixture.follower->read_once(long_wait);
        CHECK(read);
        CHECK(fixture.applied == 5);
        CHECK(*fixture.follower->age() < unread_time);
    });
}
