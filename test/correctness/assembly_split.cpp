/** \file
 * Tests the split of VMs between models whose calls differ in urgency. The load: 162 VMs in 6
 * fabric domains, 315 calls a second of the small model at priority 0, and of the large one 29 at
 * priority 1 and 18 at priority 2. With equal shares the most urgent calls were refused while the
 * others had capacity to spare.
 */
#include <cmath>
#include <limits>

#include <doctest/doctest.h>

#include "assembly/demand_history.h"
#include "assembly/model_split.h"
#include "support/assembly_fixture.h"

using namespace chervildyke;
using test::assembly_fixture;

namespace {

recent_demand demand_of(priority_demand mean, double peak_factor = 1.06)
{
    recent_demand demand;
    demand.mean = std::move(mean);
    for (const auto& [priority, rate] : demand.mean) {
        demand.peak_ms_per_s += rate.work_ms_per_s * peak_factor;
    }
    return demand;
}

recent_demand small_demand(double factor = 1)
{
    return demand_of({{0, {8830 * factor, 315 * factor}}});
}

recent_demand large_demand(double factor = 1)
{
    return demand_of({{1, {1743 * factor, 29 * factor}}, {2, {726 * factor, 18 * factor}}});
}

std::vector<split_model> example_models()
{
    return {{"large", 12, large_demand()}, {"small", 6, small_demand()}};
}

constexpr std::uint32_t all_vms = 144; // In replicas, of 162.
constexpr std::uint32_t vms_of_4_domains = 96;

/** The example's fleet, with the replicas that the configured shares give. */
struct example_fleet : assembly_fixture {
    example_fleet()
    {
        profile.models[0].replica_size = 12;
        profile.models[1].replica_size = 6;
        profile.max_concurrent_loads = 20;
        for (const char* domain : {"d0-", "d1-", "d2-", "d3-", "d4-", "d5-"}) {
            add_domain(domain, 27);
        }
        steps(8);
        REQUIRE(serving("large").size() == 7);
        REQUIRE(serving("small").size() == 10);
        before_first_call = false;
        load_allowance = 7;
        settings.split.conversion_hold = 1h; // Only losses move the split here.
        mixed_demand = {{"large", large_demand()}, {"small", small_demand()}};
    }

    /** Restarts a member of the replica with empty memory. */
    void lose_member(const std::string& name)
    {
        const std::string id = replica(name).members(1).id();
        backend vm = backends.find(id)->server;
        vm.started_ms += 1;
        vm.loaded_model.clear();
        vm.staged_models.clear();
        vm.membership.reset();
        backends.apply(vm, now);
    }
};

} // namespace

TEST_CASE("urgent calls get the VMs that the less urgent ones need least")
{
    const model_split_settings settings;
    const replica_counts split = split_vms(example_models(), all_vms, {}, settings);
    CHECK(split.at("small") >= 16);
    CHECK(split.at("large") >= 2);
    CHECK(split.at("small") * 6 + split.at("large") * 12 == all_vms);
    const replica_counts outage = split_vms(example_models(), vms_of_4_domains, {}, settings);
    CHECK(outage.at("small") >= 12);
    CHECK(outage.at("large") == 2);
}

TEST_CASE("each model with demand keeps two replicas, and one without demand gives its VMs away")
{
    const model_split_settings settings;
    std::vector<split_model> models = example_models();
    models[1].demand = small_demand(4);
    CHECK(split_vms(models, all_vms, {}, settings).at("large") == 2);
    models[0].demand = {};
    CHECK(split_vms(models, all_vms, {}, settings).at("large") == 1);
    models = example_models();
    models[1].demand = {};
    CHECK(split_vms(models, all_vms, {}, settings).at("large") >= 11);
    CHECK(split_vms(models, 6, {}, settings).at("small") == 1); // Too few VMs for the least split.
}

TEST_CASE("another split is adopted only when its gain is clear and lasts")
{
    const model_split_settings settings;
    const replica_counts configured = {{"large", 6}, {"small", 12}};
    const time_point now{100s};
    split_decision decision =
        decide_split(example_models(), all_vms, configured, {}, now, settings);
    CHECK_FALSE(decision.changed);
    CHECK(decision.targets == configured);
    CHECK(decision.cost > decision.lowest_cost);
    decision =
        decide_split(example_models(), all_vms, configured, decision.state, now + 2s, settings);
    CHECK_FALSE(decision.changed);
    decision = decide_split(example_models(), all_vms, configured, decision.state,
                            now + settings.gain_hold, settings);
    CHECK(decision.changed);
    CHECK(decision.targets.at("small") >= 16);
    SUBCASE("a wave of a fifth of the demand does not change it")
    {
        const replica_counts adopted = decision.targets;
        for (int second = 5; second < 100; ++second) {
            const double wave = 0.2 * std::sin(second / 2.0);
            std::vector<split_model> models = example_models();
            models[0].demand = large_demand(1 - wave);
            models[1].demand = small_demand(1 + wave);
            decision = decide_split(models, all_vms, configured, decision.state,
                                    now + std::chrono::seconds(second), settings);
            CHECK(decision.targets == adopted);
        }
    }
    SUBCASE("it adapts at once to the VMs that are left, and returns with them")
    {
        const replica_counts adopted = decision.targets;
        decision = decide_split(example_models(), vms_of_4_domains, configured, decision.state,
                                now + 4s, settings);
        CHECK(decision.targets.at("large") == 2);
        CHECK(decision.targets.at("small") == 12);
        decision =
            decide_split(example_models(), all_vms, configured, decision.state, now + 5s, settings);
        CHECK(decision.targets == adopted);
    }
}

TEST_CASE("the demand of the last seconds keeps its peak and drops what is older")
{
    demand_history history(10s);
    time_point now{100s};
    const auto note = [&](double work) {
        history.note({{"small", {{0, {work, work / 28}}}}}, now);
        now += 500ms;
    };
    for (int i = 0; i < 4; ++i) {
        note(1000);
    }
    note(2000);
    for (int i = 0; i < 15; ++i) {
        note(1000);
    }
    CHECK(history.recent().at("small").peak_ms_per_s == doctest::Approx(2000));
    CHECK(history.recent().at("small").mean.at(0).work_ms_per_s == doctest::Approx(1050));
    for (int i = 0; i < 20; ++i) {
        note(1000);
    }
    CHECK(history.recent().at("small").peak_ms_per_s == doctest::Approx(1000));
}

TEST_CASE("the first seconds of calls already show their rate")
{
    demand_meter meter(6s);
    time_point now{100s};
    for (int i = 0; i < 30; ++i) {
        now += 100ms;
        meter.note("small", 28ms, now, 0);
    }
    const demand_rate rate = meter.rates_by_priority(now).at("small").at(0);
    CHECK(rate.calls_per_s == doctest::Approx(10).epsilon(0.1));
    CHECK(rate.work_ms_per_s == doctest::Approx(280).epsilon(0.1));
    CHECK(meter.rates(now).at("small") < 200); // Unchanged: rises from zero.
}

TEST_CASE("each lost replica moves its VMs to the model with the greater need")
{
    example_fleet fleet;
    fleet.steps(8); // Adopts a split.
    REQUIRE(fleet.split.adopted.at("small") >= 16);
    CHECK(fleet.serving("large").size() == 7); // Serving replicas are not touched.
    for (int i = 0; i < 3; ++i) {
        fleet.lose_member(fleet.serving("large").front());
        fleet.steps(30);
    }
    CHECK(fleet.serving("large").size() == 4);
    CHECK(fleet.serving("small").size() == 16);
}

TEST_CASE("a lost replica of the model in need is formed again")
{
    example_fleet fleet;
    fleet.steps(8);
    fleet.lose_member(fleet.serving("small").front());
    fleet.steps(30);
    CHECK(fleet.serving("small").size() >= 10);
    CHECK(fleet.serving("large").size() == 7);
}

TEST_CASE("without different priorities the configured shares and the demand decide")
{
    example_fleet fleet;
    fleet.mixed_demand.reset();
    fleet.lose_member(fleet.serving("large").front());
    fleet.steps(30);
    CHECK(fleet.split.adopted.empty());
    CHECK(fleet.serving("large").size() == 7);
    CHECK(fleet.serving("small").size() == 10);
}
