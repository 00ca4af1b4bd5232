/** \file
 * Implements repair_costs.
 */
#include "replicas/repair_costs.h"

#include <algorithm>

#include "replicas/replica_health.h"
#include "replicas/vm_allocator.h"

namespace chervildyke {

namespace {

/** New loads start at once behind a queue that takes no longer than this. */
constexpr double max_short_queue_seconds = 2.0;

/** The weights of a configuration that sets none: the cost of one second of downtime, and of one
 * second of one stranded accelerator.
 */
constexpr double default_downtime_weight = 1.0;
constexpr double default_stranded_weight = 0.1;

double to_seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

duration expected_remaining_outage(duration elapsed, const std::vector<duration>& observed,
                                   const std::vector<duration>& assumed)
{
    duration sum{0};
    std::int64_t longer_outages = 0;
    for (const auto* outages : {&observed, &assumed}) {
        for (const duration outage : *outages) {
            if (outage > elapsed) {
                sum += outage - elapsed;
                ++longer_outages;
            }
        }
    }
    return longer_outages == 0 ? elapsed : sum / longer_outages;
}

repair_costs::repair_costs(const fleet_state& state, const observed_fleet& fleet,
                           const repair_options& options, time_point now)
    : state_(state), fleet_(fleet), options_(options), now_(now),
      downtime_weight_(default_downtime_weight), stranded_weight_(default_stranded_weight),
      bytes_per_second_(options.assumed_bytes_per_second)
{
    const schema::fleet_configuration& configuration = *state.configuration();
    if (configuration.has_weights()) {
        downtime_weight_ = configuration.weights().group_downtime();
        stranded_weight_ = configuration.weights().stranded_accelerator();
    }
    if (configuration.weight_store_bytes_per_second() > 0) {
        bytes_per_second_ = static_cast<double>(configuration.weight_store_bytes_per_second());
    }
    for (const auto& [id, forming] : state.replicas()) {
        if (forming.phase != schema::forming) {
            continue;
        }
        const auto team = state.teams().find(forming.team);
        const double value =
            team == state.teams().end() ? 0.0 : team_value(team->second.parameters);
        for (const replica_vm& member : forming.members) {
            const observed_vm* vm = fleet.find(member.vm);
            const bool loaded = vm != nullptr && holds_weights(*vm, forming.model);
            queued_bytes_[value] += loaded ? 0.0 : bytes_per_vm(forming.model);
        }
    }
}

double repair_costs::team_value(const schema::team_parameters& parameters)
{
    return 1.0 + parameters.priority();
}

double repair_costs::downtime_cost(double seconds, double value, double stranded_accelerators) const
{
    return seconds * (value * downtime_weight_ + stranded_accelerators * stranded_weight_);
}

double repair_costs::bytes_per_vm(const std::string& model) const
{
    for (const schema::model& known : state_.configuration()->models()) {
        if (known.name() == model) {
            return static_cast<double>(known.bytes_per_vm());
        }
    }
    return 0;
}

double repair_costs::queued_bytes(double value) const
{
    double bytes = 0;
    for (auto each = queued_bytes_.lower_bound(value); each != queued_bytes_.end(); ++each) {
        bytes += each->second;
    }
    return bytes;
}

double repair_costs::seconds_to_load(const std::string& model, std::size_t loads,
                                     double value) const
{
    if (loads == 0) {
        return 0;
    }
    return (queued_bytes(value) + bytes_per_vm(model) * static_cast<double>(loads)) /
           bytes_per_second_;
}

bool repair_costs::has_load_queue(double value) const
{
    return queued_bytes(value) > bytes_per_second_ * max_short_queue_seconds;
}

void repair_costs::add_queued_loads(const std::string& model, std::size_t loads, double value)
{
    queued_bytes_[value] += bytes_per_vm(model) * static_cast<double>(loads);
}

double repair_costs::seconds_until_vm_return(const observed_vm* vm) const
{
    if (vm == nullptr || vm->is_leaving() || !vm->lost_since) {
        return to_seconds(options_.expected_capacity_wait);
    }
    const bool is_domain_outage = fleet_.in_unreachable_domain(*vm);
    const duration elapsed = now_ - *vm->lost_since;
    return to_seconds(is_domain_outage
                          ? expected_remaining_outage(elapsed, fleet_.past_domain_outages,
                                                      options_.assumed_domain_outages)
                          : expected_remaining_outage(elapsed, fleet_.past_vm_outages,
                                                      options_.assumed_vm_outages));
}

double repair_costs::seconds_until_return(const replica& subject) const
{
    double longest = 0;
    for (const replica_vm& member : subject.members) {
        const observed_vm* vm = fleet_.find(member.vm);
        switch (assess_member(subject, vm, options_.bounds, now_)) {
        case member_state::gone:
        case member_state::leaving:
        case member_state::broken:
            longest = std::max(longest, to_seconds(options_.expected_capacity_wait));
            break;
        case member_state::lost:
            longest = std::max(longest, seconds_until_vm_return(vm));
            break;
        default:
            break;
        }
    }
    return longest;
}

double repair_costs::stranded_accelerators(const replica& subject) const
{
    double stranded = 0;
    for (const replica_vm& member : subject.members) {
        const observed_vm* vm = fleet_.find(member.vm);
        const bool usable = vm != nullptr && !vm->lost_since && !vm->is_leaving();
        stranded += usable ? vm->accelerators : 0.0;
    }
    return stranded;
}

} // namespace chervildyke
