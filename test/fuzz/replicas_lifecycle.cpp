/** \file
 * Runs random faults, heals and configuration changes. Guards against views that serve a broken
 * replica, a VM in two replicas, and teams that stay below their configured replicas after all
 * faults have ended.
 */
#include <doctest/doctest.h>

#include <cstdlib>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "support/replica_fleet.h"

using namespace chervildyke;
using test::make_configuration;
using test::replica_fleet;
using test::replica_fleet_options;

namespace {

constexpr std::uint64_t gigabyte = 1'000'000'000;
constexpr std::uint64_t bytes_per_vm = 6 * gigabyte;
constexpr int domains = 2;
constexpr int vms_per_domain = 5;

/** Draws uniformly. The test size, by which rapidcheck shrinks its ranges, is set to its nominal
 * value.
 */
template <typename Number>
Number draw(Number first, Number end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(first, end));
}

std::string vm_name(int index)
{
    return "fab-" + std::to_string(index / vms_per_domain) + "-" +
           std::to_string(index % vms_per_domain);
}

/** The oracle: which VMs have faults, and what the teams want. */
struct oracle_model {
    std::set<std::string> faulty;
    std::uint32_t oak = 1;
    std::uint32_t elm = 1;
    bool larger = false;

    schema::fleet_configuration configuration() const
    {
        return make_configuration(
            {{"oak", oak, 2, 2, larger ? "oak-larger" : "oak-large"}, {"elm", elm, 3, 1}},
            bytes_per_vm, 2 * gigabyte);
    }
};

struct fleet_under_test {
    explicit fleet_under_test(bool check_fencing) : fleet(options(check_fencing))
    {
        for (int i = 0; i < domains * vms_per_domain; ++i) {
            fleet.engines.add(vm_name(i), "fab-" + std::to_string(i / vms_per_domain));
            fleet.engines.at(vm_name(i)).checks_fencing = check_fencing;
        }
        fleet.start();
        fleet.publish(oracle_model().configuration());
        fleet.advance(10s);
    }

    static replica_fleet_options options(bool check_fencing)
    {
        replica_fleet_options made;
        made.reconciler.repair.engines_check_fencing = check_fencing;
        made.reconciler.repair.bounds.flap_window = 60s;
        made.store_bytes_per_second = 2e9;
        made.check_interval = 20ms;
        return made;
    }

    void assert_invariants() const
    {
        RC_ASSERT(fleet.invariant_violations() == std::vector<std::string>{});
    }

    replica_fleet fleet;
};

using fleet_command = rc::state::Command<oracle_model, fleet_under_test>;

struct inject_fault : fleet_command {
    std::string vm = vm_name(draw(0, domains* vms_per_domain));
    int kind = draw(0, 8);
    int seconds = draw(0, 6);

    void apply(oracle_model& model) const override { model.faulty.insert(vm); }
    void run(const oracle_model&, fleet_under_test& tested) const override
    {
        auto& engines = tested.fleet.engines;
        switch (kind) {
        case 0:
            engines.crash(vm);
            break;
        case 1:
            engines.pause(vm);
            break;
        case 2:
            engines.at(vm).entry.set_state(schema::vm_leaving);
            break;
        case 3:
            engines.at(vm).command_delay = 2s;
            break;
        case 4:
            engines.at(vm).running = 1;
            break;
        case 5:
            engines.crash(vm);
            engines.at(vm).listed = false;
            break;
        default: // Restarts at once, without a replica or weights.
            engines.reboot(vm);
            break;
        }
        tested.fleet.advance(std::chrono::seconds(seconds));
        tested.assert_invariants();
    }
    void show(std::ostream& out) const override
    {
        out << "fault " << kind << " of " << vm << " for " << seconds;
    }
};

void repair_vm(replica_fleet& fleet, const std::string& vm, bool reboots)
{
    test::fake_engine& engine = fleet.engines.at(vm);
    engine.entry.set_state(schema::vm_live);
    engine.command_delay = duration{0};
    engine.running = 0;
    engine.listed = true;
    if (engine.paused && !reboots) {
        fleet.engines.resume(vm);
    }
    else if (engine.dead || engine.paused) {
        fleet.engines.reboot(vm);
    }
}

struct heal_fault : fleet_command {
    std::string vm = vm_name(draw(0, domains* vms_per_domain));
    bool reboots = *rc::gen::arbitrary<bool>();
    int seconds = draw(0, 8);

    void apply(oracle_model& model) const override { model.faulty.erase(vm); }
    void run(const oracle_model&, fleet_under_test& tested) const override
    {
        repair_vm(tested.fleet, vm, reboots);
        tested.fleet.advance(std::chrono::seconds(seconds));
        tested.assert_invariants();
    }
    void show(std::ostream& out) const override
    {
        out << "heal " << vm << (reboots ? " by reboot" : "") << " for " << seconds;
    }
};

struct change_teams : fleet_command {
    std::uint32_t oak = draw(0U, 3U);
    std::uint32_t elm = draw(0U, 2U);
    bool larger = *rc::gen::arbitrary<bool>();

    void apply(oracle_model& model) const override
    {
        model.oak = oak;
        model.elm = elm;
        model.larger = larger;
    }
    void run(const oracle_model& model, fleet_under_test& tested) const override
    {
        oracle_model next = model;
        apply(next);
        tested.fleet.publish(next.configuration());
        tested.fleet.advance(1s);
        tested.assert_invariants();
    }
    void show(std::ostream& out) const override
    {
        out << "publish oak " << oak << " elm " << elm << (larger ? " larger" : "");
    }
};

/** A control sees only itself or is blocked, or an old command arrives late at an engine. */
struct disturb_control : fleet_command {
    std::size_t control = draw<std::size_t>(0, 3);
    int kind = draw(0, 3);
    std::string vm = vm_name(draw(0, domains* vms_per_domain));
    std::uint64_t back = draw<std::uint64_t>(1, 20);

    void run(const oracle_model&, fleet_under_test& tested) const override
    {
        if (kind == 0) {
            tested.fleet.see_only_itself(control);
        }
        else if (kind == 1) {
            tested.fleet.set_blocked(control, true);
        }
        else {
            const log_offset offset = tested.fleet.journal().offset();
            schema::engine_order late;
            late.set_order_id("late-" + std::to_string(offset));
            late.set_kind(schema::order_join);
            late.set_replica_id(offset > back ? offset - back : 1);
            late.set_fencing(late.replica_id());
            late.set_model("oak-large");
            tested.fleet.engines.deliver(vm, late);
        }
        tested.fleet.advance(3s);
        tested.fleet.set_blocked(control, false);
        tested.assert_invariants();
    }
    void show(std::ostream& out) const override
    {
        out << "disturb " << kind << " control " << control << " " << vm << " back " << back;
    }
};

/** Ends all faults and checks that the teams reach their configured number of replicas. */
void check_convergence(const oracle_model& model, fleet_under_test& tested)
{
    for (int i = 0; i < domains * vms_per_domain; ++i) {
        repair_vm(tested.fleet, vm_name(i), true);
    }
    tested.fleet.advance(150s); // Longer than the flap window.
    tested.assert_invariants();
    RC_ASSERT(tested.fleet.serving("oak") == model.oak);
    RC_ASSERT(tested.fleet.serving("elm") == model.elm);
}

void fuzz(bool check_fencing)
{
    CHECK(rc::check([check_fencing] {
        const oracle_model start;
        fleet_under_test tested(check_fencing);
        const auto commands = *rc::state::gen::commands(
            start, rc::state::gen::execOneOfWithArgs<inject_fault, inject_fault, heal_fault,
                                                     change_teams, disturb_control>());
        oracle_model model = start;
        for (const auto& command : commands) {
            command->run(model, tested);
            command->apply(model);
        }
        check_convergence(model, tested);
    }));
}

} // namespace

TEST_CASE("faults never break the invariants, and teams converge once they end")
{
    setenv("RC_PARAMS", "seed=20261204 max_success=20 max_size=60", 0);
    SUBCASE("engines check fencing")
    {
        fuzz(true);
    }
    SUBCASE("engines don't check fencing")
    {
        fuzz(false);
    }
}
