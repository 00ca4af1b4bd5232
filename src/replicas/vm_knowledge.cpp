/** \file
 * Implements the judgements on what is known of VMs.
 */
#include "replicas/vm_knowledge.h"

#include <algorithm>

namespace chervildyke {

namespace {

constexpr std::size_t fewest_vms_for_darkness = 3;
constexpr std::size_t fewest_peers_for_median = 3;
constexpr double silent_share_of_bound = 0.75;

std::uint32_t median(std::vector<std::uint32_t> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

bool measures_token_time(const vm_knowledge& vm)
{
    return vm.report && !vm.lost_since && vm.presence != vm_presence::gone &&
           vm.report->condition() == schema::engine_ready && vm.report->token_time_us() > 0;
}

} // namespace

bool vm_knowledge::is_leaving() const
{
    return presence != vm_presence::live || (report && report->leaving());
}

bool vm_knowledge::heard_within(duration span, time_point now) const
{
    return heard_at && now - *heard_at <= span;
}

bool vm_knowledge::reports_replica(std::uint64_t replica_id) const
{
    return report && report->replica_id() == replica_id && report->fencing() == replica_id;
}

bool vm_knowledge::is_flapping(const watch_bounds& bounds) const
{
    return losses.size() >= bounds.flap_losses;
}

const vm_knowledge* fleet_knowledge::find(const std::string& vm) const
{
    const auto found = vms.find(vm);
    return found == vms.end() ? nullptr : &found->second;
}

bool fleet_knowledge::in_dark_domain(const vm_knowledge& vm) const
{
    return dark_domains.count(vm.fabric_domain) > 0;
}

std::vector<std::string> find_dark_domains(const fleet_knowledge& fleet,
                                           const std::map<std::string, duration>& silence,
                                           const watch_bounds& bounds)
{
    struct domain_count {
        std::size_t vms = 0;
        std::size_t silent = 0;
        bool any_lost = false;
    };
    const auto silent_after =
        std::chrono::duration_cast<duration>(bounds.detection_bound * silent_share_of_bound);
    std::map<std::string, domain_count> counts;
    for (const auto& [name, span] : silence) {
        const vm_knowledge* vm = fleet.find(name);
        if (vm == nullptr || vm->presence == vm_presence::gone || vm->fabric_domain.empty()) {
            continue;
        }
        domain_count& count = counts[vm->fabric_domain];
        ++count.vms;
        count.silent += span > silent_after ? 1 : 0;
        count.any_lost = count.any_lost || span > bounds.detection_bound;
    }
    std::vector<std::string> dark;
    for (const auto& [domain, count] : counts) {
        const bool most = count.silent * 2 > count.vms;
        if (count.any_lost && most && count.vms >= fewest_vms_for_darkness) {
            dark.push_back(domain);
        }
    }
    return dark;
}

std::vector<std::string> find_stragglers(const fleet_knowledge& fleet, const watch_bounds& bounds)
{
    std::map<std::string, std::vector<std::uint32_t>> times_by_model;
    for (const auto& [name, vm] : fleet.vms) {
        if (measures_token_time(vm)) {
            times_by_model[vm.report->model()].push_back(vm.report->token_time_us());
        }
    }
    std::map<std::string, double> limits;
    for (const auto& [model, times] : times_by_model) {
        if (times.size() >= fewest_peers_for_median) {
            limits[model] = median(times) * bounds.straggler_ratio;
        }
    }
    std::vector<std::string> stragglers;
    for (const auto& [name, vm] : fleet.vms) {
        if (!measures_token_time(vm)) {
            continue;
        }
        const auto limit = limits.find(vm.report->model());
        if (limit != limits.end() && vm.report->token_time_us() > limit->second) {
            stragglers.push_back(name);
        }
    }
    return stragglers;
}

} // namespace chervildyke
