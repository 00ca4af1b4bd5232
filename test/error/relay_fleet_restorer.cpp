/** \file
 * Tests when a node writes what a restored log lacks, and when a node that starts may serve calls,
 * while other nodes or the log fail.
 */
#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "base/task.h"
#include "platform/published_documents.h"
#include "relay/fleet_restorer.h"
#include "support/restorable_log.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

keyed_record configuration(int version)
{
    keyed_record record;
    record.key = "config";
    record.value = R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
    return record;
}

/** One node "n1", whose peers report what a test says. */
struct node_fixture {
    node_fixture()
    {
        log.write("op", configuration(1));
        start();
    }

    /** Starts the node, or ends it and starts it again. */
    void start()
    {
        link->node_ended = true;
        link = std::make_shared<test::log_link>();
        shared_log calls = log.calls(link);
        const auto append = calls.append;
        calls.append = [this, append](std::string topic, log_position at,
                                      std::vector<keyed_record> records) {
            ++writes;
            return append(std::move(topic), at, std::move(records));
        };
        const auto put = calls.put;
        calls.put = [this, put](std::string topic, std::vector<keyed_record> records) {
            ++writes;
            return put(std::move(topic), std::move(records));
        };
        views.push_back(std::make_shared<fleet_view>(
            context.get_executor(), calls, platform::make_fleet_codec(), seeded_random(1), 2s));
        view = views.back();
        view->on_change = [] {};
        view->on_configuration = [](const published_configuration_ptr&) {};
        view->is_leader = [] { return true; };
        fleet_restorer_hooks hooks;
        hooks.peers = [this] { return peers; };
        hooks.can_write = [this] { return can_write; };
        restorer = std::make_shared<fleet_restorer>("n1", calls, *view, hooks);
        spawn_task(context.get_executor(), "configuration", view->follow_configuration());
        spawn_task(context.get_executor(), "replicas", view->follow_replicas());
        spawn_task(context.get_executor(), "restore", restorer->run());
    }

    /** Turns the node away while version 5 is published, and restores the log without it. */
    void miss_version()
    {
        clock.advance(3s);
        log.refuse_topic("op");
        clock.advance(2s);
        log.write("op", configuration(5));
        clock.advance(missed_for);
        const time_point copied_at = monotonic_clock::now() - missed_for - 1s;
        log.restore(copied_at);
        log.refuse_topic("");
        clock.advance(500ms);
        REQUIRE(view->configuration_end().era == log.era());
        REQUIRE(view->configuration()->version() == 1);
    }

    static constexpr duration missed_for = 6s;

    void restore_log()
    {
        const time_point copied_at = monotonic_clock::now() - 2s;
        log.go_down();
        clock.advance(500ms);
        log.restore(copied_at);
        clock.advance(100ms);
    }

    bool is_current() const { return view->ledger().is_current(); }

    asio::io_context context{1};
    manual_clock clock{context};
    test::restorable_log log;
    std::shared_ptr<test::log_link> link = std::make_shared<test::log_link>();
    std::vector<std::shared_ptr<fleet_view>> views; // Also those of ended nodes.
    std::shared_ptr<fleet_view> view;
    std::shared_ptr<fleet_restorer> restorer;
    std::vector<known_agreement> peers;
    bool can_write = true;
    int writes = 0;
};

} // namespace

// Guards against a fleet that never plans again because the node that should write does not.
TEST_CASE("a node does not wait for ever for another one that knows as much")
{
    node_fixture fixture;
    fixture.clock.advance(3s);
    REQUIRE(fixture.is_current());
    fixture.peers = {{"n0", fixture.view->ledger().agreed_end(), 1, true}};
    fixture.restore_log();
    fixture.clock.advance(1s);
    CHECK_FALSE(fixture.is_current());
    fixture.clock.advance(1s);
    CHECK(fixture.is_current());
}

// Guards against a node that has just started and declares an older copy agreed.
TEST_CASE("a node that knows nothing agreed waits for nodes that do, also if they can't write")
{
    node_fixture fixture;
    fixture.clock.advance(3s);
    const log_position known = fixture.view->ledger().agreed_end();
    fixture.restore_log();
    fixture.peers = {{"n2", known, 1, false}};
    fixture.start();
    fixture.clock.advance(8s);
    CHECK_FALSE(fixture.is_current());
    CHECK(fixture.restorer->is_behind());
    fixture.clock.advance(4s);
    CHECK(fixture.is_current());
}

// Guards against a configuration that goes back at a node that starts: a late write of a node with
// an older one replaced the newest, and nobody wrote it again.
TEST_CASE("the configuration in force is written again while another node has an older one")
{
    node_fixture fixture;
    fixture.clock.advance(3s);
    fixture.log.write("op", configuration(5));
    fixture.clock.advance(100ms);
    REQUIRE(fixture.view->configuration()->version() == 5);
    fixture.restore_log();
    fixture.clock.advance(1s);
    fixture.log.write(accepted_configuration_topic, configuration(3)); // By a node that was late.
    fixture.peers = {{"n0", {}, 3, true}};
    fixture.clock.advance(1500ms);
    fixture.start();
    fixture.clock.advance(1s);
    CHECK(fixture.view->configuration()->version() == 5);
}

// Guards against a revoked key that is honoured by a node whose first reads fail.
TEST_CASE("a node that starts serves nothing until it has read what the others have written")
{
    node_fixture fixture;
    fixture.clock.advance(3s);
    fixture.log.write("op", configuration(5));
    fixture.clock.advance(100ms);
    fixture.restore_log();
    fixture.clock.advance(1s);
    fixture.log.refuse_topic(accepted_configuration_topic);
    fixture.start();
    fixture.clock.advance(2s);
    CHECK(fixture.view->configuration()->version() == 1);
    CHECK(fixture.restorer->is_behind());
    fixture.log.refuse_topic("");
    fixture.clock.advance(500ms);
    CHECK(fixture.view->configuration()->version() == 5);
    CHECK_FALSE(fixture.restorer->is_behind());
}

// Guards against calls without a pause on a store that refuses them.
TEST_CASE("writes that are refused are repeated after a pause")
{
    node_fixture fixture;
    fixture.clock.advance(3s);
    fixture.log.write("op", configuration(5));
    fixture.clock.advance(100ms);
    fixture.log.refuse_writes(true);
    fixture.restore_log();
    fixture.writes = 0;
    fixture.clock.advance(4s);
    CHECK(fixture.writes >= 4);
    CHECK(fixture.writes <= 20); // Two writes in each 400 ms.
    fixture.log.refuse_writes(false);
    fixture.clock.advance(1s);
    CHECK(fixture.is_current());
}

// Guards against a revoked key that is honoured by a node which the log rejected while it was
// revoked: the first read of the restored log made its older configuration look up to date.
TEST_CASE("a restored log does not make a configuration from before an outage look up to date")
{
    node_fixture fixture;
    fixture.miss_version();
    CHECK(*fixture.view->configuration_age() > fixture.missed_for);
    fixture.log.write("op", configuration(5));
    fixture.clock.advance(100ms);
    CHECK(fixture.view->configuration()->version() == 5);
    CHECK(*fixture.view->configuration_age() < 1s);
}

// Guards against the same when operators write again later than they usually do.
TEST_CASE("a version that a peer has in force is waited for although the restored log lacks it")
{
    node_fixture fixture;
    fixture.view->note_configuration_version(5);
    fixture.miss_version();
    fixture.peers = {{"n0", {}, 5, true}};
    fixture.clock.advance(4s);
    CHECK(fixture.view->standing_of_configuration() == configuration_standing::lacks_version);
    CHECK(*fixture.view->configuration_age() > fixture.missed_for);
    fixture.log.write(accepted_configuration_topic, configuration(5)); // By the peer.
    fixture.clock.advance(1s);
    CHECK(fixture.view->configuration()->version() == 5);
    CHECK(*fixture.view->configuration_age() < 3s);
}

// Guards against calls with valid keys that are refused until operators write, which they may never
// do if the restored log lacks nothing of theirs.
TEST_CASE("a node that hears nobody serves by the restored log after a while")
{
    node_fixture fixture;
    fixture.miss_version();
    fixture.clock.advance(4s);
    CHECK(*fixture.view->configuration_age() > fixture.missed_for);
    fixture.clock.advance(1s);
    CHECK(*fixture.view->configuration_age() < 3s);
}

// Guards against calls that are refused by a node which knows all that was acknowledged.
TEST_CASE("a node that reached the log until a short outage refuses no calls after it")
{
    node_fixture fixture;
    fixture.clock.advance(3s);
    fixture.restore_log();
    for (int i = 0; i < 100; ++i) {
        fixture.view->note_configuration_version(1);
        CHECK(*fixture.view->configuration_age() < 4500ms);
        fixture.clock.advance(50ms);
    }
    CHECK(is_proven(fixture.view->standing_of_configuration()));
}

// Guards against a revoked key that is honoured because a record which can't be read, or an older
// version, counts as all that operators had to write again.
TEST_CASE("a record that puts nothing newer in force does not end the wait for operators")
{
    node_fixture fixture;
    fixture.miss_version();
    keyed_record odd = configuration(5);
    SUBCASE("it can't be read")
    {
        odd.value = "{";
    }
    SUBCASE("it is an older version")
    {
        odd = configuration(0);
    }
    fixture.log.write("op", odd);
    fixture.clock.advance(100ms);
    CHECK(*fixture.view->configuration_age() > fixture.missed_for);
    fixture.log.write("op", configuration(5));
    fixture.clock.advance(100ms);
    CHECK(*fixture.view->configuration_age() < 1s);
}

// Guards against a revoked key that is honoured when all nodes start on a restored log: nobody
// knows what it lacks, and the first one served by the copy before operators had written again.
TEST_CASE("a node that starts on a copy and hears nobody waits until operators have written again")
{
    node_fixture fixture;
    fixture.clock.advance(3s);
    REQUIRE(fixture.is_current());
    fixture.log.write("op", configuration(5));
    fixture.clock.advance(1s);
    fixture.log.restore(monotonic_clock::now() - 1500ms);
    fixture.start();
    fixture.clock.advance(1900ms);
    CHECK(fixture.view->configuration()->version() == 1);
    CHECK(fixture.restorer->is_behind());
    fixture.log.write("op", configuration(5));
    fixture.clock.advance(500ms);
    CHECK_FALSE(fixture.restorer->is_behind());
    CHECK(fixture.view->configuration()->version() == 5);
}

// Guards against a fleet that starts more slowly for the first time, when no log is a copy.
TEST_CASE("a node that starts on a log that was never written waits only to hear its peers")
{
    node_fixture fixture;
    fixture.clock.advance(1500ms);
    CHECK_FALSE(fixture.restorer->is_behind());
}
