/** \file
 * Defines assembly_fixture, the VMs of a service in fabric domains and the ledger of its replicas.
 */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "assembly/assembly_plan.h"
#include "assembly/member_pool.h"

namespace chervildyke::test {

/** Applies the records of plans to a ledger, and their commands to VMs that execute each at once.
 * Time advances only in step() and when a test changes now.
 */
class assembly_fixture {
  public:
    static constexpr duration step_interval = 700ms;

    assembly_fixture()
    {
        model_profile large;
        large.name = "large";
        large.replica_size = 4;
        large.initial_share = 0.5;
        large.cold_load_time = 16s;
        model_profile small;
        small.name = "small";
        small.replica_size = 2;
        small.initial_share = 0.5;
        small.cold_load_time = 12s;
        profile.models = {large, small};
        profile.batch_slots = 17;
        profile.max_load_starts_per_s = 5;
        profile.max_concurrent_loads = 7;
    }

    void add_domain(const std::string& domain, int vms)
    {
        for (int i = 0; i < vms; ++i) {
            backend vm;
            vm.id = domain + std::to_string(i);
            vm.service = "pool";
            vm.fabric_domain = domain;
            vm.failure_domain = domain;
            vm.started_ms = 1;
            backends.apply(vm, now);
        }
    }

    assembly_plan plan()
    {
        assembly_input input;
        input.service = "pool";
        input.profile = &profile;
        input.ledger = &ledger;
        input.backends = &backends;
        input.history = &history;
        input.uses = uses;
        if (mixed_demand) {
            input.split = split_input{*mixed_demand, split};
        }
        input.before_first_call = before_first_call;
        input.load_allowance = load_allowance;
        input.evacuated = evacuated;
        input.now = now;
        return plan_assembly(input, settings);
    }

    /** Makes one plan, appends its records, executes its commands and advances the time.
     * \return the plan.
     */
    assembly_plan step()
    {
        assembly_plan made = plan();
        if (made.split) {
            split = made.split->state;
        }
        keyed_records appended;
        appended.next_offset = ledger.end().offset;
        for (keyed_record record : made.records) {
            record.offset = appended.next_offset++;
            appended.records.push_back(std::move(record));
        }
        if (!appended.records.empty()) {
            ledger.apply(appended);
        }
        for (const std::uint64_t epoch : made.closed) {
            history.note_closed(epoch, now);
        }
        for (const planned_command& planned : made.commands) {
            history.note_sent(planned.vm, planned.command, now, planned.loads_weights);
            if (backends.find(planned.vm) != nullptr && !unresponsive.contains(planned.vm)) {
                execute(planned);
                history.note_outcome(planned.vm, planned.command, command_outcome::begun);
            }
        }
        now += step_interval;
        return made;
    }

    void steps(int count)
    {
        for (int i = 0; i < count; ++i) {
            step();
        }
    }

    std::vector<std::string> serving(const std::string& model) const
    {
        std::vector<std::string> names;
        for (const auto& [name, replica] : ledger.replicas()) {
            if (replica.phase() == schema::shared_phase_serving && replica.model() == model) {
                names.push_back(name);
            }
        }
        return names;
    }

    const schema::shared_replica& replica(const std::string& name) const
    {
        return ledger.replicas().at(name);
    }

    time_point now{100s};
    engine_profile profile;
    assembly_settings settings;
    backend_table backends{2s};
    replica_ledger ledger;
    assembly_history history;
    std::map<std::uint64_t, replica_usage> uses;
    std::set<std::string> unresponsive; // VMs that execute no command.
    std::optional<std::map<std::string, recent_demand>> mixed_demand; // Set: priorities differ.
    split_state split;
    bool before_first_call = true;
    std::uint32_t load_allowance = 1000;
    std::set<std::string> evacuated; // Domains.

  private:
    void execute(const planned_command& planned)
    {
        backend vm = backends.find(planned.vm)->server;
        const engine_command& given = planned.command;
        const bool joins = given.kind == command_kind::join;
        if (given.kind == command_kind::stage || (joins && !holds_model(vm, given.model))) {
            vm.staged_models = {given.model};
        }
        if (joins) {
            vm.loaded_model = given.model;
            replica_membership membership;
            membership.replica = given.replica;
            membership.epoch = given.epoch;
            membership.rank = given.members.front() == planned.vm ? 0 : 1;
            membership.phase = membership_phase::ready;
            vm.membership = membership;
        }
        const bool same = vm.membership && vm.membership->replica == given.replica;
        if (same && given.kind == command_kind::open) {
            vm.membership->phase = membership_phase::open;
        }
        const bool closes =
            given.kind == command_kind::close_now || given.kind == command_kind::close_when_idle;
        if (same && closes) {
            vm.membership->phase = membership_phase::ready;
        }
        if (same && given.kind == command_kind::leave) {
            vm.membership.reset();
        }
        backends.apply(vm, now);
    }
};

} // namespace chervildyke::test
