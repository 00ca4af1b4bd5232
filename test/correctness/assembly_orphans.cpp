/** \file
 * Tests that heads of replicas which the ledger does not know are closed and used again.
 */
#include <algorithm>
#include <cstddef>
#include <string>

#include <doctest/doctest.h>

#include "support/assembly_fixture.h"

using namespace chervildyke;
using test::assembly_fixture;

namespace {

/** A domain of four VMs of which two form a small replica. A third one is the open head of a
 * replica that the ledger does not know.
 */
struct orphan_fixture : assembly_fixture {
    orphan_fixture()
    {
        profile.models.erase(profile.models.begin());
        profile.models[0].initial_share = 1;
        settings.spare_share = 0;
        add_domain("d0-", 2);
        steps(4);
        REQUIRE(serving("small").size() == 1);
        add_domain("d1-", 2);
        membership.replica = "lost-record";
        membership.epoch = epoch_at(ledger.end()) - 1; // Lower than the epoch of the next replica.
        membership.rank = 0;
        membership.phase = membership_phase::open;
    }

    void list_orphan()
    {
        backend vm = backends.find(orphan)->server;
        vm.membership = membership;
        backends.apply(vm, now);
    }

    static std::size_t count_for_orphan(const assembly_plan& plan, command_kind kind)
    {
        return static_cast<std::size_t>(std::count_if(
            plan.commands.begin(), plan.commands.end(), [kind](const planned_command& planned) {
                return planned.vm == orphan && planned.command.kind == kind;
            }));
    }

    static constexpr const char* orphan = "d1-0";
    replica_membership membership;
};

} // namespace

// Guards against excluding the head of a replica without a record from all replicas for good.
TEST_CASE("the head of a replica that the ledger does not know is closed, leaves, and joins again")
{
    for (const membership_phase phase : {membership_phase::open, membership_phase::closing}) {
        orphan_fixture fixture;
        fixture.membership.phase = phase;
        fixture.list_orphan();
        const assembly_plan closing = fixture.step();
        REQUIRE(orphan_fixture::count_for_orphan(closing, command_kind::close_now) == 1);
        for (const planned_command& planned : closing.commands) {
            if (planned.vm == orphan_fixture::orphan) {
                CHECK(planned.command.replica == "lost-record");
                CHECK(planned.command.epoch == fixture.membership.epoch);
            }
        }
        fixture.steps(6);
        CHECK(fixture.serving("small").size() == 2);
    }
}

TEST_CASE("calls at the head of a replica that the ledger does not know may finish first")
{
    orphan_fixture fixture;
    fixture.uses[fixture.membership.epoch] = {2, 0, 50ms};
    fixture.unresponsive = {orphan_fixture::orphan}; // It does not close while it has calls.
    fixture.list_orphan();
    const time_point end = fixture.now + fixture.settings.idle_close_timeout;
    CHECK(orphan_fixture::count_for_orphan(fixture.step(), command_kind::close_when_idle) == 1);
    while (fixture.now < end) {
        const assembly_plan made = fixture.step();
        CHECK(orphan_fixture::count_for_orphan(made, command_kind::close_now) == 0);
        CHECK(orphan_fixture::count_for_orphan(made, command_kind::leave) == 0);
    }
    CHECK(orphan_fixture::count_for_orphan(fixture.step(), command_kind::close_now) == 1);
}

TEST_CASE("commands to the head of a replica that the ledger does not know are sent again")
{
    orphan_fixture fixture;
    fixture.unresponsive = {orphan_fixture::orphan};
    fixture.list_orphan();
    CHECK(orphan_fixture::count_for_orphan(fixture.step(), command_kind::close_now) == 1);
    CHECK(orphan_fixture::count_for_orphan(fixture.step(), command_kind::close_now) == 1);
}

TEST_CASE("a head that has left gets no commands while its list entry does not show it yet")
{
    orphan_fixture fixture;
    fixture.unresponsive = {orphan_fixture::orphan};
    fixture.list_orphan();
    engine_command leave;
    leave.kind = command_kind::leave;
    leave.replica = fixture.membership.replica;
    leave.epoch = fixture.membership.epoch;
    fixture.history.note_sent(orphan_fixture::orphan, leave, fixture.now);
    fixture.history.note_outcome(orphan_fixture::orphan, leave, command_outcome::begun);
    fixture.now += list_lag - 1ms;
    CHECK(orphan_fixture::count_for_orphan(fixture.plan(), command_kind::close_now) == 0);
    fixture.now += 1ms;
    CHECK(orphan_fixture::count_for_orphan(fixture.plan(), command_kind::close_now) == 1);
}

TEST_CASE("the head of a replica whose record this node may not have read yet is left alone")
{
    orphan_fixture fixture;
    fixture.membership.epoch = epoch_at(fixture.ledger.end()); // The next replica.
    fixture.list_orphan();
    for (const planned_command& planned : fixture.plan().commands) {
        CHECK(planned.vm != orphan_fixture::orphan);
    }
}
