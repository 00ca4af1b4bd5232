/** \file
 * Tests that no VM joins a replica before it has left its last one, unless the head of that one is
 * known to have closed, however the head was lost.
 */
#include <string>

#include <doctest/doctest.h>

#include "support/assembly_fixture.h"

using namespace chervildyke;
using test::assembly_fixture;

namespace {

constexpr int steps_to_recover = 30;

/** A small replica whose head stays open and answers no command. The only other VM of the domain is
 * its second member, beside a spare that can form a replica with it.
 */
struct unreachable_head_fixture : assembly_fixture {
    unreachable_head_fixture()
    {
        profile.models.erase(profile.models.begin());
        profile.models[0].initial_share = 1;
        settings.spare_share = 0;
        add_domain("d0-", 3);
        steps(4);
        REQUIRE(serving("small").size() == 1);
        name = serving("small").front();
        before = replica(name);
        head = before.members(0).id();
        member = before.members(1).id();
        for (const auto& [id, listed] : backends.all()) {
            spare = id == head || id == member ? spare : id;
        }
        unresponsive = {head};
        before_first_call = false;
    }

    /** Removes the head from the list as the assembler of a leader that knew it, or did not. */
    void lose_head(bool address_known)
    {
        backends.remove(head, now);
        step();
        lost_head& noted = history.lost_head_entry(before.epoch());
        noted.since = now;
        noted.address_known = address_known;
        noted.no_contact = true;
    }

    /** Runs plans until the member joins another replica, which it must have left before.
     * \return false without a join.
     */
    bool run_until_member_joins()
    {
        bool left = false;
        for (int i = 0; i < steps_to_recover; ++i) {
            for (const planned_command& planned : step().commands) {
                if (planned.vm != member) {
                    continue;
                }
                if (planned.command.kind == command_kind::leave && !unresponsive.contains(member)) {
                    CHECK(planned.command.epoch == before.epoch());
                    left = true;
                }
                if (planned.command.kind == command_kind::join) {
                    REQUIRE(left);
                    return true;
                }
            }
        }
        return false;
    }

    std::string name;
    schema::shared_replica before; // While it was serving.
    std::string head;
    std::string member;
    std::string spare;
};

} // namespace

// Guards against using the members of a head that a new leader can't address, and that is open.
TEST_CASE("members of a lost head join again only after they have left it")
{
    for (const bool address_known : {false, true}) {
        unreachable_head_fixture fixture;
        fixture.lose_head(address_known);
        CHECK(fixture.run_until_member_joins());
    }
}

TEST_CASE("members of a listed head that answers no command join again after they left")
{
    unreachable_head_fixture fixture;
    fixture.history.note_probe_outcome(fixture.head, probe_outcome::silent, fixture.now);
    fixture.now += fixture.settings.probe_silence_limit;
    fixture.history.note_probe_outcome(fixture.head, probe_outcome::silent, fixture.now);
    fixture.step();
    REQUIRE(fixture.replica(fixture.name).phase() == schema::shared_phase_retiring);
    fixture.step();
    engine_command close;
    close.kind = command_kind::close_now;
    close.epoch = fixture.before.epoch();
    fixture.history.note_outcome(fixture.head, close, command_outcome::unclear);
    CHECK(fixture.run_until_member_joins());
}

// Guards against using the members of a replica that a restored copy of the log lacks.
TEST_CASE("members of a replica that the ledger lacks join again after they left")
{
    unreachable_head_fixture fixture;
    fixture.backends.remove(fixture.head, fixture.now);
    keyed_records copy;
    copy.next_offset = fixture.ledger.end().offset;
    fixture.ledger.replace(copy);
    REQUIRE(fixture.ledger.replicas().empty());
    SUBCASE("the leader knows what it commanded before") {}
    SUBCASE("a leader that has just started")
    {
        fixture.history = assembly_history();
    }
    CHECK(fixture.run_until_member_joins());
}

TEST_CASE("a member that does not confirm that it left a lost head joins no other replica")
{
    unreachable_head_fixture fixture;
    fixture.unresponsive.insert(fixture.member);
    fixture.lose_head(false);
    CHECK_FALSE(fixture.run_until_member_joins());
    CHECK(fixture.ledger.holder_of(fixture.member) == fixture.name);
}

// Guards against using the members of a head that has stopped listening but still has calls, which
// may have been silent for as long as a lost head is waited for.
TEST_CASE("members of a lost head that refuses connections join again only after they left")
{
    unreachable_head_fixture fixture;
    fixture.lose_head(true);
    fixture.history.note_probe_outcome(fixture.head, probe_outcome::refused, fixture.now);
    fixture.history.note_probe_outcome(fixture.head, probe_outcome::refused, fixture.now);
    fixture.now += fixture.settings.lost_head_wait;
    const assembly_plan given_up = fixture.step();
    REQUIRE(given_up.commands.size() == 2); // The head is still told to close.
    CHECK(given_up.commands.front().vm == fixture.member);
    CHECK(given_up.commands.front().command.kind == command_kind::leave);
    fixture.step();
    CHECK_FALSE(fixture.ledger.holder_of(fixture.member));
    CHECK_FALSE(fixture.history.is_closed(fixture.before.epoch()));
    fixture.steps(2);
    CHECK(fixture.ledger.holder_of(fixture.member));
}

TEST_CASE("the members of a head that confirms that it closed are free at once")
{
    unreachable_head_fixture fixture;
    fixture.unresponsive.clear();
    backend restarted = fixture.backends.find(fixture.head)->server;
    restarted.started_ms = 2;
    restarted.membership.reset();
    fixture.backends.apply(restarted, fixture.now);
    fixture.steps(2);
    CHECK_FALSE(fixture.ledger.holder_of(fixture.member) == fixture.name);
    CHECK(fixture.history.is_closed(fixture.before.epoch()));
}

// Guards against using members that were not listed when their lost head was given up.
TEST_CASE("a member that is listed again after its lost head was given up leaves before it joins")
{
    unreachable_head_fixture fixture;
    const backend listed = fixture.backends.find(fixture.member)->server;
    fixture.backends.remove(fixture.member, fixture.now);
    fixture.lose_head(false);
    fixture.now += fixture.settings.lost_head_wait;
    fixture.steps(2);
    CHECK_FALSE(fixture.ledger.replicas().contains(fixture.name));
    fixture.backends.apply(listed, fixture.now);
    CHECK(fixture.run_until_member_joins());
}

// Guards against trusting a departure that a join which the member executed late has undone.
TEST_CASE("a member that is back in the replica of its lost head leaves again before it joins")
{
    unreachable_head_fixture fixture;
    const backend in_replica = fixture.backends.find(fixture.member)->server;
    const backend other = fixture.backends.find(fixture.spare)->server;
    fixture.backends.remove(fixture.spare, fixture.now); // The member can form no other replica.
    fixture.lose_head(false);
    fixture.now += fixture.settings.lost_head_wait;
    fixture.steps(2);
    REQUIRE_FALSE(fixture.ledger.replicas().contains(fixture.name));
    REQUIRE_FALSE(fixture.backends.find(fixture.member)->server.membership);
    fixture.backends.apply(in_replica, fixture.now);
    fixture.backends.apply(other, fixture.now);
    fixture.now += list_lag;
    CHECK(fixture.run_until_member_joins());
}

// A new leader does not know which heads its predecessor closed. A leave affects no other replica
// than the one that it names, so all that it costs is one command for each member.
TEST_CASE("a new leader makes the members of a closed replica leave once")
{
    unreachable_head_fixture fixture;
    fixture.unresponsive.clear();
    fixture.backends.remove(fixture.spare, fixture.now);
    backend restarted = fixture.backends.find(fixture.head)->server;
    restarted.started_ms = 2;
    restarted.membership.reset();
    fixture.backends.apply(restarted, fixture.now);
    fixture.steps(2);
    REQUIRE(fixture.history.is_closed(fixture.before.epoch()));
    REQUIRE(fixture.backends.find(fixture.member)->server.membership);
    fixture.history = assembly_history();
    std::size_t leaves = 0;
    for (int i = 0; i < 4; ++i) {
        for (const planned_command& planned : fixture.step().commands) {
            leaves +=
                planned.vm == fixture.member && planned.command.kind == command_kind::leave ? 1 : 0;
        }
    }
    CHECK(leaves == 1);
    CHECK(fixture.ledger.holder_of(fixture.member));
}

// Guards against holding all members of a replica for as long as one of them can't be reached.
TEST_CASE("a member that does not answer keeps only itself from joining another replica")
{
    assembly_fixture fixture;
    fixture.profile.models.pop_back();
    fixture.profile.models[0].initial_share = 1;
    fixture.settings.spare_share = 0;
    fixture.add_domain("d0-", 6);
    fixture.steps(4);
    REQUIRE(fixture.serving("large").size() == 1);
    const std::string name = fixture.serving("large").front();
    const schema::shared_replica before = fixture.replica(name);
    const std::string head = before.members(0).id();
    const std::string silent = before.members(1).id();
    fixture.before_first_call = false;
    fixture.unresponsive = {head, silent};
    fixture.backends.remove(head, fixture.now);
    fixture.step();
    lost_head& lost = fixture.history.lost_head_entry(before.epoch());
    lost.since = fixture.now;
    lost.no_contact = true;
    engine_command leave;
    leave.kind = command_kind::leave;
    leave.epoch = before.epoch();
    std::size_t joined = 0;
    for (int i = 0; i < steps_to_recover; ++i) {
        for (const planned_command& planned : fixture.step().commands) {
            if (planned.command.kind == command_kind::join) {
                REQUIRE(planned.vm != silent);
                joined +=
                    planned.vm == before.members(2).id() || planned.vm == before.members(3).id();
            }
        }
        fixture.history.note_outcome(silent, leave, command_outcome::unclear);
    }
    CHECK(joined == 2);
    fixture.unresponsive.clear();
    fixture.steps(2);
    CHECK_FALSE(fixture.backends.find(silent)->server.membership);
}
