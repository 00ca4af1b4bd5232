/** \file
 * Tests what a node keeps of its list of backend servers when the log was restored from an older
 * copy.
 */
#include <doctest/doctest.h>

#include "fleet/backend_table.h"

using namespace chervildyke;

namespace {

backend server(const std::string& id, std::uint64_t started_ms = 1)
{
    backend entry;
    entry.id = id;
    entry.started_ms = started_ms;
    return entry;
}

backend member(const std::string& id, membership_phase phase)
{
    backend entry = server(id);
    entry.membership = replica_membership{"r1", 1, 0, phase};
    return entry;
}

struct table_fixture {
    time_point now{100s};
    backend_table table{2s};
};

} // namespace

// Guards against a sound replica that is retired because the copy shows its head before it opened.
TEST_CASE("an entry that a newer one had replaced does not come back with a restored list")
{
    table_fixture fixture;
    const backend joining = member("a", membership_phase::joining);
    const backend open = member("a", membership_phase::open);
    fixture.table.apply(joining, fixture.now);
    fixture.table.apply(open, fixture.now);
    fixture.table.restore({joining}, fixture.now);
    CHECK(fixture.table.find("a")->server == open);
    SUBCASE("an entry that was not seen before is applied")
    {
        const backend broken = member("a", membership_phase::broken);
        fixture.table.restore({broken}, fixture.now);
        CHECK(fixture.table.find("a")->server == broken);
    }
    SUBCASE("what the server writes afterwards is applied")
    {
        fixture.table.apply(joining, fixture.now);
        CHECK(fixture.table.find("a")->server == joining);
    }
}

// Guards against calls to a server that has left, because the copy still lists it.
TEST_CASE("a server that was removed or is leaving does not come back with a restored list")
{
    table_fixture fixture;
    backend leaving = server("leaving");
    leaving.leaving = true;
    fixture.table.apply(leaving, fixture.now);
    fixture.table.apply(server("gone"), fixture.now);
    fixture.table.apply(server("restarted", 2), fixture.now);
    fixture.table.remove("gone", fixture.now);
    fixture.table.restore({server("leaving"), server("gone"), server("restarted", 1)}, fixture.now);
    CHECK(fixture.table.find("leaving")->server.leaving);
    CHECK(fixture.table.find("gone") == nullptr);
    CHECK(fixture.table.find("restarted")->server.started_ms == 2);
    fixture.table.apply(server("gone"), fixture.now);
    CHECK(fixture.table.find("gone") != nullptr);
}

TEST_CASE("a server that a restored list lacks is kept for the grace period")
{
    table_fixture fixture;
    fixture.table.apply(server("a"), fixture.now);
    fixture.table.restore({}, fixture.now);
    CHECK(fixture.table.find("a") != nullptr);
    CHECK(fixture.table.remove_expired(fixture.now + 1900ms).empty());
    CHECK(fixture.table.remove_expired(fixture.now + 2s) == std::vector<std::string>{"a"});
}

// Guards against a plan for each heartbeat of a cold server, and against an old copy of the list
// that is not recognized, since the time for which a server stays cold differs in each entry.
TEST_CASE("the cold time of an entry does not make it a different one")
{
    table_fixture fixture;
    backend joining = member("a", membership_phase::joining);
    joining.cold_remaining = 3s;
    backend open = member("a", membership_phase::open);
    fixture.table.apply(joining, fixture.now);
    const std::uint64_t version = fixture.table.version();
    joining.cold_remaining = 2s;
    fixture.table.apply(joining, fixture.now + 1s);
    CHECK(fixture.table.version() == version);
    CHECK(fixture.table.find("a")->server.cold_remaining == 2s);
    CHECK(fixture.table.find("a")->last_seen_at == fixture.now + 1s);
    fixture.table.apply(open, fixture.now + 2s);
    joining.cold_remaining = 1s;
    fixture.table.restore({joining}, fixture.now + 3s);
    CHECK(fixture.table.find("a")->server == open);
}

TEST_CASE("an incarnation that was not in the first list has just appeared")
{
    table_fixture fixture;
    fixture.table.apply(server("a"), fixture.now);
    fixture.table.retain({"a"}, fixture.now);
    CHECK_FALSE(fixture.table.find("a")->appeared_at);
    fixture.table.apply(server("b"), fixture.now + 1s);
    fixture.table.apply(server("b"), fixture.now + 2s);
    fixture.table.apply(server("a", 2), fixture.now + 3s);
    CHECK(fixture.table.find("b")->appeared_at == fixture.now + 1s);
    CHECK(fixture.table.find("a")->appeared_at == fixture.now + 3s);
}
