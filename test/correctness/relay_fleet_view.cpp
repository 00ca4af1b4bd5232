/** \file
 * Tests how a node keeps up with the list of backend servers: from the leading node's words while
 * they come, else from the log.
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

/** A log that counts the calls on it. */
struct counted_log {
    shared_log hooks()
    {
        shared_log log;
        log.read_latest =
            [this](std::string topic) -> asio::awaitable<shared_log_result<keyed_records>> {
            ++calls[topic];
            keyed_records all;
            all.records = topics[topic];
            all.next_offset = topics[topic].size();
            co_return all;
        };
        log.read = [this](std::string topic, std::uint64_t from,
                          duration wait) -> asio::awaitable<shared_log_result<keyed_records>> {
            ++calls[topic];
            const time_point until = monotonic_clock::now() + wait;
            while (topics[topic].size() <= from && monotonic_clock::now() < until) {
                co_await sleep_for(5ms);
            }
            keyed_records read;
            for (const keyed_record& record : topics[topic]) {
                if (record.offset >= from) {
                    read.records.push_back(record);
                }
            }
            read.next_offset = topics[topic].size();
            co_return read;
        };
        return log;
    }

    keyed_record add_server(const std::string& id, const std::string& state = "ready")
    {
        keyed_record record;
        record.offset = topics["servers"].size();
        record.key = id;
        record.value = R"({"service":"pool","address":"127.0.0.1:1","zone":"a","slots":1,"born":1,)"
                       R"("state":")" +
                       state + "\"}";
        topics["servers"].push_back(record);
        return record;
    }

    keyed_record publish(int version)
    {
        keyed_record record;
        record.offset = topics["op"].size();
        record.key = "config";
        record.value =
            R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
        topics["op"].push_back(record);
        return record;
    }

    std::map<std::string, std::vector<keyed_record>> topics;
    std::map<std::string, int> calls;
};

struct view_bench {
    explicit view_bench(fleet_view_settings settings = {})
    {
        log.add_server("i-1");
        log.publish(1);
        view = std::make_shared<fleet_view>(context.get_executor(), log.hooks(),
                                            platform::make_fleet_codec(), seeded_random(1), 2s,
                                            settings);
        view->on_change = [] {};
        view->on_configuration = [](const published_configuration_ptr&) {};
        view->wants_fresh_list = [this] { return leads; };
        view->reads_for_itself = [this] { return !has_reader; };
        view->on_read = [this](schema::shared_topic topic, const keyed_records& read) {
            forwarded[topic] += read.records.size();
        };
        spawn_task(context.get_executor(), "backends", view->follow_backends());
        spawn_task(context.get_executor(), "configuration", view->follow_configuration());
        clock.advance(1s);
        log.calls.clear();
    }

    /** Lets time pass while the leading node's word comes five times a second. */
    void hear_leader(duration span, const told_topic& told)
    {
        for (duration passed{}; passed < span; passed += 200ms) {
            view->take_told_backends(told);
            clock.advance(200ms);
        }
    }

    asio::io_context context{1};
    manual_clock clock{context};
    counted_log log;
    std::shared_ptr<fleet_view> view;
    bool leads = false;
    bool has_reader = false; // Another node reads the log for this one.
    std::map<schema::shared_topic, std::size_t> forwarded;
};

/** A view in a failure domain whose nodes share one reader. */
struct shared_view_bench : view_bench {
    shared_view_bench() : view_bench(with_told_configuration())
    {
        has_reader = true;
        clock.advance(1500ms); // The read under way ends.
        log.calls.clear();
    }

    static fleet_view_settings with_told_configuration()
    {
        fleet_view_settings settings;
        settings.told_configuration_limit = 2s;
        return settings;
    }

    /** Lets time pass while the reader answers each half second. */
    void hear_reader(duration span, std::uint64_t end, duration age)
    {
        for (duration passed{}; passed < span; passed += 500ms) {
            view->confirm_configuration(end, age);
            clock.advance(500ms);
        }
    }
};

} // namespace

TEST_CASE("a node that hears the leading one does not read the list")
{
    view_bench bench;
    bench.hear_leader(30s, {1, 300ms, {}});
    CHECK(bench.log.calls["servers"] == 0);
    CHECK(*bench.view->backend_age() < 1s);
}

TEST_CASE("a node that hears no leading one reads the list before a leaving server must be left")
{
    view_bench bench;
    bench.clock.advance(10s);
    CHECK(bench.log.calls["servers"] >= 4);
    bench.log.add_server("i-1", "draining");
    bench.clock.advance(1300ms);
    CHECK(bench.view->backends().find("i-1")->server.leaving);
}

TEST_CASE("an old word does not make the list fresh")
{
    view_bench bench;
    bench.hear_leader(10s, {1, 20s, {}});
    CHECK(bench.log.calls["servers"] >= 4);
}

TEST_CASE("any node's word keeps the list fresh, unless that node has read more")
{
    view_bench bench;
    for (duration passed{}; passed < 10s; passed += 200ms) {
        bench.view->confirm_backends({1, 500ms, {}});
        bench.clock.advance(200ms);
    }
    CHECK(bench.log.calls["servers"] == 0);
    bench.log.add_server("i-2");
    for (duration passed{}; passed < 2s; passed += 200ms) {
        bench.view->confirm_backends({2, 500ms, {}});
        bench.clock.advance(200ms);
    }
    CHECK(bench.view->backends().find("i-2") != nullptr);
}

TEST_CASE("a change that the leading node tells is taken without a read")
{
    view_bench bench;
    const keyed_record leaving = bench.log.add_server("i-1", "draining");
    bench.hear_leader(200ms, {2, 100ms, {leaving}});
    CHECK(bench.view->backends().find("i-1")->server.leaving);
    bench.hear_leader(5s, {2, 100ms, {leaving}});
    CHECK(bench.log.calls["servers"] == 0);
}

TEST_CASE("a node that missed a record which the leading one has reads the list itself")
{
    view_bench bench;
    bench.log.add_server("i-2");
    const keyed_record last = bench.log.add_server("i-3");
    bench.hear_leader(800ms, {3, 100ms, {last}});
    CHECK(bench.view->backends().find("i-2") != nullptr);
    CHECK(bench.view->backends().find("i-3") != nullptr);
    CHECK(bench.log.calls["servers"] == 1);
}

TEST_CASE("the leading node reads the list all the time and tells what is new")
{
    view_bench bench;
    bench.leads = true;
    bench.clock.advance(2s);
    const keyed_record added = bench.log.add_server("i-2");
    bench.clock.advance(500ms);
    CHECK(bench.view->backend_list_end() == 2);
    CHECK(*bench.view->backend_age() < 1s);
    CHECK(bench.view->recent_backends() == std::vector<keyed_record>{added});
    bench.clock.advance(2s);
    CHECK(bench.view->recent_backends().empty());
}

TEST_CASE("a node whose reader answers does not read the configuration")
{
    shared_view_bench bench;
    bench.hear_reader(30s, 1, 700ms);
    CHECK(bench.log.calls["op"] == 0);
    CHECK(*bench.view->configuration_age() < 2s);
}

TEST_CASE("a node whose reader is silent, or knows only old news, reads the configuration itself")
{
    shared_view_bench silent;
    silent.clock.advance(10s);
    CHECK(silent.log.calls["op"] >= 4);
    CHECK(*silent.view->configuration_age() < 2500ms);
    shared_view_bench old;
    old.hear_reader(10s, 1, 20s);
    CHECK(old.log.calls["op"] >= 4);
    CHECK(*old.view->configuration_age() < 2500ms);
}

TEST_CASE("a configuration that the reader has and this node lacks is in force at once")
{
    shared_view_bench bench;
    bench.log.publish(2);
    bench.view->confirm_configuration(2, 100ms);
    CHECK(bench.view->configuration_offset() == 1);
    bench.clock.advance(300ms);
    CHECK(bench.view->services()->version() == 2);
    CHECK(bench.log.calls["op"] == 1);
}

TEST_CASE("a configuration that the reader forwards needs no read")
{
    shared_view_bench bench;
    const keyed_record newer = bench.log.publish(2);
    bench.view->take_news(schema::shared_topic_configuration, {{newer}, 0});
    CHECK(bench.view->services()->version() == 2);
    bench.hear_reader(10s, 2, 700ms);
    CHECK(bench.log.calls["op"] == 0);
}

TEST_CASE("an end that nobody has read up to costs one read")
{
    shared_view_bench bench;
    bench.view->note_newer_configuration(99);
    bench.hear_reader(5s, 1, 700ms);
    CHECK(bench.log.calls["op"] == 1);
}

TEST_CASE("records that a leading node's word lacks come from the reader")
{
    shared_view_bench bench;
    const keyed_record second = bench.log.add_server("i-2");
    const keyed_record third = bench.log.add_server("i-3");
    bench.hear_leader(200ms, {3, 100ms, {third}});
    bench.view->take_news(schema::shared_topic_backends, {{second, third}, 0});
    bench.hear_leader(2s, {3, 100ms, {third}});
    CHECK(bench.view->backends().find("i-2") != nullptr);
    CHECK(bench.log.calls["servers"] == 0);
}

TEST_CASE("a reader passes on what it read, and what it was told, once")
{
    view_bench bench;
    bench.log.publish(2);
    bench.clock.advance(100ms);
    CHECK(bench.forwarded[schema::shared_topic_configuration] == 1);
    const keyed_record added = bench.log.add_server("i-2");
    bench.view->take_news(schema::shared_topic_backends, {{added}, 0});
    bench.view->take_news(schema::shared_topic_backends, {{added}, 0});
    CHECK(bench.forwarded[schema::shared_topic_backends] == 1);
}
