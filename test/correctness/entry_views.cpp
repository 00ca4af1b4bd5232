/** \file
 * Tests the following of views, the offered addresses, callers' keys and own checks of members.
 */
#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "entry/addresses.h"
#include "entry/member_check.h"
#include "entry/tenant_keys.h"
#include "entry/view_follower.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

routing_view_ptr version(std::uint64_t configuration, std::uint64_t offset)
{
    auto view = std::make_shared<schema::routing_view>();
    view->set_configuration_version(configuration);
    view->set_journal_offset(offset);
    return view;
}

} // namespace

TEST_CASE("a view older than the one in use is never taken")
{
    view_follower follower(watch_hook(), 1, seeded_random(1));
    CHECK(follower.offer(version(5, 9)));
    CHECK(!follower.offer(version(5, 8)));
    CHECK(!follower.offer(version(4, 99)));
    CHECK(follower.offer(version(5, 9)));
    CHECK(follower.offer(version(6, 1)));
    CHECK(follower.held().view->configuration_version() == 6);
}

TEST_CASE("a control that has just started does not replace the view of one that knows the fleet")
{
    view_follower follower(watch_hook(), 1, seeded_random(1));
    CHECK(follower.offer(version(5, 9)));
    const auto informed = std::make_shared<schema::routing_view>(*version(5, 10));
    informed->set_ready(true);
    CHECK(follower.offer(informed));
    CHECK(!follower.offer(version(5, 11)));
    CHECK(follower.held().view->journal_offset() == 10);
}

TEST_CASE("an entry goes on at other controls and back to its own, and keeps the last view")
{
    asio::io_context context;
    manual_clock clock(context);
    std::vector<bool> up{true, true, true};
    std::size_t followed = 99;
    const watch_hook watch = [&](std::size_t control, std::function<void(routing_view_ptr)> on_view,
                                 duration) -> asio::awaitable<std::string> {
        while (up[control]) {
            followed = control;
            on_view(version(1, 1));
            co_await sleep_for(500ms);
        }
        co_return "gone";
    };
    view_follower follower(watch, up.size(), seeded_random(1));
    asio::co_spawn(context, follower.run(), asio::detached);
    clock.advance(2s);
    CHECK(followed == 0);
    up[0] = false;
    clock.advance(3s);
    CHECK(followed != 0);
    CHECK(follower.age() < 1s);
    up[0] = true;
    clock.advance(40s, 10ms);
    CHECK(followed == 0);
    up = {false, false, false};
    clock.advance(60s, 10ms);
    CHECK(follower.held().view != nullptr);
    CHECK(follower.age() > 50s);
}

TEST_CASE("a control whose views stay old is left for another")
{
    asio::io_context context;
    manual_clock clock(context);
    const watch_hook watch = [&](std::size_t control, std::function<void(routing_view_ptr)> on_view,
                                 duration) -> asio::awaitable<std::string> {
        while (true) {
            on_view(version(control == 0 ? 1 : 2, 1));
            co_await sleep_for(500ms);
        }
    };
    view_follower follower(watch, 2, seeded_random(1));
    follower.offer(version(2, 1));
    asio::co_spawn(context, follower.run(), asio::detached);
    clock.advance(5s);
    CHECK(follower.age() < 1s);
}

TEST_CASE("callers are offered entries that do not drain, and never a draining one's own address")
{
    schema::routing_view view;
    for (int i = 1; i <= 8; ++i) {
        schema::entry_view& entry = *view.add_entries();
        entry.set_address("127.0.0." + std::to_string(i) + ":8080");
        entry.set_failure_domain(i % 2 == 0 ? "llano" : "brazos");
        entry.set_draining(i == 3);
    }
    schema::entry_load own;
    own.set_address("127.0.0.1:8080");
    own.set_draining(true);
    const auto document =
        nlohmann::json::parse(entries_document(&view, own, 30s, seeded_random(2)));
    CHECK(document["valid_for_ms"] == 30000);
    CHECK(document["entries"].size() == 6);
    for (const auto& entry : document["entries"]) {
        CHECK(entry["address"] != "127.0.0.1:8080");
        CHECK(entry["address"] != "127.0.0.3:8080");
    }
}

TEST_CASE("a key names its own tenant only, and unknown keys name none")
{
    auto view = std::make_shared<schema::routing_view>();
    tenant_keys keys(seeded_random(3));
    CHECK(keys.identify(view, "")->tenant == "public");
    for (const std::string name : {"mill", "joiner"}) {
        schema::tenant& tenant = *view->add_tenants();
        tenant.set_name(name);
        tenant.add_teams(name + "-team");
        schema::hashed_key& key = *tenant.add_keys();
        key.set_salt("salt-" + name);
        key.set_sha256(sha256_hex("salt-" + name + "key-of-" + name));
    }
    view->set_configuration_version(1);
    for (int round = 0; round < 2; ++round) { // The second time from memory.
        CHECK(keys.identify(view, "Bearer key-of-mill")->tenant == "mill");
        CHECK(keys.identify(view, "Bearer key-of-joiner")->tenant == "joiner");
        CHECK(!keys.identify(view, "Bearer key-of-nobody"));
        CHECK(!keys.identify(view, "key-of-mill"));
    }
    CHECK(!keys.identify(view, "Bearer key-of-mill")->may_call("joiner-team"));
    auto without = std::make_shared<schema::routing_view>(*view);
    without->mutable_tenants()->DeleteSubrange(0, 1);
    without->set_configuration_version(2);
    CHECK(!keys.identify(without, "Bearer key-of-mill"));
}

TEST_CASE("without controls a replica serves on only while every member says that it holds it")
{
    asio::io_context context;
    manual_clock clock(context);
    auto view = std::make_shared<schema::routing_view>();
    schema::replica_view& replica = *view->add_replicas();
    replica.set_replica_id(7);
    replica.set_team("desk");
    replica.set_serving(true);
    for (const char* address : {"a", "b"}) {
        replica.add_members()->set_address(address);
    }
    std::map<std::string, std::uint64_t> holds{{"a", 7}, {"b", 7}};
    engine_client engines;
    engines.report = [&](std::string address,
                         duration) -> asio::awaitable<external_result<schema::engine_report>> {
        schema::engine_report report;
        report.set_replica_id(holds[address]);
        report.set_fencing(holds[address]);
        report.set_condition(schema::engine_ready);
        co_return report;
    };
    const auto router = std::make_shared<replica_router>("gent-a", 3s, seeded_random(1));
    router->use_view(view, monotonic_clock::now());
    member_check checks(router, engines, [] { return true; });
    checks.view = [&]() -> routing_view_ptr { return view; };
    asio::co_spawn(context, checks.run(), asio::detached);
    clock.advance(20s);
    CHECK(router->usable(7, monotonic_clock::now()));
    holds["b"] = 8;
    clock.advance(1100ms);
    CHECK(!router->usable(7, monotonic_clock::now()));
    holds["b"] = 7;
    clock.advance(1100ms);
    CHECK(router->usable(7, monotonic_clock::now()));
}
