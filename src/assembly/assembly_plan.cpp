/** \file
 * Implements plan_assembly: one pass for each job, in the order in which they run.
 */
#include "assembly/assembly_plan.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "assembly/load_planner.h"
#include "assembly/member_selection.h"
#include "assembly/replica_formation.h"

namespace chervildyke {

namespace {

using ledger_entry = std::pair<const std::string, schema::shared_replica>;

replica_order make_order(order_kind kind, const ledger_entry& entry)
{
    replica_order order;
    order.kind = kind;
    order.replica = entry.first;
    order.epoch = entry.second.epoch();
    order.model = entry.second.model();
    for (const schema::shared_member& member : entry.second.members()) {
        order.members.push_back(member.id());
    }
    return order;
}

/** Makes one plan. */
class planner {
  public:
    planner(const assembly_input& input, const assembly_settings& settings)
        : in_(input), settings_(settings), loads_left_(input.load_allowance)
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
                finish_retiring(entry);
                break;
            default:
                break;
            }
        }
        if (in_.list_is_current) {
            replica_formation formation(in_, settings_, in_.ledger->end() + plan_.records.size());
            formation.run();
            plan_.records.insert(plan_.records.end(), formation.records().begin(),
                                 formation.records().end());
            load_models(formation);
        }
        return std::move(plan_);
    }

  private:
    const listed_backend* present(const schema::shared_member& member) const
    {
        return present_member(*in_.backends, member);
    }

    static const replica_membership* membership_in(const listed_backend* listed,
                                                   const ledger_entry& entry)
    {
        if (listed == nullptr || !listed->server.membership) {
            return nullptr;
        }
        const replica_membership& membership = *listed->server.membership;
        const bool same =
            membership.replica == entry.first && membership.epoch == entry.second.epoch();
        return same ? &membership : nullptr;
    }

    bool lost_by_probe(const std::string& vm) const
    {
        const probe_memory* probe = in_.memory->probe_of(vm);
        return probe != nullptr && probe->failures >= settings_.probe_failures;
    }

    void probe(const std::string& vm)
    {
        const probe_memory* before = in_.memory->probe_of(vm);
        const bool trusted = before != nullptr && before->failures == 0 &&
                             in_.now - before->answered_at < settings_.probe_trust;
        const bool due = !trusted && (before == nullptr ||
                                      in_.now - before->last_at >= settings_.probe_interval);
        if (due && in_.backends->find(vm) != nullptr) {
            plan_.probes.push_back(vm);
        }
    }

    bool send(const std::string& vm, const replica_order& order, bool loads_weights = false)
    {
        const sent_order* before = in_.memory->find(vm, order.kind, order.epoch);
        if (before != nullptr && in_.now - before->at < settings_.order_retry) {
            return false;
        }
        if (loads_weights && before == nullptr && !in_.loads_are_free) {
            if (loads_left_ == 0) {
                return false;
            }
            --loads_left_;
        }
        plan_.orders.push_back({vm, order, loads_weights});
        return true;
    }

    void retire(const ledger_entry& entry, const std::string& reason, bool abort_calls)
    {
        plan_.records.push_back(retired(entry.first, entry.second, reason, abort_calls));
    }

    void drop(const ledger_entry& entry)
    {
        keyed_record dropped;
        dropped.key = entry.first;
        plan_.records.push_back(std::move(dropped));
    }

    /** True while calls at the replica get events. */
    bool makes_progress(const ledger_entry& entry) const
    {
        const auto use = in_.uses.find(entry.second.epoch());
        return use != in_.uses.end() && use->second.running > 0 &&
               use->second.silent < settings_.stall_probe;
    }

    /** \return why the replica can't go on, or an empty text. */
    std::string fault_of_members(const ledger_entry& entry)
    {
        for (const schema::shared_member& member : entry.second.members()) {
            const listed_backend* listed = in_.backends->find(member.id());
            const bool is_head = member.id() == entry.second.members(0).id();
            if (listed == nullptr) {
                // Cut off from the log only, or leaving without a word: it works on for a while.
                if (!is_head && entry.second.phase() == schema::shared_phase_serving &&
                    makes_progress(entry)) {
                    continue;
                }
                return "member " + member.id() + " is gone";
            }
            if (listed->server.started_ms != member.started_ms()) {
                return "member " + member.id() + " started again";
            }
            if (listed->server.leaving &&
                !leaving_but_usable(*listed, is_head, in_.now, settings_)) {
                return "member " + member.id() + " is leaving";
            }
            if (lost_by_probe(member.id())) {
                return "member " + member.id() + " does not answer";
            }
        }
        return {};
    }

    void advance_forming(const ledger_entry& entry)
    {
        const std::string fault = fault_of_members(entry);
        if (!fault.empty()) {
            retire(entry, fault, true);
            return;
        }
        std::size_t ready = 0;
        for (const schema::shared_member& member : entry.second.members()) {
            const listed_backend* listed = present(member);
            const replica_membership* joined = membership_in(listed, entry);
            if (joined == nullptr) {
                const bool loads = !holds(listed->server, entry.second.model());
                send(member.id(), make_order(order_kind::join, entry), loads);
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
        if (membership_in(present(head), entry)->phase == membership_phase::open) {
            schema::shared_replica opened = entry.second;
            opened.set_phase(schema::shared_phase_serving);
            opened.set_reason("all members were ready and the head opened");
            opened.set_abort_calls(false);
            plan_.records.push_back(to_record(entry.first, opened));
            return;
        }
        send(head.id(), make_order(order_kind::open, entry));
    }

    void check_serving(const ledger_entry& entry)
    {
        std::string fault = fault_of_members(entry);
        const bool leaving = fault.ends_with("is leaving");
        if (fault.empty()) {
            fault = fault_of_head(entry);
        }
        if (fault.empty()) {
            fault = fault_of_progress(entry);
        }
        if (!fault.empty()) {
            retire(entry, fault, !leaving);
        }
    }

    std::string fault_of_head(const ledger_entry& entry) const
    {
        const replica_membership* joined = membership_in(present(entry.second.members(0)), entry);
        if (joined == nullptr) {
            return "the head is not a member any more";
        }
        return joined->phase == membership_phase::broken ? "the head is broken" : std::string();
    }

    std::string fault_of_progress(const ledger_entry& entry)
    {
        const auto use = in_.uses.find(entry.second.epoch());
        if (use == in_.uses.end() || use->second.running == 0 ||
            use->second.silent < settings_.stall_probe) {
            return {};
        }
        if (use->second.silent > settings_.stall_limit) {
            return "its calls make no progress";
        }
        for (const schema::shared_member& member : entry.second.members()) {
            probe(member.id());
        }
        return {};
    }

    static bool ended_as(const sent_order* order, order_outcome outcome)
    {
        return order != nullptr && order->outcome == outcome;
    }

    /** True when the VM obeyed, or said that there is nothing to obey. */
    static bool answered(const sent_order* order)
    {
        return ended_as(order, order_outcome::begun) || ended_as(order, order_outcome::refused);
    }

    void finish_retiring(const ledger_entry& entry)
    {
        const schema::shared_member& head = entry.second.members(0);
        const listed_backend* listed = in_.backends->find(head.id());
        if (listed == nullptr) {
            drop_without_head(entry);
            return;
        }
        const replica_membership* joined = membership_in(listed, entry);
        const sent_order* left =
            in_.memory->find(head.id(), order_kind::leave, entry.second.epoch());
        // An entry changes only with its VM's state, so an old one that shows the head elsewhere
        // beside its refusal to leave is as good as a new one.
        const bool not_in_it = joined == nullptr && ended_as(left, order_outcome::refused);
        const bool confirmed = not_in_it || ended_as(left, order_outcome::begun);
        const bool other_life = listed->server.started_ms != head.started_ms();
        if (confirmed || other_life) {
            drop(entry);
            return;
        }
        const bool takes_calls = joined != nullptr && (joined->phase == membership_phase::open ||
                                                       joined->phase == membership_phase::closing);
        if (takes_calls && !closed(entry)) {
            return;
        }
        send(head.id(), make_order(order_kind::leave, entry));
    }

    /** Closes the head; \return true once it may leave. */
    bool closed(const ledger_entry& entry)
    {
        const std::string& head = entry.second.members(0).id();
        const sent_order* gentle =
            in_.memory->find(head, order_kind::close_when_idle, entry.second.epoch());
        const bool patient =
            !entry.second.abort_calls() &&
            (gentle == nullptr || in_.now - gentle->at < settings_.idle_close_limit);
        if (patient) {
            if (gentle == nullptr) {
                send(head, make_order(order_kind::close_when_idle, entry));
            }
            return false;
        }
        const sent_order* forced =
            in_.memory->find(head, order_kind::close_now, entry.second.epoch());
        // A refusal says that the head does not take calls any more.
        if (answered(forced)) {
            return true;
        }
        send(head, make_order(order_kind::close_now, entry));
        return false;
    }

    /** The head is not listed any more: its process ended, or it is cut off and may still serve. */
    void drop_without_head(const ledger_entry& entry)
    {
        const std::string& head = entry.second.members(0).id();
        const lost_head* lost = in_.memory->lost_head_of(entry.second.epoch());
        if (lost == nullptr) {
            return; // The driver begins to close it by its last address.
        }
        const probe_memory* probed = in_.memory->probe_of(head);
        const bool silent_before = probed != nullptr && probed->failures > 0 &&
                                   in_.now - probed->first_failure_at >= settings_.silent_head_wait;
        const bool waited = silent_before || in_.now - lost->since >= settings_.lost_head_wait;
        const sent_order* forced =
            in_.memory->find(head, order_kind::close_now, entry.second.epoch());
        const sent_order* left = in_.memory->find(head, order_kind::leave, entry.second.epoch());
        // A refusal to leave says that the head is not in the replica any more.
        const bool confirmed = answered(left) || ended_as(left, order_outcome::other_vm) ||
                               ended_as(forced, order_outcome::other_vm);
        const auto use = in_.uses.find(entry.second.epoch());
        const bool heard = use != in_.uses.end() && use->second.running > 0 &&
                           use->second.silent < settings_.lost_head_wait;
        if (confirmed || (waited && lost->no_contact && !heard)) {
            drop(entry);
            return;
        }
        if (!lost->address_known) {
            return;
        }
        // A refusal to close says that it does not take calls any more.
        send(head, make_order(answered(forced) ? order_kind::leave : order_kind::close_now, entry));
    }

    /** Loads models into the hosts of free VMs: first where that makes a replica whole, then so
     * that a lost member can be replaced.
     */
    void load_models(const replica_formation& formation)
    {
        load_planner loads(in_, formation.taken(), formation.counts(), formation.targets());
        plan_.free_vms = loads.describe();
        std::set<std::string> loading;
        for (const planned_load& load : loads.choose(loads_left_)) {
            replica_order order;
            order.kind = order_kind::stage;
            order.model = load.model;
            send(load.vm, order, true);
            loading.insert(load.vm);
        }
        warm_spares(formation, loads, loading);
    }

    /** Lets spares join a replica of their own, which never opens, so that the model gets on their
     * accelerators: they take the place of a lost member sooner, and their hosts can hold another
     * model.
     */
    void warm_spares(const replica_formation& formation, const load_planner& loads,
                     const std::set<std::string>& loading)
    {
        const member_pool pool(in_);
        for (const auto& [domain, vms] : pool.free_by_domain()) {
            for (const backend* vm : vms) {
                const bool busy = formation.takes(vm->id) || loading.contains(vm->id) ||
                                  loads.loading(*vm) != nullptr;
                // A join that is repeated begins anew.
                const bool joins = in_.memory->sent_since(vm->id, order_kind::join,
                                                          in_.now - settings_.spare_join_limit);
                if (busy || joins || !vm->loaded_model.empty() || vm->staged_models.empty()) {
                    continue;
                }
                replica_order order;
                order.kind = order_kind::join;
                order.replica = "spare-" + vm->id;
                // Below any replica that this node does not know of, which then keeps the VM.
                order.epoch = in_.ledger->end();
                order.model = vm->staged_models.front();
                order.members = {vm->id};
                send(vm->id, order);
            }
        }
    }

    const assembly_input& in_;
    const assembly_settings& settings_;
    std::uint32_t loads_left_;
    assembly_plan plan_;
};

} // namespace

bool leaving_but_usable(const listed_backend& member, bool is_head, time_point now,
                        const assembly_settings& settings)
{
    return !is_head && member.leaving_since &&
           now - *member.leaving_since < settings.leaving_member_use;
}

assembly_plan plan_assembly(const assembly_input& input, const assembly_settings& settings)
{
    return planner(input, settings).run();
}

} // namespace chervildyke
