/** \file
 * Tests the lookup of routes and keys, and the removal of backend servers from the local list.
 */
#include <doctest/doctest.h>

#include "fleet/backend_table.h"
#include "fleet/published_configuration.h"

using namespace chervildyke;

namespace {

call_route route_at(const std::string& prefix)
{
    call_route route;
    route.name = prefix;
    route.host = "desk.example";
    route.path_prefix = prefix;
    return route;
}

backend server(const std::string& id)
{
    backend made;
    made.id = id;
    made.service = "orders";
    return made;
}

} // namespace

TEST_CASE("the route with the longest prefix is chosen")
{
    published_configuration::builder builder;
    const auto configuration = builder.route(route_at("/a/")).route(route_at("/a/b/")).build();
    REQUIRE(configuration->find_route("desk.example", "/a/b/c") != nullptr);
    CHECK(configuration->find_route("desk.example", "/a/b/c")->name == "/a/b/");
    CHECK(configuration->find_route("desk.example", "/a/c")->name == "/a/");
    CHECK(configuration->find_route("desk.example", "/b") == nullptr);
    CHECK(configuration->find_route("other.example", "/a/") == nullptr);
}

TEST_CASE("a key belongs to its team until a configuration no longer lists it")
{
    team_keys team;
    team.name = "counter";
    team.keys = {"k1", "k2"};
    published_configuration::builder with_both;
    const auto before = with_both.team(team).build();
    team.keys = {"k2"};
    published_configuration::builder with_one;
    const auto after = with_one.team(team).build();
    CHECK(before->find_team("k1")->name == "counter");
    CHECK(after->find_team("k1") == nullptr);
    CHECK(after->find_team("k2")->name == "counter");
}

TEST_CASE("an entry that disappears from a stable list is removed at once")
{
    backend_table table(2s);
    const time_point now{10s};
    table.apply(server("a"), now);
    table.remove("a", now + 1s);
    CHECK(table.find("a") == nullptr);
}

TEST_CASE("an entry that disappears after an outage of the list is kept for the grace period")
{
    backend_table table(2s);
    const time_point now{10s};
    table.apply(server("a"), now);
    table.apply(server("b"), now);
    table.note_outage(now + 5s, now + 5s);
    table.remove("a", now + 6s);
    table.remove("b", now + 6s);
    CHECK(table.remove_expired(now + 6s).empty());
    table.apply(server("a"), now + 6500ms);
    CHECK(table.remove_expired(now + 8s) == std::vector<std::string>{"b"});
    CHECK(table.find("a") != nullptr);
}

// Guards against calls to a server that has left: each failed read gave its expired entry, which
// had not been removed yet, another grace period.
TEST_CASE("an outage does not renew an entry that has expired")
{
    backend_table table(2s);
    const time_point now{10s};
    table.apply(server("a"), now);
    table.note_outage(now, now);
    table.remove("a", now + 1s);
    table.note_outage(now + 1900ms, now + 1900ms);
    CHECK_FALSE(table.find("a")->has_expired(now + 3800ms));
    table.note_outage(now + 4s, now + 4s);
    CHECK(table.find("a")->has_expired(now + 4s));
    CHECK(table.remove_expired(now + 4s) == std::vector<std::string>{"a"});
}

TEST_CASE("priorities are mixed only if streaming routes of one service differ")
{
    const auto streaming_route = [](const std::string& prefix, const std::string& service,
                                    std::uint32_t priority) {
        call_route route = route_at(prefix);
        route.streaming = true;
        route.services = {{service, 1}};
        route.priority = priority;
        return route;
    };
    published_configuration::builder builder;
    builder.route(streaming_route("/a/", "models", 1)).route(streaming_route("/b/", "models", 1));
    builder.route(streaming_route("/c/", "others", 0)).route(streaming_route("/d/", "others", 2));
    call_route plain = route_at("/e/");
    plain.services = {{"models", 1}};
    plain.priority = 2;
    const auto configuration = builder.route(plain).build();
    CHECK_FALSE(configuration->has_mixed_priorities("models"));
    CHECK(configuration->has_mixed_priorities("others"));
}
