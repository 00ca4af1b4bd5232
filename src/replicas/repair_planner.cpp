/** \file
 * Implements repair_planner, except for the repair of broken replicas and the formation of missing
 * ones.
 */
#include "replicas/repair_planner.h"

#include <algorithm>
#include <tuple>

namespace chervildyke::internal {

namespace {

/** Surplus replicas are retired in this order. */
constexpr int usefulness_of_broken = 0;
constexpr int usefulness_of_outdated = 1;
constexpr int usefulness_of_starting = 2;
constexpr int usefulness_of_routable = 3;

} // namespace

std::vector<decision> repair_planner::plan()
{
    if (fleet_.isolated) {
        return {};
    }
    assess_teams();
    for (const auto& [id, subject] : state_.replicas()) {
        if (subject.phase == schema::retiring) {
            release(subject);
        }
    }
    for (assessed_team* team : teams_by_value()) {
        mark_serving(*team);
        retire_surplus(*team);
        repair_broken(*team);
        fill_deficit(*team);
        replace_outdated(*team);
    }
    return std::move(decisions_);
}

void repair_planner::assess_teams()
{
    for (const auto& [name, team] : state_.teams()) {
        teams_[name].name = name;
        teams_[name].team = &team;
    }
    for (const auto& [id, subject] : state_.replicas()) {
        assessed_team& team = teams_[subject.team];
        team.name = subject.team;
        if (!subject.live()) {
            team.has_retiring = true;
            continue;
        }
        ++team.live_replicas;
        assessed_replica next;
        next.subject = &subject;
        next.health = assess_replica(subject, fleet_, options_.bounds, now_);
        next.is_routable = subject.phase == schema::serving && next.health.complete &&
                           history_.phase_duration(id, now_) >= options_.routing_propagation_time;
        next.outdated_reason =
            team.team == nullptr ? std::string() : find_outdated_reason(subject, *team.team);
        team.replicas.push_back(std::move(next));
    }
}

std::vector<assessed_team*> repair_planner::teams_by_value()
{
    std::vector<assessed_team*> order;
    for (auto& [name, team] : teams_) {
        order.push_back(&team);
    }
    const auto rank = [&](const assessed_team* team) {
        const double value =
            team->team == nullptr ? 0.0 : repair_costs::team_value(team->team->parameters);
        const auto down = history_.down_since.find(team->name);
        const time_point since = down == history_.down_since.end() ? now_ : down->second;
        return std::make_tuple(-value, since);
    };
    std::stable_sort(
        order.begin(), order.end(),
        [&](const assessed_team* a, const assessed_team* b) { return rank(a) < rank(b); });
    return order;
}

std::string repair_planner::find_outdated_reason(const replica& subject,
                                                 const configured_team& team) const
{
    const schema::team_parameters& wanted = team.parameters;
    if (subject.model != wanted.model()) {
        return "the team's model is now " + wanted.model();
    }
    if (subject.members.size() != wanted.vms_per_replica()) {
        return "the team's replicas now span " + std::to_string(wanted.vms_per_replica()) + " VMs";
    }
    std::set<std::string> domains;
    std::string slow;
    for (const replica_vm& member : subject.members) {
        if (drained_.count(member.vm) > 0) {
            return member.vm + " is drained";
        }
        const observed_vm* vm = fleet_.find(member.vm);
        if (vm == nullptr) {
            continue;
        }
        domains.insert(vm->fabric_domain);
        if (vm->pool != wanted.pool()) {
            return "the team's pool is now " + wanted.pool();
        }
        if (vm->straggling_since &&
            now_ - *vm->straggling_since > options_.straggler_grace_period) {
            slow = member.vm + " is slower than its peers";
        }
    }
    if (wanted.one_fabric_domain() && domains.size() > 1) {
        return "it spans several fabric domains";
    }
    return slow;
}

vm_requirements repair_planner::requirements_of(const assessed_team& team) const
{
    const schema::team_parameters& wanted = team.team->parameters;
    return {wanted.pool(), wanted.model(), wanted.vms_per_replica(), wanted.one_fabric_domain()};
}

void repair_planner::mark_serving(const assessed_team& team)
{
    for (const assessed_replica& each : team.replicas) {
        if (each.subject->phase == schema::forming && each.health.complete) {
            decision next;
            next.kind = decision_kind::mark_serving;
            next.team = team.name;
            next.replica = each.subject->id;
            next.reason = "all members report that they are ready";
            decisions_.push_back(std::move(next));
        }
    }
}

void repair_planner::release(const replica& retiring)
{
    const duration since = history_.phase_duration(retiring.id, now_);
    for (const replica_vm& member : retiring.members) {
        if (member.released) {
            continue;
        }
        decision next;
        next.kind = decision_kind::release_vm;
        next.team = retiring.team;
        next.replica = retiring.id;
        next.vms = {member.vm};
        const observed_vm* vm = fleet_.find(member.vm);
        const bool is_gone = vm == nullptr || vm->presence == vm_presence::gone;
        const bool has_fresh_report = vm != nullptr && vm->report && !vm->lost_since &&
                                      vm->answered_within(options_.bounds.report_freshness, now_);
        // At engines that don't check fencing, a command sent just before the retirement may still
        // arrive.
        const bool commands_expired =
            options_.engines_check_fencing || since >= options_.command_quarantine;
        const time_point retiring_since = now_ - since;
        if (has_fresh_report) {
            const bool is_confirmed = *vm->last_answer_at >= retiring_since;
            if (vm->report->replica_id() == retiring.id || !is_confirmed || !commands_expired) {
                continue;
            }
            next.evidence = schema::engine_confirmed;
            next.reason = "its engine has left the replica";
        }
        else if (is_gone) {
            const duration gone_for =
                vm != nullptr && vm->gone_since ? now_ - *vm->gone_since : since;
            if (gone_for < options_.bounds.list_lag) {
                continue;
            }
            next.evidence = schema::vm_gone;
            next.reason =
                "it does not answer and has been gone from the VM list for longer than the "
                "list's lag";
        }
        else {
            continue;
        }
        decisions_.push_back(std::move(next));
    }
}

void repair_planner::retire(const assessed_replica& target, const std::string& reason,
                            std::vector<repair_candidate> candidates)
{
    if (!retired_.insert(target.subject->id).second) {
        return;
    }
    teams_.at(target.subject->team).has_retiring = true;
    decision next;
    next.kind = decision_kind::retire_replica;
    next.team = target.subject->team;
    next.replica = target.subject->id;
    next.reason = reason;
    next.candidates = std::move(candidates);
    decisions_.push_back(std::move(next));
}

void repair_planner::form(const assessed_team& team, const vm_selection& selection,
                          replica_id replaces, const std::string& reason)
{
    decision next;
    next.kind = decision_kind::form_replica;
    next.team = team.name;
    next.replica = replaces;
    next.vms = selection.vms;
    next.model = team.team->parameters.model();
    next.reason = reason;
    costs_.add_queued_loads(next.model, selection.loads,
                            repair_costs::team_value(team.team->parameters));
    decisions_.push_back(std::move(next));
    allocator_.reserve(selection);
}

void repair_planner::wait(const assessed_team& team, replica_id id, const std::string& reason,
                          std::vector<repair_candidate> candidates)
{
    decision next;
    next.kind = decision_kind::wait;
    next.team = team.name;
    next.replica = id;
    next.reason = reason;
    next.candidates = std::move(candidates);
    decisions_.push_back(std::move(next));
}

void repair_planner::retire_surplus(assessed_team& team)
{
    if (team.replicas.size() <= team.wanted()) {
        return;
    }
    const auto usefulness = [](const assessed_replica& each) {
        if (each.health.broken) {
            return usefulness_of_broken;
        }
        if (!each.outdated_reason.empty()) {
            return usefulness_of_outdated;
        }
        return each.is_routable ? usefulness_of_routable : usefulness_of_starting;
    };
    std::stable_sort(team.replicas.begin(), team.replicas.end(),
                     [&](const assessed_replica& a, const assessed_replica& b) {
                         return std::make_tuple(usefulness(a), b.subject->id) <
                                std::make_tuple(usefulness(b), a.subject->id);
                     });
    const bool has_starting_replacement =
        std::any_of(team.replicas.begin(), team.replicas.end(),
                    [&](auto& each) { return usefulness(each) == usefulness_of_starting; });
    while (team.replicas.size() > team.wanted()) {
        const assessed_replica least_useful = team.replicas.front();
        const bool can_still_serve =
            least_useful.health.broken ? least_useful.health.recoverable : true;
        if (usefulness(least_useful) <= usefulness_of_outdated && can_still_serve &&
            has_starting_replacement && team.wanted() > 0) {
            wait(team, least_useful.subject->id, "its replacement does not receive calls yet");
            return;
        }
        std::string reason = "the team has more replicas than it wants";
        if (team.team == nullptr) {
            reason = "the team was removed";
        }
        else if (!least_useful.outdated_reason.empty()) {
            reason = "it was replaced: " + least_useful.outdated_reason;
        }
        retire(least_useful, reason);
        team.replicas.erase(team.replicas.begin());
    }
}

void repair_planner::replace_outdated(assessed_team& team)
{
    if (team.team == nullptr || team.has_retiring || team.replicas.size() != team.wanted()) {
        return;
    }
    const assessed_replica* oldest = nullptr;
    for (const assessed_replica& each : team.replicas) {
        if (!each.is_routable || retired_.count(each.subject->id) > 0) {
            return; // Replace one replica of a team at a time.
        }
        if (oldest == nullptr && !each.outdated_reason.empty()) {
            oldest = &each;
        }
    }
    if (oldest == nullptr) {
        return;
    }
    const vm_requirements requirements = requirements_of(team);
    const auto spare = allocator_.select(requirements, {}, false);
    if (spare) {
        form(team, *spare, oldest->subject->id,
             "replaces replica " + std::to_string(oldest->subject->id) + ": " +
                 oldest->outdated_reason);
        return;
    }
    if (allocator_.select(requirements, {}, true)) {
        wait(team, oldest->subject->id, oldest->outdated_reason + "; VMs are about to be free");
        return;
    }
    const bool fits_later =
        allocator_.select(requirements, fit_members(*oldest->subject), true).has_value();
    const bool drained =
        std::any_of(oldest->subject->members.begin(), oldest->subject->members.end(),
                    [&](const replica_vm& member) { return drained_.count(member.vm) > 0; });
    const bool only_slow = oldest->subject->model == requirements.model &&
                           oldest->subject->members.size() == requirements.vm_count && !drained;
    if (drained || (fits_later && !only_slow)) {
        retire(*oldest, oldest->outdated_reason + "; no spare VMs for a surplus replica");
        return;
    }
    wait(team, oldest->subject->id, oldest->outdated_reason + "; no VMs to replace it with");
}

} // namespace chervildyke::internal
