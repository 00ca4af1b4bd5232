/** \file
 * Implements plan_assembly: one pass over the existing replicas, then formation of new replicas,
 * loads, and spares.
 */
#include "assembly/assembly_plan.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "assembly/conversion_planner.h"
#include "assembly/formation_planner.h"
#include "assembly/load_planner.h"
#include "assembly/member_pool.h"
#include "assembly/plan_builder.h"
#include "assembly/replica_command.h"
#include "assembly/replica_evidence.h"
#include "assembly/retirement_planner.h"

namespace chervildyke {

namespace {

/** Makes one plan. */
class planner {
  public:
    planner(const assembly_input& input, const assembly_settings& settings)
        : in_(input), settings_(settings), evidence_(input, settings), builder_(input, settings),
          retirement_(input, settings, builder_)
    {
    }

    assembly_plan run()
    {
        for (const ledger_entry& entry : in_.ledger->replicas()) {
            if (entry.second.service() != in_.service) {
                continue;
            }
            switch (entry.second.phase()) {
            case schema::shared_phase_forming:
                advance_forming(entry);
                break;
            case schema::shared_phase_serving:
                check_serving(entry);
                break;
            case schema::shared_phase_retiring:
                retirement_.finish(entry);
                break;
            default:
                break;
            }
        }
        if (in_.list_is_current) {
            log_position next = in_.ledger->end();
            next.offset += builder_.plan.records.size();
            formation_planner formation(in_, settings_, next);
            formation.run();
            builder_.plan.records.insert(builder_.plan.records.end(), formation.records().begin(),
                                         formation.records().end());
            builder_.plan.counts = formation.counts();
            builder_.plan.split = formation.split();
            load_models(formation);
            retirement_.close_orphans();
        }
        return std::move(builder_.plan);
    }

  private:
    const listed_backend* find_listed(const schema::shared_member& member) const
    {
        return find_listed_member(*in_.backends, member);
    }

    /** Probes a member whose address is known from the list of VMs. */
    void add_probe_of_member(const std::string& vm)
    {
        if (in_.backends->find(vm) != nullptr) {
            builder_.add_probe(vm);
        }
    }

    void retire(const ledger_entry& entry, const std::string& reason, bool abort_calls)
    {
        builder_.plan.records.push_back(
            make_retiring_record(entry.first, entry.second, reason, abort_calls));
    }

    /** \return why the replica can't continue with its members, or an empty text. */
    std::string find_member_fault(const ledger_entry& entry)
    {
        for (const schema::shared_member& member : entry.second.members()) {
            const listed_backend* listed = in_.backends->find(member.id());
            const bool is_head = member.id() == entry.second.members(0).id();
            if (listed == nullptr) {
                // The member may only be disconnected from the log, or may leave without having
                // announced it. In both cases it continues to work for a while.
                if (!is_head && entry.second.phase() == schema::shared_phase_serving &&
                    evidence_.makes_progress(entry.second)) {
                    continue;
                }
                return "member " + member.id() + " is not listed any more";
            }
            if (listed->server.started_ms != member.started_ms()) {
                return "member " + member.id() + " has restarted";
            }
            if (listed->server.leaving &&
                !leaving_but_usable(*listed, is_head, in_.now, settings_)) {
                return "member " + member.id() + " is leaving";
            }
            if (evidence_.is_unresponsive(entry.second, member.id())) {
                return "member " + member.id() + " does not answer probes";
            }
        }
        return {};
    }

    void advance_forming(const ledger_entry& entry)
    {
        const std::string fault = find_member_fault(entry);
        if (!fault.empty()) {
            retire(entry, fault, true);
            return;
        }
        // Until its domain returns it gets neither joins, which may load weights, nor an open.
        const bool is_held = in_.is_evacuated(entry.second);
        std::size_t ready = 0;
        for (const schema::shared_member& member : entry.second.members()) {
            const listed_backend* listed = find_listed(member);
            const replica_membership* joined = membership_in(listed, entry);
            if (joined == nullptr && is_held) {
                continue;
            }
            if (joined == nullptr) {
                const bool loads = !holds_model(listed->server, entry.second.model());
                builder_.add_command(member.id(),
                                     make_command(command_kind::join, entry.first, entry.second),
                                     loads);
                continue;
            }
            const bool able =
                joined->phase == membership_phase::ready || joined->phase == membership_phase::open;
            ready += able ? 1 : 0;
        }
        if (ready < static_cast<std::size_t>(entry.second.members_size())) {
            return;
        }
        const schema::shared_member& head = entry.second.members(0);
        if (membership_in(find_listed(head), entry)->phase == membership_phase::open) {
            schema::shared_replica opened = entry.second;
            opened.set_phase(schema::shared_phase_serving);
            opened.set_reason("all members are ready and the head is open");
            opened.set_abort_calls(false);
            builder_.plan.records.push_back(to_record(entry.first, opened));
            return;
        }
        if (!is_held) {
            builder_.add_command(head.id(),
                                 make_command(command_kind::open, entry.first, entry.second));
        }
    }

    void check_serving(const ledger_entry& entry)
    {
        std::string fault = find_member_fault(entry);
        const bool leaving = fault.ends_with("is leaving");
        if (fault.empty()) {
            fault = find_head_fault(entry);
        }
        if (fault.empty()) {
            fault = find_progress_fault(entry);
        }
        // A head that is not listed may only be disconnected from the log, or may leave without
        // having announced it.
        const bool head_listed = in_.backends->find(entry.second.members(0).id()) != nullptr;
        if (!fault.empty()) {
            retire(entry, fault,
                   !leaving && (head_listed || !evidence_.calls_may_finish(entry.second)));
        }
    }

    std::string find_head_fault(const ledger_entry& entry) const
    {
        const replica_membership* joined =
            membership_in(find_listed(entry.second.members(0)), entry);
        if (joined == nullptr) {
            return "the head is no longer a member of the replica";
        }
        return joined->phase == membership_phase::broken
                   ? "the head reports that the replica is broken"
                   : std::string();
    }

    std::string find_progress_fault(const ledger_entry& entry)
    {
        // A member that failed a probe is probed until it answers or is lost, also when its calls
        // have moved to other replicas.
        for (const schema::shared_member& member : entry.second.members()) {
            const probe_state* probe = in_.history->find_probe(member.id());
            if (probe != nullptr && probe->failures > 0) {
                add_probe_of_member(member.id());
            }
        }
        const auto use = in_.uses.find(entry.second.epoch());
        if (use == in_.uses.end() || use->second.running == 0 ||
            use->second.silent < settings_.stall_probe_delay) {
            return {};
        }
        const duration silent = use->second.silent;
        if (silent > settings_.max_stall ||
            (silent > settings_.stall_retire_delay && !evidence_.member_was_silent(entry.second))) {
            return "its calls receive no events";
        }
        for (const schema::shared_member& member : entry.second.members()) {
            add_probe_of_member(member.id());
        }
        return {};
    }

    /** Loads models into the hosts of free VMs: first where the loads complete a replica, then on
     * spares that can replace lost members.
     */
    void load_models(const formation_planner& formation)
    {
        load_planner loads(in_, formation.taken(), formation.counts(), formation.targets());
        builder_.plan.free_vms = loads.describe();
        std::set<std::string> loading;
        for (const planned_load& load : loads.choose(builder_.remaining_loads())) {
            engine_command command;
            command.kind = command_kind::stage;
            command.model = load.model;
            builder_.add_command(load.vm, command, true);
            loading.insert(load.vm);
        }
        preload_spares(formation, loads, loading);
        if (builder_.plan.split) {
            conversion_planner(in_, settings_.split, formation.targets(), formation.counts(), loads,
                               loads.running_loads() + loading.size(), builder_)
                .run(builder_.plan.split->state);
        }
    }

    /** Makes each spare join a replica of its own, which never opens, so that its staged model is
     * loaded onto its accelerators. The spare can then replace a lost member sooner, and its host
     * can stage another model.
     */
    void preload_spares(const formation_planner& formation, const load_planner& loads,
                        const std::set<std::string>& loading)
    {
        const member_pool pool(in_);
        for (const auto& [domain, vms] : pool.free_by_domain()) {
            for (const backend* vm : vms) {
                const bool busy = formation.uses_vm(vm->id) || loading.contains(vm->id) ||
                                  loads.loading(*vm) != nullptr;
                // A repeated join would restart the one in progress.
                const bool joins = in_.history->sent_since(vm->id, command_kind::join,
                                                           in_.now - settings_.spare_join_timeout);
                if (busy || joins || !vm->loaded_model.empty() || vm->staged_models.empty()) {
                    continue;
                }
                engine_command command;
                command.kind = command_kind::join;
                command.replica = "spare-" + vm->id;
                // Lower than the epoch of any replica that this node has not read yet: if such a
                // replica has taken the VM, the VM refuses this command.
                command.epoch = epoch_at(in_.ledger->end()) - 1;
                command.model = vm->staged_models.front();
                command.members = {vm->id};
                builder_.add_command(vm->id, command);
            }
        }
    }

    const assembly_input& in_;
    const assembly_settings& settings_;
    replica_evidence evidence_;
    plan_builder builder_;
    retirement_planner retirement_;
};

} // namespace

bool assembly_input::is_evacuated(const schema::shared_replica& replica) const
{
    return std::any_of(replica.members().begin(), replica.members().end(),
                       [this](const schema::shared_member& member) {
                           const listed_backend* listed = backends->find(member.id());
                           return listed != nullptr && is_evacuated(listed->server);
                       });
}

bool leaving_but_usable(const listed_backend& member, bool is_head, time_point now,
                        const assembly_settings& settings)
{
    return !is_head && member.leaving_since &&
           now - *member.leaving_since < settings.leaving_member_usable_time;
}

assembly_plan plan_assembly(const assembly_input& input, const assembly_settings& settings)
{
    return planner(input, settings).run();
}

} // namespace chervildyke
