/** \file
 * Tests that spares hold the models that a repair needs before a member is lost.
 */
#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "assembly/member_pool.h"
#include "support/assembly_fixture.h"

using namespace chervildyke;
using test::assembly_fixture;

namespace {

/** One domain with a large replica of 6 VMs, a small one of 3 and two spares. */
struct mixed_domain_fixture : assembly_fixture {
    mixed_domain_fixture()
    {
        profile.models[0].replica_size = 6;
        profile.models[0].initial_share = 0.67;
        profile.models[1].replica_size = 3;
        profile.models[1].initial_share = 0.33;
        add_domain("d0-", 11);
        steps(8);
        REQUIRE(serving("large").size() == 1);
        REQUIRE(serving("small").size() == 1);
        before_first_call = false;
    }

    /** Adds a VM whose host holds_model the models given. */
    backend add_vm(const std::string& id, std::vector<std::string> staged)
    {
        backend vm;
        vm.id = id;
        vm.service = "pool";
        vm.fabric_domain = "d0-";
        vm.started_ms = 1;
        vm.staged_models = std::move(staged);
        backends.apply(vm, now);
        return vm;
    }

    /** Removes a member other than the head.
     * \return the number of joins with a load during the steps that replace the replica.
     */
    int lose_member_of(const std::string& model)
    {
        const schema::shared_replica before = replica(serving(model).front());
        backends.remove(before.members(2).id(), now);
        int loads = 0;
        for (int i = 0; i < 8; ++i) {
            for (const planned_command& planned : step().commands) {
                loads +=
                    planned.loads_weights && planned.command.kind == command_kind::join ? 1 : 0;
            }
        }
        return loads;
    }
};

} // namespace

TEST_CASE("spares replace lost members of both models, one after the other, without a load")
{
    for (const char* first : {"large", "small"}) {
        mixed_domain_fixture fixture;
        fixture.load_allowance = 0; // The weight store has no capacity for loads.
        const std::string second = std::string(first) == "large" ? "small" : "large";
        CHECK(fixture.lose_member_of(first) == 0);
        CHECK(fixture.lose_member_of(second) == 0);
        CHECK(fixture.serving("large").size() == 1);
        CHECK(fixture.serving("small").size() == 1);
    }
}

TEST_CASE("spares have one model on their accelerators and the other in host memory")
{
    mixed_domain_fixture fixture;
    fixture.steps(4);
    for (const auto& [name, listed] : fixture.backends.all()) {
        if (fixture.ledger.holder_of(name)) {
            continue;
        }
        CHECK_FALSE(listed.server.loaded_model.empty());
        CHECK(holds_model(listed.server, "large"));
        CHECK(holds_model(listed.server, "small"));
    }
}

TEST_CASE("replicas of a model that was removed from the configuration keep serving")
{
    assembly_fixture fixture;
    for (const char* domain : {"d0-", "d1-"}) {
        fixture.add_domain(domain, 10);
    }
    fixture.steps(8);
    fixture.before_first_call = false;
    const std::size_t large = fixture.serving("large").size();
    fixture.profile.models.erase(fixture.profile.models.begin());
    fixture.steps(4);
    CHECK(fixture.serving("large").size() == large);
}

TEST_CASE(
    "a spare's own replica has a lower epoch than any replica that this node has not read yet")
{
    // If another node's record takes the VM meanwhile, the VM refuses the command with the lower
    // epoch.
    mixed_domain_fixture fixture;
    fixture.add_vm("new", {"large"});
    const assembly_plan plan = fixture.plan();
    const auto spare_join = std::find_if(
        plan.commands.begin(), plan.commands.end(), [](const planned_command& planned) {
            return planned.vm == "new" && planned.command.kind == command_kind::join;
        });
    REQUIRE(spare_join != plan.commands.end());
    CHECK(spare_join->command.epoch == epoch_at(fixture.ledger.end()) - 1);
    CHECK(spare_join->command.members == std::vector<std::string>{"new"});
    CHECK_FALSE(spare_join->loads_weights);
}

TEST_CASE(
    "a spare is commanded to join once, since a repeated join would restart the one in progress")
{
    mixed_domain_fixture fixture;
    fixture.add_vm("new", {"large"});
    fixture.unresponsive = {"new"}; // The join takes long.
    int joins = 0;
    for (int i = 0; i < 5; ++i) {
        fixture.add_domain("d" + std::to_string(i + 1) + "-", 1); // Plans differ from step to step.
        for (const planned_command& planned : fixture.step().commands) {
            joins += planned.vm == "new" && planned.command.kind == command_kind::join ? 1 : 0;
        }
    }
    CHECK(joins == 1);
}

TEST_CASE("a load that a later join with a load replaces is removed from the history")
{
    assembly_history history;
    engine_command load;
    load.kind = command_kind::stage;
    load.model = "small";
    engine_command join;
    join.kind = command_kind::join;
    join.model = "large";
    join.epoch = 7;
    history.note_sent("vm", load, time_point(1s));
    history.note_sent("vm", join, time_point(2s), false);
    CHECK(history.find("vm", command_kind::stage, 0) != nullptr);
    history.note_sent("vm", join, time_point(3s), true);
    CHECK(history.find("vm", command_kind::stage, 0) == nullptr);
}

TEST_CASE("a VM that is loading a model gets no command until the load has ended")
{
    // A join would wait for the load and then replace the loaded model in the host's memory.
    mixed_domain_fixture fixture;
    fixture.add_vm("new", {});
    fixture.unresponsive = {"new"};
    fixture.step();
    REQUIRE(fixture.history.find("new", command_kind::stage, 0) != nullptr);
    fixture.add_vm("new", {"small"}); // From an earlier load; another load is running.
    fixture.history = assembly_history();
    engine_command load;
    load.kind = command_kind::stage;
    load.model = "large";
    fixture.history.note_sent("new", load, fixture.now);
    fixture.history.note_outcome("new", load, command_outcome::begun);
    for (const planned_command& planned : fixture.plan().commands) {
        CHECK(planned.vm != "new");
    }
}
