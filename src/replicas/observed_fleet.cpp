/** \file
 * Implements observed_vm and observed_fleet, and the detection of unreachable domains and
 * stragglers.
 */
#include "replicas/observed_fleet.h"

#include <algorithm>

namespace chervildyke {

namespace {

constexpr std::size_t min_vms_for_unreachable_domain = 3;
constexpr std::size_t min_vms_for_median = 3;
constexpr double silent_fraction_of_bound = 0.75;

std::uint32_t median(std::vector<std::uint32_t> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

bool has_token_time(const observed_vm& vm)
{
    return vm.report && !vm.lost_since && vm.presence != vm_presence::gone &&
           vm.report->condition() == schema::engine_ready && vm.report->token_time_us() > 0;
}

} // namespace

bool observed_vm::is_leaving() const
{
    return presence != vm_presence::live || (report && report->leaving());
}

bool observed_vm::answered_within(duration max_age, time_point now) const
{
    return last_answer_at && now - *last_answer_at <= max_age;
}

bool observed_vm::reports_replica(std::uint64_t replica_id) const
{
    return report && report->replica_id() == replica_id && report->fencing() == replica_id;
}

bool observed_vm::is_flapping(const watch_bounds& bounds) const
{
    return recent_losses.size() >= bounds.flap_loss_limit;
}

const observed_vm* observed_fleet::find(const std::string& vm) const
{
    const auto found = vms.find(vm);
    return found == vms.end() ? nullptr : &found->second;
}

bool observed_fleet::in_unreachable_domain(const observed_vm& vm) const
{
    return unreachable_domains.count(vm.fabric_domain) > 0;
}

std::vector<std::string> find_unreachable_domains(const observed_fleet& fleet,
                                                  const std::map<std::string, duration>& silence,
                                                  const watch_bounds& bounds)
{
    struct domain_counts {
        std::size_t vms = 0;
        std::size_t silent_vms = 0;
        bool has_lost_vm = false;
    };
    const auto silent_after =
        std::chrono::duration_cast<duration>(bounds.detection_bound * silent_fraction_of_bound);
    std::map<std::string, domain_counts> counts;
    for (const auto& [name, vm_silence] : silence) {
        const observed_vm* vm = fleet.find(name);
        if (vm == nullptr || vm->presence == vm_presence::gone || vm->fabric_domain.empty()) {
            continue;
        }
        domain_counts& count = counts[vm->fabric_domain];
        ++count.vms;
        count.silent_vms += vm_silence > silent_after ? 1 : 0;
        count.has_lost_vm = count.has_lost_vm || vm_silence > bounds.detection_bound;
    }
    std::vector<std::string> unreachable;
    for (const auto& [domain, count] : counts) {
        const bool most_are_silent = count.silent_vms * 2 > count.vms;
        if (count.has_lost_vm && most_are_silent && count.vms >= min_vms_for_unreachable_domain) {
            unreachable.push_back(domain);
        }
    }
    return unreachable;
}

std::vector<std::string> find_stragglers(const observed_fleet& fleet, const watch_bounds& bounds)
{
    std::map<std::string, std::vector<std::uint32_t>> times_by_model;
    for (const auto& [name, vm] : fleet.vms) {
        if (has_token_time(vm)) {
            times_by_model[vm.report->model()].push_back(vm.report->token_time_us());
        }
    }
    std::map<std::string, double> limits;
    for (const auto& [model, times] : times_by_model) {
        if (times.size() >= min_vms_for_median) {
            limits[model] = median(times) * bounds.straggler_ratio;
        }
    }
    std::vector<std::string> stragglers;
    for (const auto& [name, vm] : fleet.vms) {
        if (!has_token_time(vm)) {
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
