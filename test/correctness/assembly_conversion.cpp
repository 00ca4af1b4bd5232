/** \file
 * Tests that serving replicas are converted to the model with the greater need. The load: 162 VMs
 * in 6 fabric domains, of which the configured shares give 7 large and 10 small replicas, and
 * demand for at least 16 small ones, without any loss that would move the split by itself.
 */
#include <algorithm>

#include <doctest/doctest.h>

#include "support/assembly_fixture.h"

using namespace chervildyke;
using test::assembly_fixture;

namespace {

struct conversion_fleet : assembly_fixture {
    conversion_fleet()
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
        load_allowance = 2;
        recent_demand small;
        small.mean = {{0, {8830, 315}}};
        small.peak_ms_per_s = 9400;
        recent_demand large;
        large.mean = {{1, {1743, 29}}, {2, {726, 18}}};
        large.peak_ms_per_s = 2600;
        mixed_demand = {{"large", large}, {"small", small}};
    }

    /** \return how many members of the replica have the small model in their host's memory. */
    std::size_t converted_members(const std::string& name) const
    {
        const auto& members = replica(name).members();
        return static_cast<std::size_t>(
            std::count_if(members.begin(), members.end(), [this](const auto& member) {
                const listed_backend* listed = backends.find(member.id());
                return listed != nullptr && has_staged(listed->server, "small");
            }));
    }

    /** \return the large replica of which most members hold the small model. */
    std::string most_converted() const
    {
        const std::vector<std::string> names = serving("large");
        return *std::max_element(names.begin(), names.end(), [this](const auto& a, const auto& b) {
            return converted_members(a) < converted_members(b);
        });
    }

    /** Advances until about half of a replica's members hold the small model. */
    std::string run_into_conversion()
    {
        for (int i = 0; i < 100 && converted_members(most_converted()) < 6; ++i) {
            step();
        }
        REQUIRE(converted_members(most_converted()) >= 6);
        REQUIRE(serving("large").size() == 7);
        return most_converted();
    }
};

} // namespace

TEST_CASE("large replicas are converted only once their members hold the small model")
{
    conversion_fleet fleet;
    for (int i = 0; i < 120; ++i) {
        const std::vector<std::string> before = fleet.serving("large");
        const assembly_plan made = fleet.step();
        for (const std::string& name : before) {
            const bool retired = fleet.ledger.replicas().contains(name) &&
                                 fleet.replica(name).phase() == schema::shared_phase_retiring;
            CHECK((!retired || fleet.converted_members(name) == 12));
            CHECK((!retired || !fleet.replica(name).abort_calls()));
        }
        CHECK(std::count_if(made.commands.begin(), made.commands.end(),
                            [](const auto& planned) { return planned.loads_weights; }) <= 2);
        CHECK(fleet.serving("large").size() >= fleet.split.adopted.at("large"));
        CHECK(fleet.serving("small").size() >= 10);
    }
    CHECK(fleet.serving("small").size() >= 16);
    CHECK(fleet.serving("large").size() == fleet.split.adopted.at("large"));
}

TEST_CASE("a short change of demand starts no conversion")
{
    conversion_fleet fleet;
    fleet.steps(6); // 3.5 s: adopts another split, but does not yet convert.
    CHECK(fleet.split.adopted.at("small") >= 16);
    recent_demand& small = fleet.mixed_demand->at("small");
    small.mean = {{0, {3000, 107}}};
    small.peak_ms_per_s = 3200;
    fleet.steps(60);
    CHECK(fleet.serving("large").size() == 7);
    for (const std::string& name : fleet.serving("large")) {
        CHECK(fleet.converted_members(name) == 0);
    }
}

TEST_CASE("loads of repairs leave conversions only part of the concurrent loads")
{
    conversion_fleet fleet;
    fleet.profile.max_concurrent_loads = 1; // Three quarters of one load are none.
    fleet.steps(60);
    CHECK(fleet.serving("large").size() == 7);
}

TEST_CASE("a new leader continues a conversion with the same replica")
{
    // The failure: the leader is lost when half of the members have loaded the wanted model, and
    // the new one knows only the ledger and the list of VMs.
    conversion_fleet fleet;
    const std::string name = fleet.run_into_conversion();
    fleet.split = {};
    fleet.history = {};
    for (int i = 0; i < 60 && fleet.serving("large").size() == 7; ++i) {
        fleet.step();
    }
    REQUIRE(fleet.serving("large").size() == 6);
    const std::vector<std::string> left = fleet.serving("large");
    CHECK(std::find(left.begin(), left.end(), name) == left.end());
    fleet.steps(120);
    CHECK(fleet.serving("small").size() >= 16);
}

TEST_CASE("a member that is lost within a conversion costs only its own replica")
{
    conversion_fleet fleet;
    const std::string name = fleet.run_into_conversion();
    const std::string lost = fleet.replica(name).members(3).id();
    fleet.backends.remove(lost, fleet.now);
    std::size_t fewest = 7;
    for (int i = 0; i < 120; ++i) {
        fleet.step();
        fewest = std::min(fewest, fleet.serving("large").size());
    }
    CHECK(fewest >= fleet.split.adopted.at("large"));
    CHECK(fleet.serving("large").size() == fleet.split.adopted.at("large"));
    CHECK(fleet.serving("small").size() >= 15); // One domain has a VM less.
}
