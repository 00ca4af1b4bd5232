/** \file
 * Tests that running calls finish at heads that are missing from the list of backend servers.
 */
#include <algorithm>
#include <cstddef>
#include <string>

#include <doctest/doctest.h>

#include "support/assembly_fixture.h"

using namespace chervildyke;
using test::assembly_fixture;

namespace {

constexpr int member_count = 4;

std::size_t count_commands(const assembly_plan& plan, command_kind kind)
{
    return static_cast<std::size_t>(std::count_if(
        plan.commands.begin(), plan.commands.end(),
        [kind](const planned_command& planned) { return planned.command.kind == kind; }));
}

/** A fleet with a large replica that answers calls and whose head can be removed from the list. */
struct missing_head_fixture : assembly_fixture {
    missing_head_fixture()
    {
        add_domain("d0-", 10);
        steps(4);
        name = serving("large").front();
        before = replica(name);
        head = before.members(0).id();
        REQUIRE(before.members_size() == member_count);
        set_silence(50ms);
    }

    void set_silence(duration silent) { uses[before.epoch()] = {3, 0, silent}; }

    /** Removes the head from the list and notes it as the assembler does. */
    void remove_head()
    {
        backends.remove(head, now);
        step();
        REQUIRE(replica(name).phase() == schema::shared_phase_retiring);
        lost_head& noted = history.lost_head_entry(before.epoch());
        noted.since = now;
        noted.address_known = true;
    }

    /** Makes one plan, whose commands to the head have the given outcome. */
    assembly_plan step_with_head(command_outcome outcome)
    {
        assembly_plan made = step();
        for (const planned_command& planned : made.commands) {
            if (planned.vm == head) {
                history.note_outcome(head, planned.command, outcome);
            }
        }
        return made;
    }

    std::string name;
    schema::shared_replica before; // While it was serving.
    std::string head;
};

} // namespace

// Guards against aborting the calls of a head that is only cut from the store.
TEST_CASE("calls at a head that is missing from the list finish while they make progress")
{
    missing_head_fixture fixture;
    fixture.remove_head();
    CHECK_FALSE(fixture.replica(fixture.name).abort_calls());
    const time_point end = fixture.now + fixture.settings.idle_close_timeout;
    std::size_t closes = 0;
    std::size_t aborts = 0;
    while (fixture.now < end) {
        const assembly_plan made = fixture.step_with_head(command_outcome::begun);
        closes += count_commands(made, command_kind::close_when_idle);
        aborts += count_commands(made, command_kind::close_now);
        aborts += count_commands(made, command_kind::leave);
        // No VM of the replica may join another one meanwhile.
        REQUIRE(fixture.ledger.replicas().contains(fixture.name));
    }
    CHECK(closes == 1);
    CHECK(aborts == 0);
    CHECK(count_commands(fixture.step_with_head(command_outcome::begun), command_kind::close_now) ==
          1);
    CHECK(count_commands(fixture.step_with_head(command_outcome::begun), command_kind::leave) == 1);
    fixture.step();
    CHECK_FALSE(fixture.ledger.replicas().contains(fixture.name));
}

// Guards against aborting the calls of a head that is missing from the list and silent for a
// second.
TEST_CASE("calls at a head that is missing from the list continue after a silence")
{
    missing_head_fixture fixture;
    fixture.remove_head();
    fixture.step_with_head(command_outcome::begun);
    fixture.set_silence(1200ms);
    const assembly_plan silent = fixture.step_with_head(command_outcome::begun);
    CHECK(count_commands(silent, command_kind::close_now) == 0);
    CHECK(count_commands(silent, command_kind::leave) == 0);
    CHECK(std::count(silent.probes.begin(), silent.probes.end(), fixture.head) == 1);
    SUBCASE("the events continue")
    {
        fixture.set_silence(50ms);
        CHECK(count_commands(fixture.plan(), command_kind::close_now) == 0);
    }
    SUBCASE("the head refuses connections: its process has ended")
    {
        fixture.history.note_probe_outcome(fixture.head, probe_outcome::refused, fixture.now);
        fixture.history.note_probe_outcome(fixture.head, probe_outcome::refused, fixture.now);
        CHECK(count_commands(fixture.plan(), command_kind::close_now) == 1);
    }
    SUBCASE("the calls stall")
    {
        fixture.set_silence(fixture.settings.stall_retire_delay + 1ms);
        CHECK(count_commands(fixture.plan(), command_kind::close_now) == 1);
    }
    SUBCASE("another VM has its address")
    {
        engine_command close;
        close.kind = command_kind::close_when_idle;
        close.epoch = fixture.before.epoch();
        fixture.history.note_outcome(fixture.head, close, command_outcome::other_vm);
        fixture.step();
        CHECK_FALSE(fixture.ledger.replicas().contains(fixture.name));
    }
    SUBCASE("the calls end")
    {
        fixture.uses.clear();
        CHECK(count_commands(fixture.plan(), command_kind::close_now) == 1);
    }
}

// Guards against aborting the calls of a leaving head once its entry is removed.
TEST_CASE("calls at a leaving head finish when its list entry is removed")
{
    missing_head_fixture fixture;
    backend leaving = fixture.backends.find(fixture.head)->server;
    leaving.leaving = true;
    fixture.backends.apply(leaving, fixture.now);
    fixture.step();
    fixture.remove_head();
    CHECK(count_commands(fixture.step_with_head(command_outcome::begun), command_kind::close_now) ==
          0);
    CHECK(count_commands(fixture.step_with_head(command_outcome::begun), command_kind::close_now) ==
          0);
}

// Guards against keeping the VMs of a replica whose head has ended longer than needed.
TEST_CASE("a replica whose missing head has ended aborts its calls at once")
{
    missing_head_fixture fixture;
    SUBCASE("it refuses connections")
    {
        fixture.history.note_probe_outcome(fixture.head, probe_outcome::refused, fixture.now);
        fixture.history.note_probe_outcome(fixture.head, probe_outcome::refused, fixture.now);
    }
    SUBCASE("its calls stall")
    {
        fixture.set_silence(fixture.settings.stall_retire_delay + 1ms);
    }
    SUBCASE("it has no calls")
    {
        fixture.uses.clear();
    }
    fixture.remove_head();
    CHECK(fixture.replica(fixture.name).abort_calls());
    const assembly_plan made = fixture.step_with_head(command_outcome::no_contact);
    CHECK(count_commands(made, command_kind::close_now) == 1);
    lost_head& noted = fixture.history.lost_head_entry(fixture.before.epoch());
    noted.no_contact = true;
    fixture.uses.clear();
    fixture.now = noted.since + fixture.settings.lost_head_wait;
    const assembly_plan given_up = fixture.step();
    CHECK(fixture.ledger.replicas().contains(fixture.name));
    CHECK(count_commands(given_up, command_kind::leave) == member_count - 1);
    fixture.step();
    CHECK_FALSE(fixture.ledger.replicas().contains(fixture.name));
}
