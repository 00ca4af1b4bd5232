/** \file
 * Tests how soon a node has what was published in force if the log does not end an open long poll
 * when a record is appended.
 */
#include <map>

#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "base/task.h"
#include "platform/published_documents.h"
#include "relay/fleet_view.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

constexpr duration apply_time = 2s; // Within which a published change must be in force.

/** A log whose long polls end only when their wait is over. A poll returns what was appended in the
 * meantime.
 */
struct sleepy_log {
    shared_log hooks()
    {
        shared_log log;
        log.read_latest =
            [this](std::string topic) -> asio::awaitable<shared_log_result<keyed_records>> {
            ++calls[topic];
            co_return records_from(topic, 0);
        };
        log.read = [this](std::string topic, std::uint64_t from,
                          duration wait) -> asio::awaitable<shared_log_result<topic_read>> {
            ++calls[topic];
            if (topics[topic].size() <= from) {
                co_await sleep_for(wait);
            }
            topic_read read{records_from(topic, from), topics[topic].size()};
            co_return read;
        };
        return log;
    }

    keyed_records records_from(const std::string& topic, std::uint64_t from)
    {
        keyed_records read;
        for (const keyed_record& record : topics[topic]) {
            if (record.offset >= from) {
                read.records.push_back(record);
            }
        }
        read.next_offset = topics[topic].size();
        return read;
    }

    void append(const std::string& topic, const std::string& key, const std::string& value)
    {
        keyed_record record;
        record.offset = topics[topic].size();
        record.key = key;
        record.value = value;
        topics[topic].push_back(record);
    }

    void publish(int version)
    {
        append("op", "config",
               R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})");
    }

    void list_server(const std::string& state)
    {
        append("servers", "i-1",
               R"({"service":"pool","address":"127.0.0.1:1","zone":"a","slots":1,"born":1,)"
               R"("state":")" +
                   state + "\"}");
    }

    std::map<std::string, std::vector<keyed_record>> topics;
    std::map<std::string, int> calls;
};

/** A node that follows the log for a while before anything changes. */
struct sleepy_fixture {
    /** \param follows_for until the change, so that it comes at any moment of a poll. */
    sleepy_fixture(bool leads, duration follows_for)
    {
        log.publish(1);
        log.list_server("ready");
        view = std::make_shared<fleet_view>(context.get_executor(), log.hooks(),
                                            platform::make_fleet_codec(), seeded_random(1), 2s);
        view->on_change = [] {};
        view->on_configuration = [](const published_configuration_ptr&) {};
        view->is_leader = [leads] { return leads; };
        spawn_task(context.get_executor(), "backends", view->follow_backends());
        spawn_task(context.get_executor(), "configuration", view->follow_configuration());
        clock.advance(1s + follows_for);
    }

    asio::io_context context{1};
    manual_clock clock{context};
    sleepy_log log;
    std::shared_ptr<fleet_view> view;
};

constexpr duration longest_poll = 3s;
constexpr duration poll_step = 100ms;

} // namespace

// Guards against calls that are refused by an older configuration on some nodes: the log missed to
// end their long polls, and they learned of the change only when the wait of 2.6 s was over.
TEST_CASE("a configuration is in force in time although the log does not end the poll")
{
    for (const bool leads : {false, true}) {
        for (duration moment{}; moment < longest_poll; moment += poll_step) {
            sleepy_fixture node(leads, moment);
            node.log.publish(2);
            node.clock.advance(apply_time);
            CHECK(node.view->configuration()->version() == 2);
        }
    }
}

// Guards against a node that waits for its own poll although another node has told it of a newer
// configuration.
TEST_CASE("a configuration that a peer has read is read at once while a poll is open")
{
    for (duration moment{}; moment < longest_poll; moment += poll_step) {
        sleepy_fixture node(false, moment);
        node.log.publish(2);
        node.view->note_configuration_end({0, 2});
        node.clock.advance(50ms);
        CHECK(node.view->configuration()->version() == 2);
    }
}

// Guards against a read of the log for each datagram of a peer that reports what the log lacks.
TEST_CASE("a peer that reports an offset beyond the end of the log causes few reads")
{
    sleepy_fixture node(false, 100ms);
    node.log.calls.clear();
    for (int i = 0; i < 50; ++i) {
        node.view->note_configuration_end({0, 99});
        node.clock.advance(100ms);
    }
    CHECK(node.log.calls["op"] <= 20); // In 5 s.
}

// Guards against calls to a server that leaves for longer than its drain time, if no leader sends
// the list and the log does not end the poll.
TEST_CASE("a leaving server is known in time although the log does not end the poll")
{
    for (const bool leads : {false, true}) {
        for (duration moment{}; moment < longest_poll; moment += poll_step) {
            sleepy_fixture node(leads, moment);
            node.log.list_server("draining");
            node.clock.advance(apply_time);
            CHECK(node.view->backends().find("i-1")->server.leaving);
        }
    }
}
