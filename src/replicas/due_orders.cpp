/** \file
 * Implements the finding of due orders.
 */
#include <algorithm>

#include "replicas/engine_orders.h"
#include "replicas/load_pacing.h"
#include "replicas/replica_health.h"
#include "replicas/vm_supply.h"

namespace chervildyke {

namespace {

class due_order_finder {
  public:
    due_order_finder(const fleet_state& state, const fleet_knowledge& fleet,
                     const repair_memory& memory, const repair_options& options, time_point now)
        : state_(state), fleet_(fleet), options_(options), now_(now),
          admitted_(admit_loads(state, fleet, memory, options))
    {
    }

    std::vector<due_order> find()
    {
        for (const auto& [id, subject] : state_.replicas()) {
            if (subject.live()) {
                order_members(subject);
            }
        }
        for (const auto& [name, vm] : fleet_.vms) {
            order_leaves(vm);
        }
        return std::move(due_);
    }

  private:
    void order_members(const replica& subject);
    void order_adapters(const replica& subject, const vm_knowledge& vm);
    void order_leaves(const vm_knowledge& vm);
    bool is_ahead(const vm_knowledge& vm) const;
    due_order join_of(const replica& subject) const;

    const fleet_state& state_;
    const fleet_knowledge& fleet_;
    const repair_options& options_;
    time_point now_;
    std::set<replica_id> admitted_;
    std::vector<due_order> due_;
};

/** True when the engine is in a replica that this state does not know yet. */
bool due_order_finder::is_ahead(const vm_knowledge& vm) const
{
    return vm.report && vm.report->replica_id() > state_.offset();
}

due_order due_order_finder::join_of(const replica& subject) const
{
    due_order join;
    join.kind = schema::order_join;
    join.replica = subject.id;
    join.model = subject.model;
    for (const schema::model& known : state_.configuration()->models()) {
        if (known.name() == subject.model) {
            join.bytes = known.bytes_per_vm();
        }
    }
    const auto team = state_.teams().find(subject.team);
    if (team != state_.teams().end()) {
        const auto& adapters = team->second.parameters.adapters();
        join.adapters.assign(adapters.begin(), adapters.end());
    }
    for (const replica_vm& member : subject.members) {
        const vm_knowledge* vm = fleet_.find(member.vm);
        join.group.emplace_back(member.vm, vm == nullptr ? std::string() : vm->address);
    }
    return join;
}

void due_order_finder::order_members(const replica& subject)
{
    const due_order join = join_of(subject);
    for (const replica_vm& member : subject.members) {
        const vm_knowledge* vm = fleet_.find(member.vm);
        const member_state state = judge_member(subject, vm, options_.bounds, now_);
        if (vm == nullptr || is_ahead(*vm)) {
            continue;
        }
        if (state == member_state::ready) {
            order_adapters(subject, *vm);
        }
        const bool may_load = admitted_.count(subject.id) > 0 || holds_weights(*vm, subject.model);
        if (state == member_state::dissenting && may_load) {
            due_order next = join;
            next.vm = member.vm;
            next.address = vm->address;
            due_.push_back(std::move(next));
        }
    }
}

void due_order_finder::order_adapters(const replica& subject, const vm_knowledge& vm)
{
    const auto team = state_.teams().find(subject.team);
    if (team == state_.teams().end() || team->second.parameters.model() != subject.model) {
        return;
    }
    const auto& loaded = vm.report->adapters();
    for (const std::string& adapter : team->second.parameters.adapters()) {
        if (std::find(loaded.begin(), loaded.end(), adapter) != loaded.end()) {
            continue;
        }
        due_order next;
        next.vm = vm.vm;
        next.address = vm.address;
        next.kind = schema::order_load_adapter;
        next.replica = subject.id;
        next.adapter = adapter;
        due_.push_back(std::move(next));
    }
}

void due_order_finder::order_leaves(const vm_knowledge& vm)
{
    const bool heard = vm.role == vm_role::engine && vm.report && !vm.lost_since &&
                       vm.heard_within(options_.bounds.report_freshness, now_);
    if (!heard || vm.report->replica_id() == 0 || is_ahead(vm)) {
        return;
    }
    const auto holder = state_.holder_of(vm.vm);
    const replica* held_by = holder ? state_.find_replica(*holder) : nullptr;
    if (held_by != nullptr && held_by->live()) {
        return; // A join for its present replica is due, if anything.
    }
    due_order next;
    next.vm = vm.vm;
    next.address = vm.address;
    next.kind = schema::order_leave;
    next.replica = vm.report->replica_id();
    due_.push_back(std::move(next));
}

} // namespace

std::vector<due_order> find_due_orders(const fleet_state& state, const fleet_knowledge& fleet,
                                       const repair_memory& memory, const repair_options& options,
                                       time_point now)
{
    return due_order_finder(state, fleet, memory, options, now).find();
}

} // namespace chervildyke
