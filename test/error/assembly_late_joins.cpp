/** \file
 * Tests that a VM joins a replica only from the state that it tells itself, whatever its list entry
 * and earlier commands say.
 */
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include "assembly/join_guard.h"
#include "support/run_task.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

constexpr std::uint64_t old_epoch = 7;
constexpr std::uint64_t closed_epoch = 5;
constexpr std::uint64_t new_epoch = 9;

engine_command join_of(std::uint64_t epoch)
{
    engine_command join;
    join.kind = command_kind::join;
    join.replica = "r" + std::to_string(epoch);
    join.epoch = epoch;
    join.model = "small";
    join.members = {"head", "vm"};
    return join;
}

/** A VM that executes commands as the platform states it. */
struct fake_vm {
    command_outcome execute(const engine_command& command)
    {
        if (command.only_after && *command.only_after != begun) {
            return command_outcome::refused;
        }
        const bool same = membership && membership->epoch == command.epoch;
        if (command.kind == command_kind::leave) {
            if (!same) {
                return command_outcome::refused;
            }
            membership.reset();
        }
        else {
            if (membership && membership->epoch == old_epoch && command.epoch != old_epoch) {
                taken_from_old_replica = true;
            }
            membership =
                replica_membership{command.replica, command.epoch, 1, membership_phase::ready};
        }
        ++begun;
        return command_outcome::begun;
    }

    std::uint64_t begun = 3;
    std::optional<replica_membership> membership;
    bool taken_from_old_replica = false;
};

struct join_fixture {
    join_fixture()
    {
        vm.id = "vm";
        vm.started_ms = 1;
        engines.read_state = [this](backend) -> asio::awaitable<std::optional<engine_state>> {
            if (!answers) {
                co_return std::nullopt;
            }
            const engine_state state{started_ms, fake.begun, fake.membership};
            if (late) { // Arrives after the VM has told its state.
                fake.execute(*late);
            }
            co_return state;
        };
        engines.send = [this](backend, engine_command command) -> asio::awaitable<command_outcome> {
            sent.push_back(command);
            if (std::exchange(loses_next, false)) {
                co_return command_outcome::unclear;
            }
            co_return fake.execute(command);
        };
    }

    command_outcome join()
    {
        asio::io_context context{1};
        command_outcome outcome = command_outcome::unclear;
        const is_closed_hook is_closed = [](std::uint64_t epoch) { return epoch == closed_epoch; };
        const leave_hook on_leave = [this](const engine_command& leave, command_outcome) {
            leaves.push_back(leave.epoch);
        };
        const engine_command command = join_of(new_epoch);
        test::run_task(context, [&]() -> asio::awaitable<void> {
            outcome = co_await send_join(engines, vm, command, is_closed, on_leave);
        });
        return outcome;
    }

    backend vm;
    fake_vm fake;
    bool answers = true;
    std::uint64_t started_ms = 1;
    std::optional<engine_command> late;
    bool loses_next = false; // The next command is not executed yet and gets no answer.
    engine_calls engines;
    std::vector<engine_command> sent;
    std::vector<std::uint64_t> leaves;
};

} // namespace

// Guards against taking a VM from a replica whose head is open: a repeated join of that replica was
// executed seconds late, after the VM had confirmed that it left and its entry had shown it.
TEST_CASE("a VM that a late join took back to its old replica leaves it before it joins another")
{
    join_fixture fixture;
    fixture.fake.execute(join_of(old_epoch));
    CHECK(fixture.join() == command_outcome::begun);
    CHECK(fixture.leaves == std::vector<std::uint64_t>{old_epoch});
    CHECK_FALSE(fixture.fake.taken_from_old_replica);
    CHECK(fixture.fake.membership->epoch == new_epoch);
}

// The same with a late join that arrives between the VM's answer and the new join.
TEST_CASE("a join has no effect if the VM has executed another command since it told its state")
{
    join_fixture fixture;
    fixture.late = join_of(old_epoch);
    CHECK(fixture.join() == command_outcome::refused);
    CHECK(fixture.fake.membership->epoch == old_epoch);
    fixture.late.reset();
    CHECK(fixture.join() == command_outcome::begun);
    CHECK_FALSE(fixture.fake.taken_from_old_replica);
}

// Guards against a head that serves again after it had left: its first join, which had got no
// answer, was executed after the leave, and a late command to open followed.
TEST_CASE("a repeated join that a VM executes after it has left the replica has no effect")
{
    join_fixture fixture;
    fixture.loses_next = true;
    REQUIRE(fixture.join() == command_outcome::unclear);
    REQUIRE(fixture.join() == command_outcome::begun);
    engine_command leave = join_of(new_epoch);
    leave.kind = command_kind::leave;
    REQUIRE(fixture.fake.execute(leave) == command_outcome::begun);
    CHECK(fixture.fake.execute(fixture.sent.front()) == command_outcome::refused);
    CHECK_FALSE(fixture.fake.membership);
}

TEST_CASE("a VM in no replica, or in one whose head serves no more, joins at once")
{
    join_fixture fixture;
    SUBCASE("in none") {}
    SUBCASE("its head has closed")
    {
        fixture.fake.execute(join_of(closed_epoch));
    }
    SUBCASE("in the same replica")
    {
        fixture.fake.execute(join_of(new_epoch));
    }
    CHECK(fixture.join() == command_outcome::begun);
    CHECK(fixture.sent.size() == 1);
    CHECK(fixture.leaves.empty());
}

TEST_CASE("no join is sent to a VM that serves, is in a newer replica, has restarted or is silent")
{
    join_fixture fixture;
    const auto in_replica = [](std::uint64_t epoch, std::uint32_t rank, membership_phase phase) {
        return replica_membership{"r" + std::to_string(epoch), epoch, rank, phase};
    };
    SUBCASE("it is an open head")
    {
        fixture.fake.membership = in_replica(old_epoch, 0, membership_phase::open);
    }
    SUBCASE("it is a head that finishes its calls")
    {
        fixture.fake.membership = in_replica(old_epoch, 0, membership_phase::closing);
    }
    SUBCASE("it is in a newer replica")
    {
        fixture.fake.membership = in_replica(new_epoch + 1, 1, membership_phase::ready);
    }
    SUBCASE("it has restarted")
    {
        fixture.started_ms = 2;
    }
    SUBCASE("it is silent")
    {
        fixture.answers = false;
    }
    CHECK(fixture.join() == command_outcome::no_contact);
    CHECK(fixture.sent.empty());
}

TEST_CASE("a VM that does not say how many commands it has begun joins without that condition")
{
    CHECK(next_join_step({1, std::nullopt, std::nullopt}, join_of(new_epoch), {}) ==
          join_step::join);
}
