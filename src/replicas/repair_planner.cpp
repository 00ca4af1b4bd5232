/** \file
 * Implements the planner's steps but the repair of what is broken.
 */
#include "replicas/repair_planner.h"

#include <algorithm>
#include <tuple>

namespace chervildyke::internal {

std::vector<decision> planner::plan()
{
    if (fleet_.blind) {
        return {};
    }
    gather();
    for (const auto& [id, subject] : state_.replicas()) {
        if (subject.phase == schema::retiring) {
            release(subject);
        }
    }
    for (team_units* team : by_value()) {
        mark_serving(*team);
        retire_surplus(*team);
        repair_broken(*team);
        fill_deficit(*team);
        replace_outdated(*team);
    }
    return std::move(decisions_);
}

void planner::gather()
{
    for (const auto& [name, team] : state_.teams()) {
        teams_[name].name = name;
        teams_[name].team = &team;
    }
    for (const auto& [id, subject] : state_.replicas()) {
        team_units& team = teams_[subject.team];
        team.name = subject.team;
        if (!subject.live()) {
            team.has_retiring = true;
            continue;
        }
        ++team.live;
        unit next;
        next.subject = &subject;
        next.health = judge_replica(subject, fleet_, options_.bounds, now_);
        next.settled = subject.phase == schema::serving && next.health.complete &&
                       memory_.in_phase(id, now_) >= options_.settle_time;
        next.outdated = team.team == nullptr ? std::string() : why_outdated(subject, *team.team);
        team.units.push_back(std::move(next));
    }
}

std::vector<team_units*> planner::by_value()
{
    std::vector<team_units*> order;
    for (auto& [name, team] : teams_) {
        order.push_back(&team);
    }
    const auto rank = [&](const team_units* team) {
        const double value =
            team->team == nullptr ? 0.0 : repair_costs::team_value(team->team->parameters);
        const auto down = memory_.down_since.find(team->name);
        const time_point since = down == memory_.down_since.end() ? now_ : down->second;
        return std::make_tuple(-value, since);
    };
    std::stable_sort(order.begin(), order.end(),
                     [&](const team_units* a, const team_units* b) { return rank(a) < rank(b); });
    return order;
}

std::string planner::why_outdated(const replica& subject, const configured_team& team) const
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
        const vm_knowledge* vm = fleet_.find(member.vm);
        if (vm == nullptr) {
            continue;
        }
        domains.insert(vm->fabric_domain);
        if (vm->pool != wanted.pool()) {
            return "the team's pool is now " + wanted.pool();
        }
        if (vm->straggling_since && now_ - *vm->straggling_since > options_.straggler_patience) {
            slow = member.vm + " is slower than its peers";
        }
    }
    if (wanted.one_fabric_domain() && domains.size() > 1) {
        return "it spans several fabric domains";
    }
    return slow;
}

vm_need planner::need_of(const team_units& team) const
{
    const schema::team_parameters& wanted = team.team->parameters;
    return {wanted.pool(), wanted.model(), wanted.vms_per_replica(), wanted.one_fabric_domain()};
}

void planner::mark_serving(const team_units& team)
{
    for (const unit& each : team.units) {
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

void planner::release(const replica& retiring)
{
    const duration since = memory_.in_phase(retiring.id, now_);
    for (const replica_vm& member : retiring.members) {
        if (member.released) {
            continue;
        }
        decision next;
        next.kind = decision_kind::release_vm;
        next.team = retiring.team;
        next.replica = retiring.id;
        next.vms = {member.vm};
        const vm_knowledge* vm = fleet_.find(member.vm);
        const bool gone = vm == nullptr || vm->presence == vm_presence::gone;
        const bool heard = vm != nullptr && vm->report && !vm->lost_since &&
                           vm->heard_within(options_.bounds.report_freshness, now_);
        // An order sent just before the retirement may still arrive at engines that obey any.
        const bool settled = options_.engines_check_fencing || since >= options_.order_quarantine;
        const time_point retiring_since = now_ - since;
        if (heard) {
            const bool after = *vm->heard_at >= retiring_since;
            if (vm->report->replica_id() == retiring.id || !after || !settled) {
                continue;
            }
            next.evidence = schema::engine_confirmed;
            next.reason = "its engine let go";
        }
        else if (gone) {
            const duration missing =
                vm != nullptr && vm->gone_since ? now_ - *vm->gone_since : since;
            if (missing < options_.bounds.list_lag) {
                continue;
            }
            next.evidence = schema::vm_gone;
            next.reason = "it is silent and gone from the VM list for longer than its lag";
        }
        else {
            continue;
        }
        decisions_.push_back(std::move(next));
    }
}

void planner::retire(const unit& target, const std::string& reason, std::vector<alternative> ways)
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
    next.alternatives = std::move(ways);
    decisions_.push_back(std::move(next));
}

void planner::form(const team_units& team, const vm_pick& pick, replica_id replaces,
                   const std::string& reason)
{
    decision next;
    next.kind = decision_kind::form_replica;
    next.team = team.name;
    next.replica = replaces;
    next.vms = pick.vms;
    next.model = team.team->parameters.model();
    next.reason = reason;
    costs_.queue_loads(next.model, pick.loads, repair_costs::team_value(team.team->parameters));
    decisions_.push_back(std::move(next));
    supply_.reserve(pick);
}

void planner::wait(const team_units& team, replica_id id, const std::string& reason,
                   std::vector<alternative> ways)
{
    decision next;
    next.kind = decision_kind::wait;
    next.team = team.name;
    next.replica = id;
    next.reason = reason;
    next.alternatives = std::move(ways);
    decisions_.push_back(std::move(next));
}

void planner::retire_surplus(team_units& team)
{
    if (team.units.size() <= team.wanted()) {
        return;
    }
    const auto usefulness = [](const unit& each) {
        if (each.health.broken) {
            return 0;
        }
        if (!each.outdated.empty()) {
            return 1;
        }
        return each.settled ? 3 : 2;
    };
    std::stable_sort(team.units.begin(), team.units.end(), [&](const unit& a, const unit& b) {
        return std::make_tuple(usefulness(a), b.subject->id) <
               std::make_tuple(usefulness(b), a.subject->id);
    });
    const bool newcomer_settles = std::any_of(team.units.begin(), team.units.end(),
                                              [&](auto& each) { return usefulness(each) == 2; });
    while (team.units.size() > team.wanted()) {
        const unit least = team.units.front();
        const bool may_serve = least.health.broken ? least.health.can_return : true;
        if (usefulness(least) <= 1 && may_serve && newcomer_settles && team.wanted() > 0) {
            wait(team, least.subject->id, "its replacement is not settled yet");
            return;
        }
        std::string reason = "the team has more replicas than it wants";
        if (team.team == nullptr) {
            reason = "the team was removed";
        }
        else if (!least.outdated.empty()) {
            reason = "it was replaced: " + least.outdated;
        }
        retire(least, reason);
        team.units.erase(team.units.begin());
    }
}

void planner::replace_outdated(team_units& team)
{
    if (team.team == nullptr || team.has_retiring || team.units.size() != team.wanted()) {
        return;
    }
    const unit* oldest = nullptr;
    for (const unit& each : team.units) {
        if (!each.settled || retired_.count(each.subject->id) > 0) {
            return; // One replica of a team at a time.
        }
        if (oldest == nullptr && !each.outdated.empty()) {
            oldest = &each;
        }
    }
    if (oldest == nullptr) {
        return;
    }
    const vm_need need = need_of(team);
    const auto spare = supply_.pick(need, {}, false);
    if (spare) {
        form(team, *spare, oldest->subject->id,
             "replaces replica " + std::to_string(oldest->subject->id) + ": " + oldest->outdated);
        return;
    }
    if (supply_.pick(need, {}, true)) {
        wait(team, oldest->subject->id, oldest->outdated + "; VMs are about to be free");
        return;
    }
    const bool fits_later = supply_.pick(need, fit_members(*oldest->subject), true).has_value();
    const bool drained =
        std::any_of(oldest->subject->members.begin(), oldest->subject->members.end(),
                    [&](const replica_vm& member) { return drained_.count(member.vm) > 0; });
    const bool only_slow = oldest->subject->model == need.model &&
                           oldest->subject->members.size() == need.count && !drained;
    if (drained || (fits_later && !only_slow)) {
        retire(*oldest, oldest->outdated + "; no spare VMs for a surplus replica");
        return;
    }
    wait(team, oldest->subject->id, oldest->outdated + "; no VMs to replace it with");
}

} // namespace chervildyke::internal
