/** \file
 * Tests how a node keeps its list of backend servers and its configuration up to date: from
 * messages of the leader or the reader while they arrive, otherwise from the log.
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

constexpr duration answer_timeout = 700ms; // Of a read beyond its wait.

/** A log in memory that counts its calls. */
struct counting_log {
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
                          duration wait) -> asio::awaitable<shared_log_result<topic_read>> {
            ++calls[topic];
            if (unanswered[topic] > 0) {
                --unanswered[topic];
                co_await sleep_for(wait + answer_timeout);
                ++timeouts;
                co_return shared_log_failure{shared_log_error::unknown_outcome, "silent"};
            }
            const time_point until = monotonic_clock::now() + wait;
            while (topics[topic].size() <= from && monotonic_clock::now() < until) {
                co_await sleep_for(5ms);
            }
            topic_read read;
            for (const keyed_record& record : topics[topic]) {
                if (record.offset >= from) {
                    read.records.records.push_back(record);
                }
            }
            read.records.next_offset = topics[topic].size();
            read.topic_end = topics[topic].size();
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

    keyed_record remove_server(const std::string& id)
    {
        keyed_record record;
        record.offset = topics["servers"].size();
        record.key = id;
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
    std::map<std::string, int> unanswered; // So many of the next reads get no answer, by topic.
    int timeouts = 0;                      // Of reads without an answer.
};

struct view_fixture {
    explicit view_fixture(fleet_view_settings settings = {})
    {
        log.add_server("i-1");
        log.publish(1);
        view = std::make_shared<fleet_view>(context.get_executor(), log.hooks(),
                                            platform::make_fleet_codec(), seeded_random(1), 2s,
                                            settings);
        view->on_change = [] {};
        view->on_configuration = [](const published_configuration_ptr&) {};
        view->is_leader = [this] { return leads; };
        view->reads_log_directly = [this] { return !has_reader; };
        view->on_read = [this](schema::shared_topic topic, const keyed_records& read) {
            forwarded[topic] += read.records.size();
        };
        spawn_task(context.get_executor(), "backends", view->follow_backends());
        spawn_task(context.get_executor(), "configuration", view->follow_configuration());
        clock.advance(1s);
        log.calls.clear();
    }

    /** Advances the time while the leader's state arrives five times a second. */
    void receive_from_leader(duration span, const peer_topic_state& state)
    {
        for (duration passed{}; passed < span; passed += 200ms) {
            view->apply_leader_backends(state);
            clock.advance(200ms);
        }
    }

    asio::io_context context{1};
    manual_clock clock{context};
    counting_log log;
    std::shared_ptr<fleet_view> view;
    bool leads = false;
    bool has_reader = false; // Another node reads the log for this one.
    std::map<schema::shared_topic, std::size_t> forwarded;
};

/** A view in a failure domain in which one node reads the log for all. */
struct shared_view_fixture : view_fixture {
    shared_view_fixture() : view_fixture(with_shared_configuration())
    {
        has_reader = true;
        clock.advance(1500ms); // The read in progress ends.
        log.calls.clear();
    }

    static fleet_view_settings with_shared_configuration()
    {
        fleet_view_settings settings;
        settings.max_shared_configuration_age = 2s;
        return settings;
    }

    /** Advances the time while the reader answers every half second. */
    void receive_from_reader(duration span, std::uint64_t end, duration age)
    {
        for (duration passed{}; passed < span; passed += 500ms) {
            view->confirm_configuration({0, end}, age);
            clock.advance(500ms);
        }
    }
};

} // namespace

TEST_CASE("a node that receives the leader's state does not read the list")
{
    view_fixture fixture;
    fixture.receive_from_leader(30s, {{0, 1}, 300ms, {}});
    CHECK(fixture.log.calls["servers"] == 0);
    CHECK(*fixture.view->backend_age() < 1s);
}

TEST_CASE("without a leader a node reads the list before a leaving server stops taking calls")
{
    view_fixture fixture;
    fixture.clock.advance(10s);
    CHECK(fixture.log.calls["servers"] >= 4);
    fixture.log.add_server("i-1", "draining");
    fixture.clock.advance(1300ms);
    CHECK(fixture.view->backends().find("i-1")->server.leaving);
}

TEST_CASE("a report of an old read does not refresh the list")
{
    view_fixture fixture;
    fixture.receive_from_leader(10s, {{0, 1}, 20s, {}});
    CHECK(fixture.log.calls["servers"] >= 4);
}

TEST_CASE("any node's state refreshes the list, unless that node has read more of it")
{
    view_fixture fixture;
    for (duration passed{}; passed < 10s; passed += 200ms) {
        fixture.view->confirm_backends({{0, 1}, 500ms, {}});
        fixture.clock.advance(200ms);
    }
    CHECK(fixture.log.calls["servers"] == 0);
    fixture.log.add_server("i-2");
    for (duration passed{}; passed < 2s; passed += 200ms) {
        fixture.view->confirm_backends({{0, 2}, 500ms, {}});
        fixture.clock.advance(200ms);
    }
    CHECK(fixture.view->backends().find("i-2") != nullptr);
}

TEST_CASE("a record that the leader sends is applied without a read")
{
    view_fixture fixture;
    const keyed_record leaving = fixture.log.add_server("i-1", "draining");
    fixture.receive_from_leader(200ms, {{0, 2}, 100ms, {leaving}});
    CHECK(fixture.view->backends().find("i-1")->server.leaving);
    fixture.receive_from_leader(5s, {{0, 2}, 100ms, {leaving}});
    CHECK(fixture.log.calls["servers"] == 0);
}

TEST_CASE("a node that missed a record which the leader has reads the list itself")
{
    view_fixture fixture;
    fixture.log.add_server("i-2");
    const keyed_record last = fixture.log.add_server("i-3");
    fixture.receive_from_leader(800ms, {{0, 3}, 100ms, {last}});
    CHECK(fixture.view->backends().find("i-2") != nullptr);
    CHECK(fixture.view->backends().find("i-3") != nullptr);
    CHECK(fixture.log.calls["servers"] == 1);
}

TEST_CASE("the leader reads the list continuously and sends new records")
{
    view_fixture fixture;
    fixture.leads = true;
    fixture.clock.advance(2s);
    const keyed_record added = fixture.log.add_server("i-2");
    fixture.clock.advance(500ms);
    CHECK((fixture.view->backend_list_end() == log_position{0, 2}));
    CHECK(*fixture.view->backend_age() < 1s);
    CHECK(fixture.view->recent_backends() == std::vector<keyed_record>{added});
    fixture.clock.advance(2s);
    CHECK(fixture.view->recent_backends().empty());
}

// Guards against calls to a server for longer than its drain time after it was removed from the
// list: one silent connection to the log, on which the configuration was read, started the grace
// period of an outage although the list was read all the time.
TEST_CASE("a server is gone once its removal is read although the configuration was not")
{
    view_fixture fixture;
    SUBCASE("the leader")
    {
        fixture.leads = true;
    }
    SUBCASE("another node") {}
    fixture.log.unanswered["op"] = 1;
    const auto follow_list = [&fixture](duration span, const peer_topic_state& state) {
        fixture.leads ? fixture.clock.advance(span) : fixture.receive_from_leader(span, state);
    };
    while (fixture.log.timeouts == 0) {
        follow_list(200ms, {{0, 1}, 300ms, {}});
    }
    const keyed_record removed = fixture.log.remove_server("i-1");
    follow_list(1s, {{0, 2}, 100ms, {removed}});
    CHECK(fixture.view->backends().find("i-1") == nullptr);
}

TEST_CASE("a server that a silent outage of the whole log removed is kept for the grace period")
{
    view_fixture fixture;
    fixture.leads = true;
    constexpr int all = 1000;
    fixture.log.unanswered = {{"op", all}, {"servers", all}};
    fixture.clock.advance(4s);
    fixture.log.remove_server("i-1");
    fixture.log.unanswered.clear();
    fixture.clock.advance(1s);
    CHECK(fixture.view->backends().find("i-1") != nullptr);
    fixture.clock.advance(3s); // The last timeout, the grace period and a read.
    CHECK(fixture.view->backends().find("i-1") == nullptr);
}

TEST_CASE("a node whose reader answers does not read the configuration")
{
    shared_view_fixture fixture;
    fixture.receive_from_reader(30s, 1, 700ms);
    CHECK(fixture.log.calls["op"] == 0);
    CHECK(*fixture.view->configuration_age() < 2s);
}

TEST_CASE("a node whose reader is silent or out of date reads the configuration itself")
{
    shared_view_fixture silent;
    silent.clock.advance(10s);
    CHECK(silent.log.calls["op"] >= 4);
    CHECK(*silent.view->configuration_age() < 2500ms);
    shared_view_fixture old;
    old.receive_from_reader(10s, 1, 20s);
    CHECK(old.log.calls["op"] >= 4);
    CHECK(*old.view->configuration_age() < 2500ms);
}

TEST_CASE("a configuration that the reader has and this node lacks is read and applied at once")
{
    shared_view_fixture fixture;
    fixture.log.publish(2);
    fixture.view->confirm_configuration({0, 2}, 100ms);
    CHECK((fixture.view->configuration_end() == log_position{0, 1}));
    fixture.clock.advance(300ms);
    CHECK(fixture.view->configuration()->version() == 2);
    CHECK(fixture.log.calls["op"] == 1);
}

TEST_CASE("a configuration that the reader forwards needs no read")
{
    shared_view_fixture fixture;
    const keyed_record newer = fixture.log.publish(2);
    fixture.view->apply_forwarded(schema::shared_topic_configuration, {{newer}, 0});
    CHECK(fixture.view->configuration()->version() == 2);
    fixture.receive_from_reader(10s, 2, 700ms);
    CHECK(fixture.log.calls["op"] == 0);
}

TEST_CASE("a reported offset beyond the end of the log costs one read")
{
    shared_view_fixture fixture;
    fixture.view->note_configuration_end({0, 99});
    fixture.receive_from_reader(5s, 1, 700ms);
    CHECK(fixture.log.calls["op"] == 1);
}

TEST_CASE("records missing from the leader's state are taken from the reader")
{
    shared_view_fixture fixture;
    const keyed_record second = fixture.log.add_server("i-2");
    const keyed_record third = fixture.log.add_server("i-3");
    fixture.receive_from_leader(200ms, {{0, 3}, 100ms, {third}});
    fixture.view->apply_forwarded(schema::shared_topic_backends, {{second, third}, 0});
    fixture.receive_from_leader(2s, {{0, 3}, 100ms, {third}});
    CHECK(fixture.view->backends().find("i-2") != nullptr);
    CHECK(fixture.log.calls["servers"] == 0);
}

TEST_CASE("a reader forwards records that it read or received once")
{
    view_fixture fixture;
    fixture.log.publish(2);
    fixture.clock.advance(100ms);
    CHECK(fixture.forwarded[schema::shared_topic_configuration] == 1);
    const keyed_record added = fixture.log.add_server("i-2");
    fixture.view->apply_forwarded(schema::shared_topic_backends, {{added}, 0});
    fixture.view->apply_forwarded(schema::shared_topic_backends, {{added}, 0});
    CHECK(fixture.forwarded[schema::shared_topic_backends] == 1);
}

// Guards against calls that are refused because the configuration is too old to check keys,
// although the log answers: a change near the end of a long poll left twice the poll's wait as the
// age.
TEST_CASE("the configuration is never older than one long poll while the log answers")
{
    view_fixture fixture;
    const duration longest = fleet_view_settings().configuration_wait + 100ms;
    for (int version = 2; version < 12; ++version) {
        for (duration passed{}; passed < 2500ms; passed += 100ms) {
            fixture.clock.advance(100ms);
            CHECK(*fixture.view->configuration_age() <= longest);
        }
        fixture.log.publish(version);
    }
}

// Guards against a node that refuses calls while it decodes configurations that are out of date.
TEST_CASE("of several configurations that are read at once only the newest is decoded")
{
    view_fixture fixture;
    std::vector<std::uint64_t> applied;
    fixture.view->on_configuration = [&](const published_configuration_ptr& configuration) {
        applied.push_back(configuration->version());
    };
    fixture.log.unanswered["op"] = 1;
    fixture.clock.advance(1500ms);
    for (const int version : {2, 3, 4}) {
        fixture.log.publish(version);
    }
    fixture.log.topics["op"].push_back({4, "config", "{"});
    fixture.clock.advance(3s);
    CHECK(applied == std::vector<std::uint64_t>{4});
}

// Guards against a node that forgets what a peer has told of a newer configuration, because a read
// that began before the change ended after the peer's word.
TEST_CASE("a peer's position is kept until a read that began later has reached the end")
{
    view_fixture fixture;
    fixture.log.publish(2);
    fixture.clock.advance(10ms); // A long poll has just begun.
    fixture.view->note_configuration_end({0, 5});
    fixture.log.publish(3);
    fixture.clock.advance(6ms); // It ends with one of the peer's records, and the next one begins.
    REQUIRE(fixture.view->configuration()->version() == 3);
    fixture.log.calls.clear();
    fixture.clock.advance(30ms);
    CHECK(fixture.log.calls["op"] == 1);
}
