/** \file
 * Tests that a follower of the shared log never goes back, skips nothing and knows its age.
 */
#include <doctest/doctest.h>

#include "fleet/topic_follower.h"
#include "support/run_task.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

/** A log of one topic whose answers a test can spoil. */
struct spoiled_log {
    shared_log hooks()
    {
        shared_log log;
        log.newest = [this](std::string) -> asio::awaitable<shared_log_result<keyed_records>> {
            if (down) {
                co_return shared_log_failure{shared_log_error::unclear, "silent"};
            }
            keyed_records all = records;
            all.next_offset = records.records.size();
            co_return all;
        };
        log.read = [this](std::string, std::uint64_t from,
                          duration) -> asio::awaitable<shared_log_result<keyed_records>> {
            if (down) {
                co_return shared_log_failure{shared_log_error::unclear, "silent"};
            }
            if (from < trimmed_before) {
                co_return shared_log_failure{shared_log_error::trimmed, "trimmed"};
            }
            keyed_records read;
            for (const keyed_record& record : records.records) {
                if (record.offset >= from) {
                    read.records.push_back(record);
                }
            }
            read.next_offset = records.records.size();
            co_return read;
        };
        return log;
    }

    void add(const std::string& key)
    {
        keyed_record record;
        record.offset = records.records.size();
        record.key = key;
        record.value = "v";
        records.records.push_back(record);
    }

    keyed_records records;
    bool down = false;
    std::uint64_t trimmed_before = 0;
};

struct follower_bench {
    follower_bench()
    {
        hooks.replace = [this](const keyed_records& read) {
            seen.clear();
            note(read);
        };
        hooks.apply = [this](const keyed_records& read) { note(read); };
        hooks.outage = [this] { ++outages; };
        follower.emplace(log.hooks(), "topic", hooks);
    }

    void note(const keyed_records& read)
    {
        for (const keyed_record& record : read.records) {
            seen.push_back(record.key);
        }
    }

    void read()
    {
        asio::io_context context;
        test::run_task(context,
                       [this]() -> asio::awaitable<void> { co_await follower->read_once(0ms); });
    }

    spoiled_log log;
    topic_hooks hooks;
    std::optional<topic_follower> follower;
    std::vector<std::string> seen;
    int outages = 0;
};

using names = std::vector<std::string>;

} // namespace

TEST_CASE("records come once and in order, from the log or from a peer")
{
    follower_bench bench;
    bench.log.add("a");
    bench.read();
    bench.log.add("b");
    bench.log.add("c");
    keyed_records told;
    told.records = {bench.log.records.records[1]};
    CHECK(bench.follower->take(told));
    CHECK(bench.follower->take(told)); // Again; it is left out.
    CHECK(bench.seen == names{"a", "b"});
    bench.read();
    CHECK(bench.seen == names{"a", "b", "c"});
}

TEST_CASE("a peer's records that leave a gap are not taken")
{
    follower_bench bench;
    bench.log.add("a");
    bench.read();
    bench.log.add("b");
    bench.log.add("c");
    keyed_records told;
    told.records = {bench.log.records.records[2]};
    CHECK_FALSE(bench.follower->take(told));
    CHECK(bench.seen == names{"a"});
}

TEST_CASE("after the history was dropped the newest of each key is read")
{
    follower_bench bench;
    bench.log.add("a");
    bench.read();
    bench.log.add("b");
    bench.log.trimmed_before = 2;
    bench.read();
    CHECK(bench.seen == names{"a", "b"});
}

TEST_CASE("an outage confirms nothing: the age runs on")
{
    asio::io_context context;
    manual_clock clock(context);
    follower_bench bench;
    CHECK_FALSE(bench.follower->age().has_value());
    bench.log.add("a");
    bench.read();
    clock.advance(3s);
    bench.log.down = true;
    bench.read();
    CHECK(bench.outages == 1);
    CHECK(bench.follower->age() == 3s);
    bench.log.down = false;
    bench.read();
    CHECK(bench.follower->age() == 0s);
}

TEST_CASE("a peer's word confirms only what was read, and only as far back as it is old")
{
    asio::io_context context;
    manual_clock clock(context);
    follower_bench bench;
    bench.follower->confirm(0, 0s);
    CHECK_FALSE(bench.follower->age().has_value()); // Nothing was read yet.
    bench.log.add("a");
    bench.read();
    clock.advance(3s);
    bench.follower->confirm(2, 0s); // The peer has read more.
    CHECK(bench.follower->age() == 3s);
    bench.follower->confirm(1, 5s);
    CHECK(bench.follower->age() == 3s);
    bench.follower->confirm(1, 1s);
    CHECK(bench.follower->age() == 1s);
}
