/** \file
 * Measures the rate at which records are applied and the size of snapshots, for three fleet sizes.
 */
#include <chrono>

#include <doctest/doctest.h>

#include "journal/fleet_state.h"
#include "support/journal_records.h"

using namespace chervildyke;

namespace {

constexpr std::size_t vms_per_replica = 4;
constexpr std::size_t rounds = 300;

struct fleet_size {
    std::size_t vms;
    std::size_t teams;
};

std::vector<std::string> replica_vms(std::size_t replica)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < vms_per_replica; ++i) {
        names.push_back("chervil-pool-" + std::to_string(replica * vms_per_replica + i));
    }
    return names;
}

schema::fleet_configuration configuration_of(const fleet_size& size)
{
    std::vector<std::string> teams;
    for (std::size_t i = 0; i < size.teams; ++i) {
        teams.push_back("team-" + std::to_string(i));
    }
    return small_configuration(teams, 1024, vms_per_replica);
}

/** Builds a state in which every VM is in a serving replica and the configuration history is full.
 */
fleet_state_builder full_fleet(const fleet_size& size)
{
    fleet_state_builder builder{fleet_state()};
    const auto configuration = configuration_of(size);
    log_offset offset = 0;
    for (int i = 0; i < 64; ++i) {
        const std::uint64_t base = builder.current().configuration_version();
        builder.apply(configuration_record("c" + std::to_string(i), base, configuration), ++offset);
    }
    const std::uint64_t version = builder.current().configuration_version();
    for (std::size_t i = 0; i < size.vms / vms_per_replica; ++i) {
        const std::string team = "team-" + std::to_string(i % size.teams);
        ++offset;
        builder.apply(formation_record("f" + std::to_string(i), team, version, replica_vms(i)),
                      offset);
        builder.apply(serving_record("s" + std::to_string(i), offset), offset + 1);
        ++offset;
    }
    return builder;
}

double seconds_since(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

/** Repeatedly retires a replica, releases its VMs and forms it again.
 * \param apply applies one record at an offset.
 * \return records per second.
 */
template <typename Apply>
double lifecycle_rate(const fleet_state& start, Apply apply)
{
    const replica first = start.replicas().begin()->second;
    replica_id id = first.id;
    log_offset offset = start.offset();
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < rounds; ++i) {
        const std::string tag = std::to_string(i);
        apply(retirement_record("r" + tag, id), ++offset);
        for (const replica_vm& member : first.members) {
            apply(release_record("v" + tag + member.vm, id, member.vm), ++offset);
        }
        id = ++offset;
        apply(
            formation_record("n" + tag, first.team, start.configuration_version(), replica_vms(0)),
            id);
    }
    return static_cast<double>(offset - start.offset()) / seconds_since(begin);
}

/** \return accepted configurations per second. */
double configuration_rate(const fleet_state& start, const fleet_size& size)
{
    const auto configuration = configuration_of(size);
    fleet_state_builder builder(start);
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < rounds; ++i) {
        builder.apply(configuration_record("k" + std::to_string(i),
                                           builder.current().configuration_version(),
                                           configuration),
                      builder.current().offset() + 1);
    }
    return static_cast<double>(rounds) / seconds_since(begin);
}

void measure(const fleet_size& size)
{
    const fleet_state_builder full = full_fleet(size);
    const fleet_state& state = full.current();
    REQUIRE(state.replicas().size() == size.vms / vms_per_replica);
    fleet_state_builder batch(state);
    std::size_t rejected = 0;
    const double batched =
        lifecycle_rate(state, [&](const schema::journal_record& record, log_offset offset) {
            rejected += batch.apply(record, offset).accepted() ? 0U : 1U;
        });
    auto one = full.build();
    const double single =
        lifecycle_rate(state, [&](const schema::journal_record& record, log_offset offset) {
            apply_result result = one->apply(record, offset);
            rejected += result.outcome.accepted() ? 0U : 1U;
            one = result.state;
        });
    CHECK(rejected == 0);
    MESSAGE(size.vms << " VMs, " << size.teams << " teams: " << batched
                     << " lifecycle records/s in runs, " << single << " one by one, "
                     << configuration_rate(state, size) << " configurations/s; snapshot "
                     << state.to_snapshot().ByteSizeLong() << " bytes, configuration "
                     << state.configuration()->ByteSizeLong() << " bytes");
}

} // namespace

TEST_CASE("records applied per second and snapshot bytes at 60, 960 and 6200 VMs")
{
    measure({60, 10});
    measure({960, 40});
    measure({6200, 200});
}
