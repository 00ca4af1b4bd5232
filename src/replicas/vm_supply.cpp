/** \file
 * Implements the choice of VMs for new replicas.
 */
#include "replicas/vm_supply.h"

#include <algorithm>
#include <tuple>

namespace chervildyke {

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
                free_[vm.pool].push_back(name);
            }
            continue;
        }
        const replica* held_by = state.find_replica(*holder);
        if (held_by != nullptr && held_by->phase == schema::retiring) {
            arriving_[vm.pool].push_back(name);
        }
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
    return found == free_.end() ? 0 : found->second.size();
}

void vm_supply::add(groups& into, const vm_need& need, const std::string& name, bool is_free) const
{
    const vm_knowledge* vm = fleet_.find(name);
    if (vm == nullptr || vm->pool != need.pool || reserved_.count(name) > 0) {
        return;
    }
    into[need.one_fabric_domain ? vm->fabric_domain : std::string()].push_back({vm, is_free});
}

std::optional<vm_pick> vm_supply::pick(const vm_need& need, const std::vector<std::string>& freed,
                                       bool with_arriving) const
{
    groups by_domain;
    const auto free = free_.find(need.pool);
    if (free != free_.end()) {
        for (const std::string& name : free->second) {
            add(by_domain, need, name, true);
        }
    }
    const auto arriving = arriving_.find(need.pool);
    if (with_arriving && arriving != arriving_.end()) {
        for (const std::string& name : arriving->second) {
            add(by_domain, need, name, false);
        }
    }
    for (const std::string& name : freed) {
        if (is_fit(name)) {
            add(by_domain, need, name, false);
        }
    }
    std::optional<vm_pick> best;
    std::size_t best_left = 0;
    for (auto& [domain, candidates] : by_domain) {
        if (candidates.size() < need.count) {
            continue;
        }
        const std::size_t left = candidates.size() - need.count;
        vm_pick found = best_of(std::move(candidates), need);
        found.fabric_domain = domain;
        if (!best || std::tie(found.loads, found.not_free, left) <
                         std::tie(best->loads, best->not_free, best_left)) {
            best = std::move(found);
            best_left = left;
        }
    }
    return best;
}

vm_pick vm_supply::best_of(std::vector<candidate> candidates, const vm_need& need) const
{
    const auto rank = [&](const candidate& c) {
        return std::make_tuple(!holds_weights(*c.vm, need.model),
                               c.vm->straggling_since.has_value(), !c.is_free, c.vm->losses.size(),
                               std::cref(c.vm->vm));
    };
    std::sort(candidates.begin(), candidates.end(),
              [&](const candidate& a, const candidate& b) { return rank(a) < rank(b); });
    vm_pick best;
    for (std::size_t i = 0; i < need.count; ++i) {
        const candidate& chosen = candidates[i];
        best.vms.push_back(chosen.vm->vm);
        best.loads += holds_weights(*chosen.vm, need.model) ? 0 : 1;
        best.not_free += chosen.is_free ? 0 : 1;
    }
    return best;
}

void vm_supply::reserve(const vm_pick& pick)
{
    reserved_.insert(pick.vms.begin(), pick.vms.end());
}

} // namespace chervildyke
