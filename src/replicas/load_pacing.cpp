/** \file
 * Implements the pacing of loads.
 */
#include "replicas/load_pacing.h"

#include <algorithm>
#include <tuple>

#include "replicas/repair_costs.h"
#include "replicas/vm_supply.h"

namespace chervildyke {

namespace {

/** A replica starts to load when what is left before it takes less than this. */
constexpr double pacing_window_seconds = 2.0;

struct waiting_load {
    const replica* subject = nullptr;
    double value = 0;
    time_point down_since{};
    double bytes_left = 0;
};

double bytes_of_model(const schema::fleet_configuration& configuration, const std::string& model)
{
    for (const schema::model& known : configuration.models()) {
        if (known.name() == model) {
            return static_cast<double>(known.bytes_per_vm());
        }
    }
    return 0;
}

double bytes_left(const replica& subject, const fleet_knowledge& fleet, double bytes_per_vm)
{
    double left = 0;
    for (const replica_vm& member : subject.members) {
        const vm_knowledge* vm = fleet.find(member.vm);
        if (vm == nullptr || vm->lost_since || vm->is_leaving() ||
            holds_weights(*vm, subject.model)) {
            continue;
        }
        const bool loading = vm->reports_replica(subject.id);
        const double progress = loading ? vm->report->load_progress() : 0.0;
        left += bytes_per_vm * (1.0 - std::clamp(progress, 0.0, 1.0));
    }
    return left;
}

} // namespace

std::set<replica_id> admit_loads(const fleet_state& state, const fleet_knowledge& fleet,
                                 const repair_memory& memory, const repair_options& options)
{
    const schema::fleet_configuration& configuration = *state.configuration();
    const auto configured = static_cast<double>(configuration.weight_store_bytes_per_second());
    const double rate = configured > 0 ? configured : options.assumed_bytes_per_second;
    std::vector<waiting_load> loads;
    for (const auto& [id, subject] : state.replicas()) {
        if (!subject.live()) {
            continue;
        }
        waiting_load next;
        next.subject = &subject;
        next.bytes_left = bytes_left(subject, fleet, bytes_of_model(configuration, subject.model));
        const auto team = state.teams().find(subject.team);
        next.value =
            team == state.teams().end() ? 0 : repair_costs::team_value(team->second.parameters);
        const auto down = memory.down_since.find(subject.team);
        next.down_since = down == memory.down_since.end() ? time_point::max() : down->second;
        loads.push_back(next);
    }
    std::stable_sort(loads.begin(), loads.end(), [](const auto& a, const auto& b) {
        return std::make_tuple(-a.value, a.down_since, a.subject->id) <
               std::make_tuple(-b.value, b.down_since, b.subject->id);
    });
    std::set<replica_id> admitted;
    double bytes_before = 0;
    for (const waiting_load& load : loads) {
        if (load.bytes_left > 0 && bytes_before >= rate * pacing_window_seconds) {
            continue;
        }
        admitted.insert(load.subject->id);
        bytes_before += load.bytes_left;
    }
    return admitted;
}

} // namespace chervildyke
