/** \file
 * Guards against entries that route by an outdated view, which comes about when the control that
 * they watch fails, starts anew or falls behind. Also guards against a list that offers a draining
 * entry, and against a key that a cached result authenticates for another or a removed tenant.
 */
#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "entry/entry_list.h"
#include "entry/health_checker.h"
#include "entry/tenant_authenticator.h"
#include "entry/view_watcher.h"

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

TEST_CASE("a view older than the current one is never accepted")
{
    view_watcher watcher(watch_hook(), 1, seeded_random(1));
    CHECK(watcher.offer(version(5, 9)));
    CHECK(!watcher.offer(version(5, 8)));
    CHECK(!watcher.offer(version(4, 99)));
    CHECK(watcher.offer(version(5, 9)));
    CHECK(watcher.offer(version(6, 1)));
    CHECK(watcher.current().view->configuration_version() == 6);
}

// A control that has just started sends views that are not ready.
TEST_CASE("a view that is not ready does not replace a ready one")
{
    view_watcher watcher(watch_hook(), 1, seeded_random(1));
    CHECK(watcher.offer(version(5, 9)));
    const auto ready_view = std::make_shared<schema::routing_view>(*version(5, 10));
    ready_view->set_ready(true);
    CHECK(watcher.offer(ready_view));
    CHECK(!watcher.offer(version(5, 11)));
    CHECK(watcher.current().view->journal_offset() == 10);
}

TEST_CASE("an entry fails over to other controls, returns to its own, and keeps the last view")
{
    asio::io_context context;
    manual_clock clock(context);
    std::vector<bool> available{true, true, true};
    std::size_t watched = 99;
    const watch_hook watch = [&](std::size_t control, std::function<void(routing_view_ptr)> on_view,
                                 duration) -> asio::awaitable<std::string> {
        while (available[control]) {
            watched = control;
            on_view(version(1, 1));
            co_await sleep_for(500ms);
        }
        co_return "gone";
    };
    view_watcher watcher(watch, available.size(), seeded_random(1));
    asio::co_spawn(context, watcher.run(), asio::detached);
    clock.advance(2s);
    CHECK(watched == 0);
    available[0] = false;
    clock.advance(3s);
    CHECK(watched != 0);
    CHECK(watcher.age() < 1s);
    available[0] = true;
    clock.advance(40s, 10ms);
    CHECK(watched == 0);
    available = {false, false, false};
    clock.advance(60s, 10ms);
    CHECK(watcher.current().view != nullptr);
    CHECK(watcher.age() > 50s);
}

TEST_CASE("the watch moves to another control if the views of one stay outdated")
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
    view_watcher watcher(watch, 2, seeded_random(1));
    watcher.offer(version(2, 1));
    asio::co_spawn(context, watcher.run(), asio::detached);
    clock.advance(5s);
    CHECK(watcher.age() < 1s);
}

TEST_CASE("the list of entries contains no draining entry")
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
    const auto document = nlohmann::json::parse(entry_list_json(&view, own, 30s, seeded_random(2)));
    CHECK(document["valid_for_ms"] == 30000);
    CHECK(document["entries"].size() == 6);
    for (const auto& entry : document["entries"]) {
        CHECK(entry["address"] != "127.0.0.1:8080");
        CHECK(entry["address"] != "127.0.0.3:8080");
    }
}

TEST_CASE("a key authenticates only its own tenant, and an unknown key none")
{
    auto view = std::make_shared<schema::routing_view>();
    tenant_authenticator authenticator(seeded_random(3));
    CHECK(authenticator.authenticate(view, "")->tenant == "public");
    for (const std::string name : {"mill", "joiner"}) {
        schema::tenant& tenant = *view->add_tenants();
        tenant.set_name(name);
        tenant.add_teams(name + "-team");
        schema::hashed_key& key = *tenant.add_keys();
        key.set_salt("salt-" + name);
        key.set_sha256(sha256_hex("salt-" + name + "key-of-" + name));
    }
    view->set_configuration_version(1);
    for (int round = 0; round < 2; ++round) { // The second round uses the cache.
        CHECK(authenticator.authenticate(view, "Bearer key-of-mill")->tenant == "mill");
        CHECK(authenticator.authenticate(view, "Bearer key-of-joiner")->tenant == "joiner");
        CHECK(!authenticator.authenticate(view, "Bearer key-of-nobody"));
        CHECK(!authenticator.authenticate(view, "key-of-mill"));
    }
    CHECK(!authenticator.authenticate(view, "Bearer key-of-mill")->may_call("joiner-team"));
    auto reduced = std::make_shared<schema::routing_view>(*view);
    reduced->mutable_tenants()->DeleteSubrange(0, 1);
    reduced->set_configuration_version(2);
    CHECK(!authenticator.authenticate(reduced, "Bearer key-of-mill"));
}

TEST_CASE("with a stale view a replica stays usable only while all its members report it")
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
    health_checker checker(router, engines, [] { return true; });
    checker.current_view = [&]() -> routing_view_ptr { return view; };
    asio::co_spawn(context, checker.run(), asio::detached);
    clock.advance(20s);
    CHECK(router->usable(7, monotonic_clock::now()));
    holds["b"] = 8;
    clock.advance(1100ms);
    CHECK(!router->usable(7, monotonic_clock::now()));
    holds["b"] = 7;
    clock.advance(1100ms);
    CHECK(router->usable(7, monotonic_clock::now()));
}
