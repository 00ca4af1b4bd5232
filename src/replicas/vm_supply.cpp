/** \file
 * Implements the choice of VMs for new replicas.
 */
#include "replicas/vm_supply.h"

#include <algorithm>
#include <tuple>

namespace chervildyke {

namespace {

/** Where all VMs of a pool stand, for replicas that may span fabric domains. */
const std::string any_domain;

} // namespace

unfit_reason judge_fitness(const vm_knowledge& vm, const std::set<std::string>& drained,
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
    if (!vm.report || !vm.heard_within(bounds.report_freshness, now)) {
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
        return "it has not reported yet";
    case unfit_reason::broken:
        return "its engine reports that it is broken";
    case unfit_reason::flapping:
        return "it was lost too often lately";
    }
    return "unknown";
}

bool holds_weights(const vm_knowledge& vm, const std::string& model)
{
    return vm.report && vm.report->model() == model &&
           vm.report->condition() != schema::engine_loading;
}

vm_supply::vm_supply(const fleet_state& state, const fleet_knowledge& fleet,
                     const watch_bounds& bounds, time_point now)
    : fleet_(fleet), bounds_(bounds), now_(now),
      drained_(state.configuration()->drained_vms().begin(),
               state.configuration()->drained_vms().end())
{
    for (const auto& [name, vm] : fleet.vms) {
        if (judge_fitness(vm, drained_, bounds_, now_) != unfit_reason::none) {
            continue;
        }
        const auto holder = state.holder_of(name);
        if (!holder) {
            // An engine that still believes in an old replica has to let go first.
            if (vm.report->replica_id() == 0) {
                free_[vm.pool][vm.fabric_domain].push_back(&vm);
            }
            continue;
        }
        const replica* held_by = state.find_replica(*holder);
        if (held_by != nullptr && held_by->phase == schema::retiring) {
            arriving_[vm.pool][vm.fabric_domain].push_back(&vm);
        }
    }
    add_all_domains(free_);
    add_all_domains(arriving_);
}

void vm_supply::add_all_domains(pool_map& pools)
{
    for (auto& [pool, domains] : pools) {
        vm_list all;
        for (const auto& [domain, vms] : domains) {
            all.insert(all.end(), vms.begin(), vms.end());
        }
        domains[any_domain] = std::move(all);
    }
}

bool vm_supply::is_fit(const std::string& vm) const
{
    const vm_knowledge* known = fleet_.find(vm);
    return known != nullptr && judge_fitness(*known, drained_, bounds_, now_) == unfit_reason::none;
}

std::size_t vm_supply::free_count(const std::string& pool) const
{
    const auto found = free_.find(pool);
    return found == free_.end() ? 0 : found->second.at(any_domain).size();
}

std::size_t vm_supply::group::size() const
{
    return freed.size() + (free == nullptr ? 0 : free->size()) +
           (arriving == nullptr ? 0 : arriving->size());
}

std::map<std::string, vm_supply::group> vm_supply::groups_for(const vm_need& need,
                                                              const std::vector<std::string>& freed,
                                                              bool with_arriving) const
{
    std::map<std::string, group> groups;
    const auto fits = [&](const std::string& domain) {
        return need.one_fabric_domain != (domain == any_domain);
    };
    const auto free = free_.find(need.pool);
    if (free != free_.end()) {
        for (const auto& [domain, vms] : free->second) {
            if (fits(domain)) {
                groups[domain].free = &vms;
            }
        }
    }
    const auto arriving = arriving_.find(need.pool);
    if (with_arriving && arriving != arriving_.end()) {
        for (const auto& [domain, vms] : arriving->second) {
            if (fits(domain)) {
                groups[domain].arriving = &vms;
            }
        }
    }
    for (const std::string& name : freed) {
        const vm_knowledge* vm = fleet_.find(name);
        if (vm != nullptr && vm->pool == need.pool && reserved_.count(name) == 0 && is_fit(name)) {
            groups[need.one_fabric_domain ? vm->fabric_domain : any_domain].freed.push_back(vm);
        }
    }
    return groups;
}

std::optional<vm_pick> vm_supply::pick(const vm_need& need, const std::vector<std::string>& freed,
                                       bool with_arriving) const
{
    std::optional<vm_pick> best;
    std::size_t best_left = 0;
    for (const auto& [domain, from] : groups_for(need, freed, with_arriving)) {
        if (from.size() < need.count) {
            continue;
        }
        const std::size_t left = from.size() - need.count;
        vm_pick found = best_of(from, need);
        found.fabric_domain = domain;
        if (!best || std::tie(found.loads, found.not_free, left) <
                         std::tie(best->loads, best->not_free, best_left)) {
            best = std::move(found);
            best_left = left;
        }
    }
    return best;
}

vm_pick vm_supply::best_of(const group& from, const vm_need& need) const
{
    struct candidate {
        const vm_knowledge* vm = nullptr;
        bool needs_load = false;
        bool is_free = false;
    };
    std::vector<candidate> candidates;
    const auto add = [&](const vm_list& vms, bool is_free) {
        for (const vm_knowledge* vm : vms) {
            candidates.push_back({vm, !holds_weights(*vm, need.model), is_free});
        }
    };
    if (from.free != nullptr) {
        add(*from.free, true);
    }
    if (from.arriving != nullptr) {
        add(*from.arriving, false);
    }
    add(from.freed, false);
    const auto rank = [](const candidate& c) {
        return std::make_tuple(c.needs_load, c.vm->straggling_since.has_value(), !c.is_free,
                               c.vm->losses.size(), std::cref(c.vm->vm));
    };
    const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(need.count);
    std::partial_sort(candidates.begin(), end, candidates.end(),
                      [&](const candidate& a, const candidate& b) { return rank(a) < rank(b); });
    vm_pick best;
    for (auto chosen = candidates.begin(); chosen != end; ++chosen) {
        best.vms.push_back(chosen->vm->vm);
        best.loads += chosen->needs_load ? 1 : 0;
        best.not_free += chosen->is_free ? 0 : 1;
    }
    return best;
}

void vm_supply::remove(pool_map& from, const vm_knowledge& vm)
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

void vm_supply::reserve(const vm_pick& pick)
{
    for (const std::string& name : pick.vms) {
        const vm_knowledge* vm = fleet_.find(name);
        if (vm != nullptr && reserved_.insert(name).second) {
            remove(free_, *vm);
            remove(arriving_, *vm);
        }
    }
}

} // namespace chervildyke
