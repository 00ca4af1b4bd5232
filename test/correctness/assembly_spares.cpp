/** \file
 * Tests that spares and members hold what repairs need before it is needed.
 */
#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "assembly/member_selection.h"
#include "support/assembly_bench.h"

using namespace chervildyke;
using test::assembly_bench;

namespace {

/** One domain with a large replica of 6, a small one of 3 and two spares. */
struct mixed_domain : assembly_bench {
    mixed_domain()
    {
        profile.models[0].replica_size = 6;
        profile.models[0].initial_share = 0.67;
        profile.models[1].replica_size = 3;
        profile.models[1].initial_share = 0.33;
        add_domain("d0-", 11);
        steps(8);
        REQUIRE(serving("large").size() == 1);
        REQUIRE(serving("small").size() == 1);
        loads_are_free = false;
    }

    /** Adds a VM whose host holds the models given. */
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

    /** Loses a member that is no head.
     * \return the loads that were ordered until the replica was formed anew.
     */
    int lose_member_of(const std::string& model)
    {
        const schema::shared_replica before = replica(serving(model).front());
        backends.remove(before.members(2).id(), now);
        int loads = 0;
        for (int i = 0; i < 8; ++i) {
            for (const planned_order& order : step().orders) {
                loads += order.loads_weights && order.order.kind == order_kind::join ? 1 : 0;
            }
        }
        return loads;
    }
};

} // namespace

TEST_CASE("lost VMs come one after another: spares of both models replace them without a load")
{
    for (const char* first : {"large", "small"}) {
        mixed_domain bench;
        bench.load_allowance = 0; // The weight store is busy elsewhere.
        const std::string second = std::string(first) == "large" ? "small" : "large";
        CHECK(bench.lose_member_of(first) == 0);
        CHECK(bench.lose_member_of(second) == 0);
        CHECK(bench.serving("large").size() == 1);
        CHECK(bench.serving("small").size() == 1);
    }
}

TEST_CASE("spares have a model on their accelerators and another in their hosts")
{
    mixed_domain bench;
    bench.steps(4);
    for (const auto& [name, listed] : bench.backends.all()) {
        if (bench.ledger.holder_of(name)) {
            continue;
        }
        CHECK_FALSE(listed.server.loaded_model.empty());
        CHECK(holds(listed.server, "large"));
        CHECK(holds(listed.server, "small"));
    }
}

TEST_CASE("replicas of a model that the configuration does not name any more are left alone")
{
    assembly_bench bench;
    for (const char* domain : {"d0-", "d1-"}) {
        bench.add_domain(domain, 10);
    }
    bench.steps(8);
    bench.loads_are_free = false;
    const std::size_t large = bench.serving("large").size();
    bench.profile.models.erase(bench.profile.models.begin());
    bench.steps(4);
    CHECK(bench.serving("large").size() == large);
}

TEST_CASE("a spare's own replica is older than any that this node does not know of")
{
    // A VM that another node's record takes meanwhile refuses the older order.
    mixed_domain bench;
    bench.add_vm("new", {"large"});
    const assembly_plan plan = bench.plan();
    const auto warmed =
        std::find_if(plan.orders.begin(), plan.orders.end(), [](const planned_order& order) {
            return order.vm == "new" && order.order.kind == order_kind::join;
        });
    REQUIRE(warmed != plan.orders.end());
    CHECK(warmed->order.epoch == bench.ledger.end());
    CHECK(warmed->order.members == std::vector<std::string>{"new"});
    CHECK_FALSE(warmed->loads_weights);
}

TEST_CASE("a spare is told to join once: a join that is repeated begins anew")
{
    mixed_domain bench;
    bench.add_vm("new", {"large"});
    bench.deaf = {"new"}; // It takes long.
    int joins = 0;
    for (int i = 0; i < 5; ++i) {
        bench.add_domain("d" + std::to_string(i + 1) + "-", 1); // Other things go on.
        for (const planned_order& order : bench.step().orders) {
            joins += order.vm == "new" && order.order.kind == order_kind::join ? 1 : 0;
        }
    }
    CHECK(joins == 1);
}

TEST_CASE("a load that a later join made void is not waited for")
{
    assembly_memory memory;
    replica_order load;
    load.kind = order_kind::stage;
    load.model = "small";
    replica_order join;
    join.kind = order_kind::join;
    join.model = "large";
    join.epoch = 7;
    memory.note_sent("vm", load, time_point(1s));
    memory.note_sent("vm", join, time_point(2s), false);
    CHECK(memory.find("vm", order_kind::stage, 0) != nullptr);
    memory.note_sent("vm", join, time_point(3s), true);
    CHECK(memory.find("vm", order_kind::stage, 0) == nullptr);
}

TEST_CASE("a VM that loads is left alone until the load has ended")
{
    // A join would wait for the load, and then replace in the host's memory what it brought.
    mixed_domain bench;
    bench.add_vm("new", {});
    bench.deaf = {"new"};
    bench.step();
    REQUIRE(bench.memory.find("new", order_kind::stage, 0) != nullptr);
    bench.add_vm("new", {"small"}); // Of a load before; another is under way.
    bench.memory = assembly_memory();
    replica_order load;
    load.kind = order_kind::stage;
    load.model = "large";
    bench.memory.note_sent("new", load, bench.now);
    bench.memory.note_outcome("new", load, order_outcome::begun);
    for (const planned_order& order : bench.plan().orders) {
        CHECK(order.vm != "new");
    }
}
