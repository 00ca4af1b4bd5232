/** \file
 * Implements vm_allocator.
 */
#include "replicas/vm_allocator.h"

#include <algorithm>
#include <tuple>

namespace chervildyke {

namespace {

/** The key of all VMs of a pool, for replicas that may span fabric domains. */
const std::string any_domain;

} // namespace

unfit_reason check_fitness(const observed_vm& vm, const std::set<std::string>& drained,
                           const watch_bounds& bounds, time_point now)
{
    if (vm.role != vm_role::engine) {
        return unfit_reason::not_engine;
    }
    if (vm.presence == vm_presence::gone) {
        return unfit_reason::gone;
    }
    if (vm.is_leaving()) {
        return unfit_reason::leaving;
    }
    if (drained.count(vm.vm) > 0) {
        return unfit_reason::drained;
    }
    if (vm.lost_since) {
        return unfit_reason::lost;
    }
    if (!vm.report || !vm.answered_within(bounds.report_freshness, now)) {
        return unfit_reason::stale;
    }
    if (vm.report->condition() == schema::engine_broken) {
        return unfit_reason::broken;
    }
    return vm.is_flapping(bounds) ? unfit_reason::flapping : unfit_reason::none;
}

const char* to_string(unfit_reason reason)
{
    switch (reason) {
    case unfit_reason::none:
        return "fit";
    case unfit_reason::not_engine:
        return "it runs no model engine";
    case unfit_reason::gone:
        return "it is gone from the VM list";
    case unfit_reason::leaving:
        return "it is leaving";
    case unfit_reason::drained:
        return "operators drained it";
    case unfit_reason::lost:
        return "it answers none of its watchers";
    case unfit_reason::stale:
        return "it has no fresh report";
    case unfit_reason::broken:
        return "its engine reports that it is broken";
    case unfit_reason::flapping:
        return "it was lost too often lately";
    }
    return "unknown";
}

bool holds_weights(const observed_vm& vm, const std::string& model)
{
    return vm.report && vm.report->model() == model &&
           vm.report->condition() != schema::engine_loading;
}

vm_allocator::vm_allocator(const fleet_state& state, const observed_fleet& fleet,
                           const watch_bounds& bounds, time_point now)
    : fleet_(fleet), bounds_(bounds), now_(now),
      drained_(state.configuration()->drained_vms().begin(),
               state.configuration()->drained_vms().end())
{
    for (const auto& [name, vm] : fleet.vms) {
        if (check_fitness(vm, drained_, bounds_, now_) != unfit_reason::none) {
            continue;
        }
        const auto holder = state.holder_of(name);
        if (!holder) {
            // An engine that still reports an old replica has to leave it first.
            vms_by_pool& into = vm.report->replica_id() == 0 ? free_ : releasing_;
            into[vm.pool][vm.fabric_domain].push_back(&vm);
            continue;
        }
        const replica* holding_replica = state.find_replica(*holder);
        if (holding_replica != nullptr && holding_replica->phase == schema::retiring) {
            releasing_[vm.pool][vm.fabric_domain].push_back(&vm);
        }
    }
    add_all_domains(free_);
    add_all_domains(releasing_);
}

void vm_allocator::add_all_domains(vms_by_pool& pools)
{
    for (auto& [pool, domains] : pools) {
        vm_list all;
        for (const auto& [domain, vms] : domains) {
            all.insert(all.end(), vms.begin(), vms.end());
        }
        domains[any_domain] = std::move(all);
    }
}

bool vm_allocator::is_fit(const std::string& vm) const
{
    const observed_vm* known = fleet_.find(vm);
    return known != nullptr && check_fitness(*known, drained_, bounds_, now_) == unfit_reason::none;
}

std::size_t vm_allocator::free_vms(const std::string& pool) const
{
    const auto found = free_.find(pool);
    return found == free_.end() ? 0 : found->second.at(any_domain).size();
}

std::size_t vm_allocator::vm_group::size() const
{
    return freed.size() + (free == nullptr ? 0 : free->size()) +
           (releasing == nullptr ? 0 : releasing->size());
}

std::map<std::string, vm_allocator::vm_group>
vm_allocator::candidate_groups(const vm_requirements& wanted, const std::vector<std::string>& freed,
                               bool include_releasing) const
{
    std::map<std::string, vm_group> groups;
    const auto is_allowed = [&](const std::string& domain) {
        return wanted.one_fabric_domain != (domain == any_domain);
    };
    const auto free = free_.find(wanted.pool);
    if (free != free_.end()) {
        for (const auto& [domain, vms] : free->second) {
            if (is_allowed(domain)) {
                groups[domain].free = &vms;
            }
        }
    }
    const auto releasing = releasing_.find(wanted.pool);
    if (include_releasing && releasing != releasing_.end()) {
        for (const auto& [domain, vms] : releasing->second) {
            if (is_allowed(domain)) {
                groups[domain].releasing = &vms;
            }
        }
    }
    for (const std::string& name : freed) {
        const observed_vm* vm = fleet_.find(name);
        if (vm != nullptr && vm->pool == wanted.pool && reserved_.count(name) == 0 &&
            is_fit(name)) {
            groups[wanted.one_fabric_domain ? vm->fabric_domain : any_domain].freed.push_back(vm);
        }
    }
    return groups;
}

std::optional<vm_selection> vm_allocator::select(const vm_requirements& wanted,
                                                 const std::vector<std::string>& freed,
                                                 bool include_releasing) const
{
    std::optional<vm_selection> best;
    std::size_t best_left_over = 0;
    for (const auto& [domain, from] : candidate_groups(wanted, freed, include_releasing)) {
        if (from.size() < wanted.vm_count) {
            continue;
        }
        const std::size_t left_over = from.size() - wanted.vm_count;
        vm_selection found = select_from(from, wanted);
        found.fabric_domain = domain;
        if (!best || std::tie(found.loads, found.held_vms, left_over) <
                         std::tie(best->loads, best->held_vms, best_left_over)) {
            best = std::move(found);
            best_left_over = left_over;
        }
    }
    return best;
}

vm_selection vm_allocator::select_from(const vm_group& from, const vm_requirements& wanted) const
{
    struct candidate {
        const observed_vm* vm = nullptr;
        bool needs_load = false;
        bool is_free = false;
    };
    std::vector<candidate> candidates;
    const auto add = [&](const vm_list& vms, bool is_free) {
        for (const observed_vm* vm : vms) {
            candidates.push_back({vm, !holds_weights(*vm, wanted.model), is_free});
        }
    };
    if (from.free != nullptr) {
        add(*from.free, true);
    }
    if (from.releasing != nullptr) {
        add(*from.releasing, false);
    }
    add(from.freed, false);
    const auto rank = [](const candidate& c) {
        return std::make_tuple(c.needs_load, c.vm->straggling_since.has_value(), !c.is_free,
                               c.vm->recent_losses.size(), std::cref(c.vm->vm));
    };
    const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(wanted.vm_count);
    std::partial_sort(candidates.begin(), end, candidates.end(),
                      [&](const candidate& a, const candidate& b) { return rank(a) < rank(b); });
    vm_selection selected;
    for (auto chosen = candidates.begin(); chosen != end; ++chosen) {
        selected.vms.push_back(chosen->vm->vm);
        selected.loads += chosen->needs_load ? 1 : 0;
        selected.held_vms += chosen->is_free ? 0 : 1;
    }
    return selected;
}

void vm_allocator::remove(vms_by_pool& from, const observed_vm& vm)
{
    const auto pool = from.find(vm.pool);
    if (pool == from.end()) {
        return;
    }
    for (const std::string& domain : {vm.fabric_domain, any_domain}) {
        const auto found = pool->second.find(domain);
        if (found != pool->second.end()) {
            vm_list& vms = found->second;
            vms.erase(std::remove(vms.begin(), vms.end(), &vm), vms.end());
        }
    }
}

void vm_allocator::reserve(const vm_selection& selection)
{
    for (const std::string& name : selection.vms) {
        const observed_vm* vm = fleet_.find(name);
        if (vm != nullptr && reserved_.insert(name).second) {
            remove(free_, *vm);
            remove(releasing_, *vm);
        }
    }
}

} // namespace chervildyke
