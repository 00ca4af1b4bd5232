/** \file
 * Guards against a repair policy that costs more than always waiting or always rebuilding, over a
 * seeded sequence of faults. Also prints how long one plan takes by fleet size.
 */
#include <doctest/doctest.h>

#include <cstdio>

#include "base/random.h"
#include "support/replica_fleet.h"

using namespace chervildyke;
using test::replica_fleet;
using test::replica_fleet_options;
using test::team_setup;

namespace {

constexpr std::uint64_t gigabyte = 1'000'000'000;
constexpr std::uint64_t bytes_per_vm = 8 * gigabyte;
constexpr std::uint64_t large_bytes_per_vm = 60 * gigabyte;
constexpr std::uint64_t store_rate = 2 * gigabyte;
constexpr int domain_count = 3;
constexpr int vms_per_domain = 9;
constexpr int fault_count = 16;

struct weights_setup {
    const char* name;
    double group_downtime;
    double stranded_accelerator;
};

struct policy {
    const char* name;
    candidate_selector select;
};

struct measurement {
    double group_downtime = 0;
    double weighted_downtime = 0; // Weighted by the teams' priorities, as in the policy.
    double stranded = 0;

    double cost(const weights_setup& weights) const
    {
        return weighted_downtime * weights.group_downtime + stranded * weights.stranded_accelerator;
    }
};

std::size_t always_wait(const std::vector<repair_candidate>&)
{
    return 0;
}

std::size_t always_rebuild(const std::vector<repair_candidate>& candidates)
{
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].action == repair_action::rebuild) {
            return i;
        }
    }
    return 0;
}

std::string vm_name(int domain, int index)
{
    return "fab-" + std::to_string(domain) + "-" + std::to_string(index);
}

/** Pauses a domain, or pauses or crashes one VM, for a random time. */
void inject_fault(replica_fleet& fleet, const random_source& random)
{
    const int domain = static_cast<int>(random_below(random, domain_count));
    const std::string vm = vm_name(domain, static_cast<int>(random_below(random, vms_per_domain)));
    const auto seconds = std::chrono::seconds(1 + random_below(random, 40));
    const std::uint64_t kind = random_below(random, 10);
    if (kind == 0) { // The whole domain.
        for (int i = 0; i < vms_per_domain; ++i) {
            fleet.engines.pause(vm_name(domain, i));
        }
        fleet.advance(seconds);
        for (int i = 0; i < vms_per_domain; ++i) {
            fleet.engines.resume(vm_name(domain, i));
        }
    }
    else if (kind < 5) { // A pause.
        fleet.engines.pause(vm);
        fleet.advance(seconds);
        fleet.engines.resume(vm);
    }
    else { // A crash; the platform replaces the VM after two minutes.
        fleet.engines.crash(vm);
        fleet.advance(30s);
        fleet.engines.at(vm).listed = false;
        fleet.advance(90s);
        fleet.engines.reboot(vm);
    }
    fleet.advance(std::chrono::seconds(5 + random_below(random, 60)));
}

measurement run_policy(const policy& tested, const weights_setup& weights, std::uint64_t seed)
{
    replica_fleet_options options;
    options.controls = 1;
    options.check_interval = 50ms;
    options.store_bytes_per_second = static_cast<double>(store_rate);
    options.reconciler.repair.select = tested.select;
    replica_fleet fleet(options);
    for (int domain = 0; domain < domain_count; ++domain) {
        for (int i = 0; i < vms_per_domain; ++i) {
            fleet.engines.add(vm_name(domain, i), "fab-" + std::to_string(domain));
        }
    }
    auto configuration = test::make_configuration(
        {{"oak", 2, 4, 3}, {"elm", 2, 4, 1, "elm-large"}, {"ash", 3, 2, 2, "ash-small"}},
        bytes_per_vm, store_rate);
    configuration.mutable_models(1)->set_bytes_per_vm(large_bytes_per_vm);
    configuration.mutable_weights()->set_group_downtime(weights.group_downtime);
    configuration.mutable_weights()->set_stranded_accelerator(weights.stranded_accelerator);
    fleet.start();
    fleet.advance(3s);
    fleet.publish(configuration);
    fleet.advance(400s);
    fleet.reset_measurements();
    const random_source random = seeded_random(seed);
    for (int i = 0; i < fault_count; ++i) {
        inject_fault(fleet, random);
    }
    fleet.advance(120s);
    for (const std::string& violation : fleet.invariant_violations()) {
        FAIL_CHECK(violation);
    }
    return {fleet.group_downtime(), fleet.weighted_downtime(),
            fleet.stranded_accelerator_seconds()};
}

/** The state and observations of a fleet with one replica of 4 VMs for each 5 VMs. Every
 * 97th VM is lost.
 */
struct large_fleet {
    explicit large_fleet(int vms)
    {
        const time_point now = monotonic_clock::now();
        std::vector<team_setup> teams;
        for (int i = 0; i < vms / 40; ++i) {
            teams.push_back({"team-" + std::to_string(i), 8, 4, static_cast<std::uint32_t>(i % 3)});
        }
        schema::journal_record published;
        published.set_id("configuration");
        published.set_format(1);
        published.mutable_configuration()->mutable_configuration()->CopyFrom(
            test::make_configuration(teams, gigabyte, gigabyte));
        fleet_state_builder builder{fleet_state{}};
        log_offset offset = 1;
        builder.apply(published, offset);
        int next_vm = 0;
        for (int i = 0; i < vms; ++i) {
            add_vm(i, now);
        }
        for (const team_setup& team : teams) {
            for (int i = 0; i < 8; ++i) {
                schema::journal_record formed;
                formed.set_id("formation-" + std::to_string(offset));
                formed.set_format(1);
                schema::replica_formation& formation = *formed.mutable_formation();
                formation.set_team(team.name);
                formation.set_configuration_version(1);
                formation.set_model(team.model);
                for (int member = 0; member < 4; ++member) {
                    const std::string vm = std::to_string(next_vm++);
                    formation.add_vms(vm);
                    report_membership(vm, offset + 1, team.model);
                }
                builder.apply(formed, ++offset);
                schema::journal_record serving;
                serving.set_id("serving-" + std::to_string(offset));
                serving.set_format(1);
                serving.mutable_serving()->set_replica_id(offset);
                builder.apply(serving, ++offset);
            }
        }
        state = builder.build();
    }

    void add_vm(int index, time_point now)
    {
        observed_vm vm;
        vm.vm = std::to_string(index);
        vm.pool = "chervil-pool";
        vm.fabric_domain = "fab-" + std::to_string(index / 60);
        vm.accelerators = 2;
        vm.role = vm_role::engine;
        vm.listed_since = now;
        vm.last_answer_at = now;
        vm.report = std::make_shared<const schema::engine_report>();
        if (index % 97 == 0) {
            vm.lost_since = now;
        }
        observed.vms[vm.vm] = vm;
    }

    void report_membership(const std::string& vm, replica_id id, const std::string& model)
    {
        schema::engine_report report;
        report.set_replica_id(id);
        report.set_fencing(id);
        report.set_model(model);
        report.set_condition(schema::engine_ready);
        observed.vms.at(vm).report = std::make_shared<const schema::engine_report>(report);
    }

    std::shared_ptr<const fleet_state> state;
    observed_fleet observed;
};

} // namespace

TEST_CASE("the cheapest repairs cost no more than always waiting or always rebuilding")
{
    const weights_setup weights_setups[] = {{"downtime-heavy", 1.0, 0.02},
                                            {"stranded-heavy", 0.1, 1.0}};
    const policy policies[] = {{"weighed", cheapest_candidate},
                               {"always wait", always_wait},
                               {"always rebuild", always_rebuild}};
    std::printf("%-15s %-15s %14s %12s %18s %10s\n", "weighting", "policy", "downtime (s)",
                "valued (s)", "stranded (acc-s)", "cost");
    for (const weights_setup& weights : weights_setups) {
        std::vector<double> costs;
        for (const policy& tested : policies) {
            measurement total;
            for (const std::uint64_t seed : {11U, 12U, 17U}) {
                const measurement one = run_policy(tested, weights, seed);
                total.group_downtime += one.group_downtime;
                total.weighted_downtime += one.weighted_downtime;
                total.stranded += one.stranded;
            }
            costs.push_back(total.cost(weights));
            std::printf("%-15s %-15s %14.0f %12.0f %18.0f %10.0f\n", weights.name, tested.name,
                        total.group_downtime, total.weighted_downtime, total.stranded,
                        costs.back());
        }
        CHECK(costs[0] <= costs[1]);
        CHECK(costs[0] <= costs[2]);
    }
}

TEST_CASE("the time of one plan by fleet size")
{
    for (const int vms : {60, 960, 6200}) {
        const large_fleet fleet(vms);
        constexpr int plan_count = 20;
        std::size_t decisions = 0;
        const auto started_at = std::chrono::steady_clock::now();
        for (int i = 0; i < plan_count; ++i) {
            decisions =
                plan_repairs(*fleet.state, fleet.observed, {}, {}, monotonic_clock::now()).size();
        }
        const auto elapsed = std::chrono::steady_clock::now() - started_at;
        const double ms_per_plan =
            std::chrono::duration<double, std::milli>(elapsed).count() / plan_count;
        std::printf("%5d VMs, %4zu replicas: %8.3f ms a plan, %zu decisions\n", vms,
                    fleet.state->replicas().size(), ms_per_plan, decisions);
        CHECK(decisions > 0);
    }
}
