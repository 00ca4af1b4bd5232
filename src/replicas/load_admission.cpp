/** \file
 * Implements admit_loads.
 */
#include "replicas/load_admission.h"

#include <algorithm>
#include <tuple>

#include "replicas/repair_costs.h"
#include "replicas/vm_allocator.h"

namespace chervildyke {

namespace {

/** A replica may load when the loads that are still ahead of it take less than this. */
constexpr double max_seconds_ahead = 2.0;

/** What the members of one replica have still to load. */
struct replica_load {
    const replica* subject = nullptr;
    double value = 0;
    time_point down_since{};
    double bytes_left = 0;
};

double bytes_per_vm_of(const schema::fleet_configuration& configuration, const std::string& model)
{
    for (const schema::model& known : configuration.models()) {
        if (known.name() == model) {
            return static_cast<double>(known.bytes_per_vm());
        }
    }
    return 0;
}

double bytes_left(const replica& subject, const observed_fleet& fleet, double bytes_per_vm)
{
    double bytes = 0;
    for (const replica_vm& member : subject.members) {
        const observed_vm* vm = fleet.find(member.vm);
        if (vm == nullptr || vm->lost_since || vm->is_leaving() ||
            holds_weights(*vm, subject.model)) {
            continue;
        }
        const bool loading = vm->reports_replica(subject.id);
        const double progress = loading ? vm->report->load_progress() : 0.0;
        bytes += bytes_per_vm * (1.0 - std::clamp(progress, 0.0, 1.0));
    }
    return bytes;
}

} // namespace

std::set<replica_id> admit_loads(const fleet_state& state, const observed_fleet& fleet,
                                 const repair_history& history, const repair_options& options)
{
    const schema::fleet_configuration& configuration = *state.configuration();
    const auto configured_rate = static_cast<double>(configuration.weight_store_bytes_per_second());
    const double bytes_per_second =
        configured_rate > 0 ? configured_rate : options.assumed_bytes_per_second;
    std::vector<replica_load> loads;
    for (const auto& [id, subject] : state.replicas()) {
        if (!subject.live()) {
            continue;
        }
        replica_load next;
        next.subject = &subject;
        next.bytes_left = bytes_left(subject, fleet, bytes_per_vm_of(configuration, subject.model));
        const auto team = state.teams().find(subject.team);
        next.value =
            team == state.teams().end() ? 0 : repair_costs::team_value(team->second.parameters);
        const auto down = history.down_since.find(subject.team);
        next.down_since = down == history.down_since.end() ? time_point::max() : down->second;
        loads.push_back(next);
    }
    std::stable_sort(loads.begin(), loads.end(), [](const auto& a, const auto& b) {
        return std::make_tuple(-a.value, a.down_since, a.subject->id) <
               std::make_tuple(-b.value, b.down_since, b.subject->id);
    });
    std::set<replica_id> admitted;
    double bytes_ahead = 0;
    for (const replica_load& load : loads) {
        if (load.bytes_left > 0 && bytes_ahead >= bytes_per_second * max_seconds_ahead) {
            continue;
        }
        admitted.insert(load.subject->id);
        bytes_ahead += load.bytes_left;
    }
    return admitted;
}

} // namespace chervildyke
