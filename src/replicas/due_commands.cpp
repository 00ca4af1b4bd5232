/** \file
 * Implements find_due_commands.
 */
#include <algorithm>

#include "replicas/command_sender.h"
#include "replicas/load_admission.h"
#include "replicas/replica_health.h"
#include "replicas/vm_allocator.h"

namespace chervildyke {

namespace {

class due_command_finder {
  public:
    due_command_finder(const fleet_state& state, const observed_fleet& fleet,
                       const repair_history& history, const repair_options& options, time_point now)
        : state_(state), fleet_(fleet), options_(options), now_(now),
          admitted_(admit_loads(state, fleet, history, options))
    {
    }

    std::vector<due_command> find()
    {
        for (const auto& [id, subject] : state_.replicas()) {
            if (subject.live()) {
                add_member_commands(subject);
            }
        }
        for (const auto& [name, vm] : fleet_.vms) {
            add_leave_command(vm);
        }
        return std::move(due_);
    }

  private:
    void add_member_commands(const replica& subject);
    void add_adapter_commands(const replica& subject, const observed_vm& vm);
    void add_leave_command(const observed_vm& vm);
    /** \return true when the engine is in a replica that this state does not contain yet. */
    bool is_newer_than_state(const observed_vm& vm) const;
    /** \return the join of a replica, without the member that it is for. */
    due_command join_command(const replica& subject) const;

    const fleet_state& state_;
    const observed_fleet& fleet_;
    const repair_options& options_;
    time_point now_;
    std::set<replica_id> admitted_;
    std::vector<due_command> due_;
};

bool due_command_finder::is_newer_than_state(const observed_vm& vm) const
{
    return vm.report && vm.report->replica_id() > state_.offset();
}

due_command due_command_finder::join_command(const replica& subject) const
{
    due_command join;
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
        const observed_vm* vm = fleet_.find(member.vm);
        join.group.emplace_back(member.vm, vm == nullptr ? std::string() : vm->address);
    }
    return join;
}

void due_command_finder::add_member_commands(const replica& subject)
{
    const due_command join = join_command(subject);
    for (const replica_vm& member : subject.members) {
        const observed_vm* vm = fleet_.find(member.vm);
        const member_state state = assess_member(subject, vm, options_.bounds, now_);
        if (vm == nullptr || is_newer_than_state(*vm)) {
            continue;
        }
        if (state == member_state::ready) {
            add_adapter_commands(subject, *vm);
        }
        const bool may_load = admitted_.count(subject.id) > 0 || holds_weights(*vm, subject.model);
        if (state == member_state::not_joined && may_load) {
            due_command next = join;
            next.vm = member.vm;
            next.address = vm->address;
            due_.push_back(std::move(next));
        }
    }
}

void due_command_finder::add_adapter_commands(const replica& subject, const observed_vm& vm)
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
        due_command next;
        next.vm = vm.vm;
        next.address = vm.address;
        next.kind = schema::order_load_adapter;
        next.replica = subject.id;
        next.adapter = adapter;
        due_.push_back(std::move(next));
    }
}

void due_command_finder::add_leave_command(const observed_vm& vm)
{
    const bool has_fresh_report = vm.role == vm_role::engine && vm.report && !vm.lost_since &&
                                  vm.answered_within(options_.bounds.report_freshness, now_);
    if (!has_fresh_report || vm.report->replica_id() == 0 || is_newer_than_state(vm)) {
        return;
    }
    const auto holder = state_.holder_of(vm.vm);
    const replica* holding_replica = holder ? state_.find_replica(*holder) : nullptr;
    if (holding_replica != nullptr && holding_replica->live()) {
        return; // At most a join of the replica that holds the VM is due.
    }
    due_command next;
    next.vm = vm.vm;
    next.address = vm.address;
    next.kind = schema::order_leave;
    next.replica = vm.report->replica_id();
    due_.push_back(std::move(next));
}

} // namespace

std::vector<due_command> find_due_commands(const fleet_state& state, const observed_fleet& fleet,
                                           const repair_history& history,
                                           const repair_options& options, time_point now)
{
    return due_command_finder(state, fleet, history, options, now).find();
}

} // namespace chervildyke
