/** \file
 * Guards against replicas that are not repaired, or repaired at too high a cost, after faults of
 * VMs, fabric domains and controls.
 */
#include <doctest/doctest.h>

#include <algorithm>

#include "support/replica_fleet.h"

using namespace chervildyke;
using test::make_configuration;
using test::replica_fleet;
using test::replica_fleet_options;

namespace {

constexpr std::uint64_t gigabyte = 1'000'000'000;

void add_domain(replica_fleet& fleet, const std::string& domain, int count)
{
    for (int i = 0; i < count; ++i) {
        fleet.engines.add(domain + "-" + std::to_string(i), domain);
    }
}

const replica& only_replica(const replica_fleet& fleet, const std::string& team)
{
    for (const auto& [id, subject] : fleet.journal().replicas()) {
        if (subject.team == team && subject.live()) {
            return subject;
        }
    }
    throw std::runtime_error("the team has no replica");
}

bool has_member(const replica& subject, const std::string& vm)
{
    return std::any_of(subject.members.begin(), subject.members.end(),
                       [&](const replica_vm& member) { return member.vm == vm; });
}

void check_invariants(const replica_fleet& fleet)
{
    for (const std::string& violation : fleet.invariant_violations()) {
        FAIL_CHECK(violation);
    }
}

} // namespace

TEST_CASE("a spare replaces a lost VM within the time bound")
{
    replica_fleet fleet(replica_fleet_options{});
    add_domain(fleet, "fab-1", 5);
    fleet.publish(make_configuration({{"oak", 1, 4, 1}}, 4 * gigabyte, gigabyte));
    fleet.start();
    fleet.advance(30s);
    REQUIRE(fleet.serving("oak") == 1);
    const replica before = only_replica(fleet, "oak");
    fleet.reset_measurements();
    fleet.engines.crash(before.members[1].vm);
    fleet.advance(20s);
    CHECK(fleet.serving("oak") == 1);
    CHECK_FALSE(has_member(only_replica(fleet, "oak"), before.members[1].vm));
    // The detection bound of 2 s and one load of 4 s.
    CHECK(fleet.group_downtime() <= 1.3 * (2.0 + 4.0));
    check_invariants(fleet);
}

TEST_CASE("a replica waits for a member that pauses briefly when a load would take longer")
{
    replica_fleet_options options;
    options.reconciler.repair.assumed_vm_outages = {5s};
    replica_fleet fleet(options);
    add_domain(fleet, "fab-1", 3);
    fleet.publish(make_configuration({{"oak", 1, 2, 1}}, 30 * gigabyte, gigabyte));
    fleet.start();
    fleet.advance(70s);
    const replica before = only_replica(fleet, "oak");
    fleet.engines.pause(before.members[0].vm);
    fleet.advance(4s);
    CHECK(fleet.serving("oak") == 0);
    fleet.engines.resume(before.members[0].vm);
    fleet.advance(2s);
    CHECK(fleet.serving("oak") == 1);
    CHECK(only_replica(fleet, "oak").id == before.id);
    check_invariants(fleet);
}

TEST_CASE("a paused engine that resumes after its replica was rebuilt leaves the old replica")
{
    replica_fleet fleet(replica_fleet_options{});
    add_domain(fleet, "fab-1", 3);
    fleet.publish(make_configuration({{"oak", 1, 2, 1}}, gigabyte, gigabyte));
    fleet.start();
    fleet.advance(20s);
    const replica before = only_replica(fleet, "oak");
    const std::string paused = before.members[1].vm;
    fleet.engines.pause(paused);
    fleet.advance(20s);
    CHECK(fleet.serving("oak") == 1);
    CHECK(only_replica(fleet, "oak").id > before.id);
    fleet.engines.resume(paused);
    CHECK(fleet.engines.at(paused).replica_id == before.id);
    fleet.advance(5s);
    CHECK(fleet.engines.at(paused).replica_id == 0);
    CHECK_FALSE(fleet.journal().holder_of(paused));
    CHECK(fleet.serving("oak") == 1);
    check_invariants(fleet);
}

TEST_CASE(
    "replicas of an unreachable domain are rebuilt elsewhere one by one, until the domain returns")
{
    replica_fleet_options options;
    options.store_bytes_per_second = 1e9;
    replica_fleet fleet(options);
    add_domain(fleet, "fab-1", 6);
    add_domain(fleet, "fab-2", 6);
    fleet.start();
    fleet.advance(3s);
    // Three replicas fit into each domain. One takes 20 s to load, all take 60 s.
    fleet.publish(make_configuration({{"oak", 1, 2, 3}, {"elm", 1, 2, 2}, {"ash", 1, 2, 1}},
                                     10 * gigabyte, gigabyte));
    fleet.advance(90s);
    REQUIRE(fleet.serving("oak") + fleet.serving("elm") + fleet.serving("ash") == 3);
    std::set<std::string> used;
    for (const auto& [id, subject] : fleet.journal().replicas()) {
        used.insert(subject.members[0].vm.substr(0, 5));
    }
    REQUIRE(used.size() == 1);
    for (const auto& [name, engine] : fleet.engines.all()) {
        if (used.count(engine.entry.fabric_domain()) > 0) {
            fleet.engines.pause(name);
        }
    }
    fleet.advance(28s);
    CHECK(fleet.serving("oak") == 1);
    CHECK(fleet.engines.max_concurrent_loads() <= 4);
    for (const auto& [name, engine] : fleet.engines.all()) {
        if (engine.paused) {
            fleet.engines.resume(name);
        }
    }
    fleet.advance(60s);
    CHECK(fleet.serving("oak") + fleet.serving("elm") + fleet.serving("ash") == 3);
    check_invariants(fleet);
}

TEST_CASE("a flapping VM is not used as a spare")
{
    replica_fleet fleet(replica_fleet_options{});
    add_domain(fleet, "fab-1", 4);
    fleet.publish(make_configuration({{"oak", 1, 3, 1}}, gigabyte, gigabyte));
    fleet.start();
    fleet.advance(20s);
    const std::string flapping = only_replica(fleet, "oak").members[0].vm;
    for (int i = 0; i < 3; ++i) {
        fleet.engines.crash(flapping);
        fleet.advance(6s);
        fleet.engines.reboot(flapping);
        fleet.advance(12s);
    }
    CHECK_FALSE(has_member(only_replica(fleet, "oak"), flapping));
    const replica repaired = only_replica(fleet, "oak");
    fleet.engines.crash(repaired.members[0].vm);
    fleet.advance(20s);
    CHECK_FALSE(has_member(only_replica(fleet, "oak"), flapping));
    const auto lines = fleet.reconciler(0).explain(flapping);
    const auto is_expected_line = [](const std::string& line) {
        return line.find("lost too often") != std::string::npos;
    };
    CHECK(std::any_of(lines.begin(), lines.end(), is_expected_line));
    check_invariants(fleet);
}

TEST_CASE("a leaving VM gets no new calls after 3 s, and leaves once its running calls have ended")
{
    for (const bool by_list : {true, false}) {
        replica_fleet fleet(replica_fleet_options{});
        add_domain(fleet, "fab-1", 3);
        fleet.publish(make_configuration({{"oak", 1, 2, 1}}, gigabyte, gigabyte));
        fleet.start();
        fleet.advance(20s);
        const replica before = only_replica(fleet, "oak");
        const std::string leaving = before.members[0].vm;
        fleet.engines.at(leaving).running = 1;
        if (by_list) {
            fleet.engines.at(leaving).entry.set_state(schema::vm_leaving);
        }
        else {
            fleet.engines.at(leaving).leaving = true;
        }
        fleet.advance(3s);
        for (std::size_t control = 0; control < 3; ++control) {
            const schema::routing_view whole = fleet.view(control);
            for (const schema::replica_view& shown : whole.replicas()) {
                const bool uses = std::any_of(shown.members().begin(), shown.members().end(),
                                              [&](const auto& m) { return m.vm() == leaving; });
                CHECK_FALSE((uses && shown.serving()));
            }
        }
        fleet.advance(10s);
        CHECK(fleet.engines.at(leaving).replica_id == before.id); // Its call still runs.
        CHECK(fleet.journal().holder_of(leaving) == before.id);
        CHECK(fleet.serving("oak") == 1);
        fleet.engines.at(leaving).running = 0;
        fleet.advance(3s);
        CHECK_FALSE(fleet.journal().holder_of(leaving));
        check_invariants(fleet);
    }
}

TEST_CASE("a rolling change of the model takes down at most one replica at a time")
{
    for (const int spares : {0, 2}) {
        replica_fleet fleet(replica_fleet_options{});
        add_domain(fleet, "fab-1", 6 + spares);
        fleet.publish(make_configuration({{"oak", 3, 2, 1}}, gigabyte, gigabyte));
        fleet.start();
        fleet.advance(30s);
        REQUIRE(fleet.serving("oak") == 3);
        fleet.publish(make_configuration({{"oak", 3, 2, 1, "oak-larger"}}, gigabyte, gigabyte));
        std::size_t least = 3;
        for (int i = 0; i < 400; ++i) {
            fleet.advance(100ms);
            least = std::min(least, fleet.serving("oak"));
        }
        CHECK(least == (spares > 0 ? 3 : 2));
        CHECK(fleet.serving("oak") == 3);
        for (const auto& [id, subject] : fleet.journal().replicas()) {
            CHECK(subject.model == "oak-larger");
        }
        check_invariants(fleet);
    }
}

TEST_CASE("a replica on a drained VM is replaced before it retires")
{
    replica_fleet fleet(replica_fleet_options{});
    add_domain(fleet, "fab-1", 4);
    auto configuration = make_configuration({{"oak", 1, 2, 1}}, gigabyte, gigabyte);
    fleet.publish(configuration);
    fleet.start();
    fleet.advance(20s);
    const std::string drained = only_replica(fleet, "oak").members[0].vm;
    configuration.add_drained_vms(drained);
    fleet.publish(configuration);
    fleet.reset_measurements();
    fleet.advance(20s);
    CHECK_FALSE(fleet.journal().holder_of(drained));
    CHECK(fleet.group_downtime() == 0);
    check_invariants(fleet);
}

TEST_CASE("the members of two broken replicas form one replica")
{
    replica_fleet fleet(replica_fleet_options{});
    add_domain(fleet, "fab-1", 4);
    fleet.publish(make_configuration({{"oak", 1, 2, 2}, {"elm", 1, 2, 1}}, gigabyte, gigabyte));
    fleet.start();
    fleet.advance(20s);
    const replica oak = only_replica(fleet, "oak");
    const replica elm = only_replica(fleet, "elm");
    fleet.engines.crash(oak.members[0].vm);
    fleet.engines.crash(elm.members[0].vm);
    fleet.advance(20s);
    CHECK(fleet.serving("oak") == 1);
    CHECK(has_member(only_replica(fleet, "oak"), oak.members[1].vm));
    CHECK(has_member(only_replica(fleet, "oak"), elm.members[1].vm));
    check_invariants(fleet);
}

TEST_CASE("a team of higher priority preempts one of lower priority, and the reason is explained")
{
    replica_fleet fleet(replica_fleet_options{});
    add_domain(fleet, "fab-1", 4);
    fleet.publish(make_configuration({{"oak", 1, 2, 5}, {"elm", 1, 2, 0}}, gigabyte, gigabyte));
    fleet.start();
    fleet.advance(20s);
    const replica oak = only_replica(fleet, "oak");
    fleet.engines.crash(oak.members[0].vm);
    fleet.engines.at(oak.members[0].vm).listed = false;
    fleet.advance(30s);
    CHECK(fleet.serving("oak") == 1);
    CHECK(fleet.serving("elm") == 0);
    const auto lines = fleet.reconciler(0).explain("elm");
    const auto is_expected_line = [](const std::string& line) {
        return line.find("no fabric domain has 2 free VMs") != std::string::npos;
    };
    CHECK(std::any_of(lines.begin(), lines.end(), is_expected_line));
    check_invariants(fleet);
}

TEST_CASE("controls that all see only themselves never put one VM into two replicas")
{
    replica_fleet fleet(replica_fleet_options{});
    add_domain(fleet, "fab-1", 9);
    fleet.publish(make_configuration({{"oak", 2, 2, 1}, {"elm", 2, 2, 1}}, gigabyte, gigabyte));
    fleet.start();
    for (std::size_t control = 0; control < 3; ++control) {
        fleet.see_only_itself(control);
    }
    fleet.advance(30s);
    CHECK(fleet.serving("oak") + fleet.serving("elm") == 4);
    fleet.engines.crash(only_replica(fleet, "oak").members[0].vm);
    fleet.advance(30s);
    CHECK(fleet.serving("oak") + fleet.serving("elm") == 4);
    check_invariants(fleet);
}

TEST_CASE("loads are limited to the store's rate, the most valuable team first")
{
    replica_fleet fleet(replica_fleet_options{});
    add_domain(fleet, "fab-1", 8);
    fleet.publish(
        make_configuration({{"ash", 1, 2, 1}, {"elm", 1, 2, 2}, {"fir", 1, 2, 3}, {"oak", 1, 2, 4}},
                           5 * gigabyte, gigabyte));
    fleet.start();
    std::vector<std::string> order;
    for (int i = 0; i < 600; ++i) {
        fleet.advance(100ms);
        for (const char* team : {"ash", "elm", "fir", "oak"}) {
            const bool known = std::find(order.begin(), order.end(), team) != order.end();
            if (!known && fleet.serving(team) == 1) {
                order.push_back(team);
            }
        }
    }
    CHECK(order == std::vector<std::string>{"oak", "fir", "elm", "ash"});
    CHECK(fleet.engines.max_concurrent_loads() <= 4);
    check_invariants(fleet);
}
