/** \file
 * Tests routes, keys and the list of backend servers.
 */
#include <doctest/doctest.h>

#include "fleet/backend_table.h"
#include "fleet/service_map.h"

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
    service_map::builder builder;
    const auto map = builder.route(route_at("/a/")).route(route_at("/a/b/")).build();
    REQUIRE(map->find_route("desk.example", "/a/b/c") != nullptr);
    CHECK(map->find_route("desk.example", "/a/b/c")->name == "/a/b/");
    CHECK(map->find_route("desk.example", "/a/c")->name == "/a/");
    CHECK(map->find_route("desk.example", "/b") == nullptr);
    CHECK(map->find_route("other.example", "/a/") == nullptr);
}

TEST_CASE("a key belongs to its team until a configuration leaves it out")
{
    team_keys team;
    team.name = "counter";
    team.keys = {"k1", "k2"};
    service_map::builder with_both;
    const auto before = with_both.team(team).build();
    team.keys = {"k2"};
    service_map::builder with_one;
    const auto after = with_one.team(team).build();
    CHECK(before->team_of("k1")->name == "counter");
    CHECK(after->team_of("k1") == nullptr);
    CHECK(after->team_of("k2")->name == "counter");
}

TEST_CASE("an entry that vanishes from a steady list is gone at once")
{
    backend_table table(2s);
    const time_point now{10s};
    table.apply(server("a"), now);
    table.remove("a", now + 1s);
    CHECK(table.find("a") == nullptr);
}

TEST_CASE("an entry that lapsed in an outage may come back for a while")
{
    backend_table table(2s);
    const time_point now{10s};
    table.apply(server("a"), now);
    table.apply(server("b"), now);
    table.note_outage(now + 5s);
    table.remove("a", now + 6s);
    table.remove("b", now + 6s);
    CHECK(table.drop_lapsed(now + 6s).empty());
    table.apply(server("a"), now + 6500ms);
    CHECK(table.drop_lapsed(now + 8s) == std::vector<std::string>{"b"});
    CHECK(table.find("a") != nullptr);
}
