/** \file
 * Tests over sockets that a node goes on reading a store that was restored from an older copy.
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

constexpr duration copy_age = 200ms;

/** A follower of the topic "t" of a store. */
struct follower_fixture {
    follower_fixture() : store(context.get_executor())
    {
        REQUIRE(store.listen_for_node(0, "127.0.0.1", 0));
        topic_hooks hooks;
        hooks.replace = [this](const keyed_records& read) {
            values.clear();
            note(read);
        };
        hooks.apply = [this](const keyed_records& read) { note(read); };
        hooks.outage = [](time_point) {};
        http = std::make_shared<http_client>(context.get_executor());
        const std::string address = "127.0.0.1:" + std::to_string(store.last_port());
        follower.emplace(platform::make_store_log(http, address), "t", hooks);
    }

    void note(const keyed_records& read)
    {
        for (const keyed_record& record : read.records) {
            values[record.key] = record.value.value_or("");
        }
    }

    /** Writes what the node reads, then a record that the copy keeps and two that it lacks. */
    asio::awaitable<void> write_and_restore()
    {
        store.put("keyed.t", "kept", "1");
        const duration span = 2 * copy_age;
        co_await sleep_for(span);
        store.put("keyed.t", "lost", "1");
        store.put("keyed.t", "lost", "2");
        co_await follower->read_once(0ms);
        CHECK(values.size() == 2);
        store.restore_copy(copy_age, rewrite_delay);
    }

    static constexpr duration rewrite_delay = 1h;
    asio::io_context context{1};
    soak::metadata_store store;
    std::shared_ptr<http_client> http;
    std::optional<topic_follower> follower;
    std::map<std::string, std::string> values;
};

} // namespace

// Guards against a node that never reads the restored store again, since it ends before what the
// node has read.
TEST_CASE("a follower reads on after the store was restored from an older copy")
{
    follower_fixture fixture;
    test::run_task(fixture.context, [&fixture]() -> asio::awaitable<void> {
        co_await fixture.write_and_restore();
        const bool restored = co_await fixture.follower->read_once(0ms);
        CHECK(restored);
        CHECK(fixture.values == std::map<std::string, std::string>{{"kept", "1"}});
        fixture.store.put("keyed.t", "added", "1");
        const bool read = co_await fixture.follower->read_once(0ms);
        CHECK(read);
        CHECK(fixture.values["added"] == "1");
    });
}

// Guards against a node that takes the records behind its position for the next ones, although the
// restored store has given out the offsets before it again.
TEST_CASE("a follower reads the whole topic when the restored store has grown past its position")
{
    follower_fixture fixture;
    test::run_task(fixture.context, [&fixture]() -> asio::awaitable<void> {
        co_await fixture.write_and_restore();
        for (const char* key : {"a", "b", "c"}) {
            fixture.store.put("keyed.t", key, "1");
        }
        const bool read = co_await fixture.follower->read_once(0ms);
        CHECK(read);
        CHECK(fixture.values.contains("a"));
        CHECK(fixture.values.contains("c"));
        CHECK_FALSE(fixture.values.contains("lost"));
    });
}
