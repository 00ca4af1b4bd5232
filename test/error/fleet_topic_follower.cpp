/** \file
 * Tests that a topic follower applies each record once and in order, never moves back, and reports
 * the age of its copy.
 */
#include <doctest/doctest.h>

#include "fleet/topic_follower.h"
#include "support/run_task.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

/** A fake log of one topic that can fail or lack its oldest records. */
struct fake_log {
    shared_log hooks()
    {
        shared_log log;
        log.read_latest = [this](std::string) -> asio::awaitable<shared_log_result<keyed_records>> {
            if (down) {
                co_return shared_log_failure{shared_log_error::unknown_outcome, "silent"};
            }
            keyed_records all = records;
            all.next_offset = records.records.size();
            co_return all;
        };
        log.read = [this](std::string, std::uint64_t from,
                          duration) -> asio::awaitable<shared_log_result<topic_read>> {
            if (during_read) {
                during_read();
            }
            if (down) {
                co_return shared_log_failure{shared_log_error::unknown_outcome, "silent"};
            }
            if (from < trimmed_before) {
                co_return shared_log_failure{shared_log_error::trimmed, "trimmed"};
            }
            topic_read read;
            read.records.next_offset = from;
            read.records.era = records.era;
            read.topic_end = records.records.size();
            for (const keyed_record& record : records.records) {
                if (record.offset >= from && read.records.records.size() < max_records) {
                    read.records.records.push_back(record);
                    read.records.next_offset = record.offset + 1;
                }
            }
            if (after_read) {
                after_read();
            }
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
    std::size_t max_records = 1000; // In one answer to a read.
    std::function<void()> during_read;
    std::function<void()> after_read; // After the answer was made.
};

struct follower_fixture {
    follower_fixture()
    {
        hooks.replace = [this](const keyed_records& read) {
            seen.clear();
            note(read);
        };
        hooks.apply = [this](const keyed_records& read) { note(read); };
        hooks.outage = [this](time_point) { ++outages; };
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

    fake_log log;
    topic_hooks hooks;
    std::optional<topic_follower> follower;
    std::vector<std::string> seen;
    int outages = 0;
};

using names = std::vector<std::string>;

} // namespace

TEST_CASE("records are applied once and in order, from the log or from a peer")
{
    follower_fixture fixture;
    fixture.log.add("a");
    fixture.read();
    fixture.log.add("b");
    fixture.log.add("c");
    keyed_records from_peer;
    from_peer.records = {fixture.log.records.records[1]};
    CHECK(fixture.follower->apply_records(from_peer));
    CHECK(fixture.follower->apply_records(from_peer)); // A repeated record is skipped.
    CHECK(fixture.seen == names{"a", "b"});
    fixture.read();
    CHECK(fixture.seen == names{"a", "b", "c"});
}

TEST_CASE("a peer's records that leave a gap are not applied")
{
    follower_fixture fixture;
    fixture.log.add("a");
    fixture.read();
    fixture.log.add("b");
    fixture.log.add("c");
    keyed_records from_peer;
    from_peer.records = {fixture.log.records.records[2]};
    CHECK_FALSE(fixture.follower->apply_records(from_peer));
    CHECK(fixture.seen == names{"a"});
}

TEST_CASE("after the history was trimmed the newest record of each key is read")
{
    follower_fixture fixture;
    fixture.log.add("a");
    fixture.read();
    fixture.log.add("b");
    fixture.log.trimmed_before = 2;
    fixture.read();
    CHECK(fixture.seen == names{"a", "b"});
}

TEST_CASE("the age increases during an outage")
{
    asio::io_context context;
    manual_clock clock(context);
    follower_fixture fixture;
    CHECK_FALSE(fixture.follower->age().has_value());
    fixture.log.add("a");
    fixture.read();
    clock.advance(3s);
    fixture.log.down = true;
    fixture.read();
    CHECK(fixture.outages == 1);
    CHECK(fixture.follower->age() == 3s);
    fixture.log.down = false;
    fixture.read();
    CHECK(fixture.follower->age() == 0s);
}

TEST_CASE("a peer's read lowers the age only to the age of that read, and only if this node has "
          "read as far")
{
    asio::io_context context;
    manual_clock clock(context);
    follower_fixture fixture;
    fixture.follower->confirm({0, 0}, 0s);
    CHECK_FALSE(fixture.follower->age().has_value()); // Nothing was read yet.
    fixture.log.add("a");
    fixture.read();
    clock.advance(3s);
    fixture.follower->confirm({0, 2}, 0s); // The peer has read more.
    CHECK(fixture.follower->age() == 3s);
    fixture.follower->confirm({0, 1}, 5s);
    CHECK(fixture.follower->age() == 3s);
    fixture.follower->confirm({0, 1}, 1s);
    CHECK(fixture.follower->age() == 1s);
}

// Guards against records of an earlier era that a peer forwards late, and against a copy that looks
// up to date because a peer has read as far in another era.
TEST_CASE("records and confirmations of another era are not applied")
{
    asio::io_context context;
    manual_clock clock(context);
    follower_fixture fixture;
    fixture.log.add("a");
    fixture.log.records.era = 2;
    fixture.read();
    clock.advance(1s);
    keyed_record late;
    late.offset = 1;
    late.key = "late";
    CHECK(fixture.follower->apply_records({{late}, 0, 1})); // Nothing is missing.
    CHECK_FALSE(fixture.follower->apply_records({{late}, 0, 3}));
    fixture.follower->confirm({1, 1}, 0s);
    fixture.follower->confirm({3, 1}, 0s);
    CHECK(fixture.seen == names{"a"});
    CHECK(fixture.follower->age() == 1s);
}

// Guards against a follower that takes answers of an earlier era, which were sent before a restore,
// for the state of the restored log.
TEST_CASE("a follower that learns of a newer era applies no answer of an earlier one")
{
    follower_fixture fixture;
    fixture.log.add("a");
    fixture.log.records.era = 1;
    fixture.read();
    CHECK(fixture.follower->note_era(2));
    CHECK_FALSE(fixture.follower->is_loaded());
    fixture.log.add("b");
    fixture.read();
    CHECK(fixture.seen == names{"a"});
    fixture.log.records.era = 2;
    fixture.read();
    CHECK(fixture.follower->is_loaded());
    CHECK(fixture.seen == names{"a", "b"});
    CHECK_FALSE(fixture.follower->note_era(2));
}

// Guards against an age of zero for a copy of the earlier era, when a peer shows the new era while
// a read is under way that is answered in the new era.
TEST_CASE("a follower that learns of a newer era during a read reads the whole topic")
{
    asio::io_context context;
    manual_clock clock(context);
    follower_fixture fixture;
    fixture.log.add("a");
    fixture.log.records.era = 1;
    fixture.read();
    clock.advance(2s);
    fixture.log.during_read = [&fixture] {
        fixture.log.records.records.clear();
        fixture.log.add("b");
        fixture.log.records.era = 2;
        fixture.follower->note_era(2);
    };
    fixture.read();
    CHECK(fixture.seen == names{"b"});
    CHECK(fixture.follower->age() == 0s);
    CHECK(fixture.follower->is_loaded());
}

// Guards against a copy that looks up to date while the log has more records than one answer holds.
TEST_CASE("the age counts from a read whose end has been reached, not from one that holds a part")
{
    asio::io_context context;
    manual_clock clock(context);
    follower_fixture fixture;
    fixture.log.add("a");
    fixture.read();
    for (const char* key : {"b", "c", "d"}) {
        fixture.log.add(key);
    }
    fixture.log.max_records = 1;
    clock.advance(3s);
    int answers = 0;
    fixture.log.after_read = [&] {
        fixture.log.down = ++answers == 2;
        clock.advance(100ms);
    };
    fixture.read();
    CHECK(fixture.seen == names{"a", "b", "c"});
    CHECK(fixture.follower->age() == 3s + 200ms); // Of the read of "a".
    CHECK(fixture.outages == 1);
    fixture.log.down = false;
    fixture.read();
    CHECK(fixture.seen == names{"a", "b", "c", "d"});
    CHECK(fixture.follower->age() == 100ms);
}

// Guards against a node that refuses calls as long as changes are made more quickly than it reads.
TEST_CASE("a topic that grows with each read becomes fresh as of the first read")
{
    asio::io_context context;
    manual_clock clock(context);
    follower_fixture fixture;
    fixture.log.add("a");
    fixture.read();
    for (const char* key : {"b", "c", "d"}) {
        fixture.log.add(key);
    }
    clock.advance(3s);
    fixture.log.max_records = 1;
    fixture.log.after_read = [&] {
        fixture.log.add("more");
        clock.advance(100ms);
    };
    fixture.read();
    CHECK(fixture.seen == names{"a", "b", "c", "d"});
    CHECK(fixture.follower->age() == 300ms);
}

// Guards against a follower that reads the same offset again and again, or takes an answer without
// records for the end of the topic.
TEST_CASE("records that the log does not return are read as the newest of each key")
{
    asio::io_context context;
    manual_clock clock(context);
    follower_fixture fixture;
    fixture.log.add("a");
    fixture.read();
    fixture.log.add("b");
    fixture.log.max_records = 0;
    clock.advance(3s);
    fixture.read();
    CHECK(fixture.seen == names{"a", "b"});
    CHECK(fixture.follower->age() == 0s);
}

TEST_CASE("history that is trimmed between two parts is read as the newest record of each key")
{
    follower_fixture fixture;
    fixture.log.add("a");
    fixture.read();
    for (const char* key : {"b", "c", "d"}) {
        fixture.log.add(key);
    }
    fixture.log.max_records = 1;
    fixture.log.after_read = [&fixture] { fixture.log.trimmed_before = 3; };
    fixture.read();
    CHECK(fixture.seen == names{"a", "b", "c", "d"});
    CHECK(fixture.follower->position() == log_position{0, 4});
}

// Guards against an answer of a copy that lags behind, which would confirm what was read.
TEST_CASE("an answer whose end lies before what was read confirms nothing")
{
    asio::io_context context;
    manual_clock clock(context);
    follower_fixture fixture;
    fixture.log.add("a");
    fixture.log.add("b");
    fixture.read();
    clock.advance(3s);
    fixture.log.records.records.pop_back();
    fixture.read();
    CHECK(fixture.follower->age() == 3s);
    CHECK(fixture.follower->last_read_failed());
}

// Guards against a restored log whose records complete what was read of the log before it.
TEST_CASE("an end that was observed in an earlier era is not reached in a newer one")
{
    asio::io_context context;
    manual_clock clock(context);
    follower_fixture fixture;
    fixture.log.add("a");
    fixture.log.records.era = 1;
    fixture.read();
    fixture.log.add("b");
    fixture.log.add("c");
    fixture.log.max_records = 1;
    fixture.log.after_read = [&fixture] { fixture.log.down = true; };
    clock.advance(3s);
    fixture.read();
    CHECK(fixture.seen == names{"a", "b"});
    CHECK(fixture.follower->note_era(2));
    CHECK(fixture.follower->age() == 3s);
}
