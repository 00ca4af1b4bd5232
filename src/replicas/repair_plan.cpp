/** \file
 * Implements the repair plan.
 */
#include "replicas/repair_plan.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

#include "replicas/repair_costs.h"
#include "replicas/replica_health.h"
#include "replicas/vm_supply.h"

namespace chervildyke {

namespace {

/** One replica with what the plan has to know of it. */
struct unit {
    const replica* subject = nullptr;
    replica_health health;
    bool settled = false; // Serving and complete for so long that entries route to it.
    std::string outdated; // Why it has to be replaced although it works; empty when it needs not.
};

/** One team's live replicas. */
struct team_units {
    std::string name;
    const team_state* team = nullptr; // Null when the team was removed.
    std::vector<unit> units;
    std::size_t live = 0; // In the journal, before this plan.
    bool has_retiring = false;

    std::size_t wanted() const { return team == nullptr ? 0 : team->parameters.replicas(); }
};

class planner {
  public:
    planner(const fleet_state& state, const fleet_knowledge& fleet, const repair_memory& memory,
            const repair_options& options, time_point now)
        : state_(state), fleet_(fleet), memory_(memory), options_(options), now_(now),
          supply_(state, fleet, options.bounds, now), costs_(state, fleet, options, now),
          drained_(state.configuration()->drained_vms().begin(),
                   state.configuration()->drained_vms().end())
    {
    }

    std::vector<decision> plan();

  private:
    void gather();
    std::vector<team_units*> by_value();
    std::string why_outdated(const replica& subject, const team_state& team) const;
    vm_need need_of(const team_units& team) const;

    void mark_serving(const team_units& team);
    void release(const replica& retiring);
    void retire_surplus(team_units& team);
    void repair_broken(team_units& team);
    void fill_deficit(team_units& team);
    void replace_outdated(team_units& team);

    std::vector<alternative> ways_to_repair(const team_units& team, const unit& broken);
    void add_ways_from_others(const team_units& team, const unit* broken, double waiting,
                              double stranded, std::vector<alternative>& ways);
    std::vector<std::string> fit_members(const replica& subject) const;
    void form(const team_units& team, const vm_pick& pick, replica_id replaces,
              const std::string& reason);
    void retire(const unit& target, const std::string& reason, std::vector<alternative> ways = {});
    void retire_sources(const alternative& way, const std::string& for_team);
    void wait(const team_units& team, replica_id id, const std::string& reason,
              std::vector<alternative> ways = {});
    std::size_t choose(const std::vector<alternative>& ways) const;

    const fleet_state& state_;
    const fleet_knowledge& fleet_;
    const repair_memory& memory_;
    const repair_options& options_;
    time_point now_;
    vm_supply supply_;
    repair_costs costs_;
    std::set<std::string> drained_;
    std::map<std::string, team_units> teams_;
    std::set<replica_id> retired_; // In this plan.
    std::vector<decision> decisions_;
};

double in_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

std::string in_words(double seconds)
{
    return std::to_string(std::lround(seconds)) + " s";
}

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

std::string planner::why_outdated(const replica& subject, const team_state& team) const
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

std::vector<std::string> planner::fit_members(const replica& subject) const
{
    std::vector<std::string> fit;
    for (const replica_vm& member : subject.members) {
        if (!member.released && supply_.is_fit(member.vm)) {
            fit.push_back(member.vm);
        }
    }
    return fit;
}

std::size_t planner::choose(const std::vector<alternative>& ways) const
{
    return std::min(options_.choose(ways), ways.size() - 1);
}

std::vector<alternative> planner::ways_to_repair(const team_units& team, const unit& broken)
{
    const double value = repair_costs::team_value(team.team->parameters);
    const double stranded = costs_.stranded_accelerators(*broken.subject);
    const auto picked = supply_.pick(need_of(team), fit_members(*broken.subject), true);
    const double waiting = picked ? costs_.seconds_until_return(*broken.subject)
                                  : in_seconds(memory_.lacking(team.name, now_));
    std::vector<alternative> ways;
    alternative first;
    first.cost = costs_.of_downtime(waiting, value, stranded);
    first.note = "the member is expected back in " + in_words(waiting);
    ways.push_back(std::move(first));
    if (picked) {
        const double loading =
            costs_.load_seconds(team.team->parameters.model(), picked->loads, value);
        const double freeing = picked->not_free > 0 ? in_seconds(options_.release_time) : 0.0;
        alternative way;
        way.action = repair_action::rebuild;
        way.cost = costs_.of_downtime(loading + freeing, value, stranded);
        way.note = "in " + picked->fabric_domain + ", " + std::to_string(picked->loads) +
                   " loads take " + in_words(loading);
        if (picked->loads > 0 && costs_.has_queue(value) && broken.health.can_return &&
            way.cost < ways[0].cost) {
            ways[0].cost = way.cost;
            ways[0].note = "loads of more valuable teams go first, so a rebuild loses nothing by "
                           "starting after them";
        }
        ways.push_back(std::move(way));
    }
    else {
        add_ways_from_others(team, &broken, waiting, stranded, ways);
    }
    return ways;
}

void planner::add_ways_from_others(const team_units& team, const unit* broken, double waiting,
                                   double stranded, std::vector<alternative>& ways)
{
    const schema::team_parameters& wanted = team.team->parameters;
    const double value = repair_costs::team_value(wanted);
    std::vector<std::string> own;
    if (broken != nullptr) {
        own = fit_members(*broken->subject);
    }
    std::optional<alternative> best_complete;
    std::optional<alternative> best_preempt;
    for (const auto& [name, other] : teams_) {
        for (const unit& source : other.units) {
            const bool same = broken != nullptr && source.subject->id == broken->subject->id;
            if (same || other.team == nullptr || retired_.count(source.subject->id) > 0) {
                continue;
            }
            const bool lower = other.team->parameters.priority() < wanted.priority();
            const bool no_more_valuable = other.team->parameters.priority() <= wanted.priority();
            if (source.health.broken ? !no_more_valuable : !lower) {
                continue;
            }
            std::vector<std::string> freed = own;
            const auto others = fit_members(*source.subject);
            freed.insert(freed.end(), others.begin(), others.end());
            const auto picked = supply_.pick(need_of(team), freed, true);
            if (!picked) {
                continue;
            }
            const double seconds = costs_.load_seconds(wanted.model(), picked->loads, value) +
                                   in_seconds(options_.release_time);
            const double source_value = repair_costs::team_value(other.team->parameters);
            // The source stays down as long as this team would have, and then loads.
            const double source_down =
                waiting + costs_.load_seconds(source.subject->model, source.subject->members.size(),
                                              source_value);
            double left_idle = 0;
            for (const std::string& vm : others) {
                const bool used =
                    std::find(picked->vms.begin(), picked->vms.end(), vm) != picked->vms.end();
                left_idle += used ? 0 : fleet_.find(vm)->accelerators;
            }
            alternative way;
            way.action = source.health.broken ? repair_action::complete : repair_action::preempt;
            way.cost = costs_.of_downtime(seconds, value, stranded) +
                       costs_.of_downtime(source_down, source_value, left_idle);
            way.sources = {source.subject->id};
            way.note =
                "takes apart replica " + std::to_string(source.subject->id) + " of " + other.name;
            auto& best = source.health.broken ? best_complete : best_preempt;
            if (!best || way.cost < best->cost) {
                best = std::move(way);
            }
        }
    }
    for (auto& best : {best_complete, best_preempt}) {
        if (best) {
            ways.push_back(*best);
        }
    }
}

void planner::retire_sources(const alternative& way, const std::string& for_team)
{
    for (auto& [name, team] : teams_) {
        for (const unit& each : team.units) {
            const auto& sources = way.sources;
            if (std::find(sources.begin(), sources.end(), each.subject->id) != sources.end()) {
                retire(each, std::string("its VMs are needed to ") + to_string(way.action) +
                                 " a replica of " + for_team);
            }
        }
    }
}

void planner::repair_broken(team_units& team)
{
    std::vector<unit> kept;
    const std::size_t live = team.units.size();
    bool has_newcomer = live > team.wanted();
    for (const unit& each : team.units) {
        if (retired_.count(each.subject->id) > 0) {
            continue;
        }
        if (!each.health.broken) {
            kept.push_back(each);
            continue;
        }
        if (has_newcomer && each.health.can_return) {
            wait(team, each.subject->id, "a replacement is forming beside it");
            kept.push_back(each);
            continue;
        }
        const std::vector<alternative> ways = ways_to_repair(team, each);
        const alternative& chosen = ways[choose(ways)];
        if (chosen.action == repair_action::wait && each.health.can_return) {
            wait(team, each.subject->id, "the lost member is waited for", ways);
            kept.push_back(each);
            continue;
        }
        const auto beside = supply_.pick(need_of(team), fit_members(*each.subject), true);
        if (chosen.action == repair_action::rebuild && beside && beside->not_free == 0 &&
            each.health.can_return && live == team.wanted()) {
            // Nothing of the broken replica is needed, so it keeps its chance to come back first.
            form(team, *beside, each.subject->id, "a member is missing; rebuild beside it");
            decisions_.back().alternatives = ways;
            has_newcomer = true;
            kept.push_back(each);
            continue;
        }
        retire(each,
               chosen.action == repair_action::wait
                   ? std::string("a member is gone for good")
                   : std::string("a member is missing; ") + to_string(chosen.action),
               ways);
        retire_sources(chosen, team.name);
        const auto picked = supply_.pick(need_of(team), fit_members(*each.subject), true);
        if (picked) {
            costs_.queue_loads(team.team->parameters.model(), picked->loads,
                               repair_costs::team_value(team.team->parameters));
            supply_.reserve(*picked); // Formed once the retirement stands.
        }
    }
    team.units = std::move(kept);
}

void planner::fill_deficit(team_units& team)
{
    for (std::size_t present = team.live; present < team.wanted(); ++present) {
        const vm_need need = need_of(team);
        const auto free = supply_.pick(need, {}, false);
        const auto soon = supply_.pick(need, {}, true);
        // VMs that are about to be free are worth waiting for when they save loads.
        const bool better_soon = soon && free && soon->loads < free->loads;
        if (free && !better_soon) {
            form(team, *free, 0,
                 "the team has " + std::to_string(present) + " of " +
                     std::to_string(team.wanted()) + " replicas");
            continue;
        }
        if (soon) {
            wait(team, 0, "VMs of retiring replicas are about to be free");
            costs_.queue_loads(need.model, soon->loads,
                               repair_costs::team_value(team.team->parameters));
            supply_.reserve(*soon);
            continue;
        }
        const double waiting = in_seconds(memory_.lacking(team.name, now_));
        const double value = repair_costs::team_value(team.team->parameters);
        std::vector<alternative> ways(1);
        ways[0].cost = costs_.of_downtime(waiting, value, 0);
        ways[0].note = "until free VMs turn up";
        add_ways_from_others(team, nullptr, waiting, 0, ways);
        const alternative& chosen = ways[choose(ways)];
        wait(team, 0,
             "no fabric domain has " + std::to_string(need.count) + " free VMs; " +
                 std::to_string(supply_.free_count(need.pool)) + " are free in pool " + need.pool,
             ways);
        retire_sources(chosen, team.name);
        return;
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

} // namespace

const char* to_string(repair_action action)
{
    switch (action) {
    case repair_action::wait:
        return "wait";
    case repair_action::rebuild:
        return "rebuild";
    case repair_action::complete:
        return "complete";
    case repair_action::preempt:
        return "preempt";
    }
    return "unknown";
}

std::size_t least_cost(const std::vector<alternative>& ways)
{
    const auto least =
        std::min_element(ways.begin(), ways.end(), [](const alternative& a, const alternative& b) {
            return a.cost < b.cost;
        });
    return static_cast<std::size_t>(least - ways.begin());
}

void repair_memory::update(const fleet_state& state, const fleet_knowledge& fleet,
                           const watch_bounds& bounds, time_point now)
{
    std::map<replica_id, std::pair<schema::replica_phase, time_point>> phases;
    std::map<std::string, std::uint32_t> complete;
    for (const auto& [id, subject] : state.replicas()) {
        const auto known = phase_since.find(id);
        const bool same = known != phase_since.end() && known->second.first == subject.phase;
        phases[id] = {subject.phase, same ? known->second.second : now};
        if (subject.phase == schema::serving &&
            judge_replica(subject, fleet, bounds, now).complete) {
            ++complete[subject.team];
        }
    }
    std::map<std::string, time_point> down;
    std::map<std::string, time_point> lacking;
    const auto since = [&](const std::map<std::string, time_point>& known, const auto& name) {
        const auto found = known.find(name);
        return found == known.end() ? now : found->second;
    };
    for (const auto& [name, team] : state.teams()) {
        if (complete[name] < team.parameters.replicas()) {
            lacking[name] = since(lacking_since, name);
            if (complete[name] == 0) {
                down[name] = since(down_since, name);
            }
        }
    }
    phase_since = std::move(phases);
    down_since = std::move(down);
    lacking_since = std::move(lacking);
}

duration repair_memory::lacking(const std::string& team, time_point now) const
{
    const auto found = lacking_since.find(team);
    return found == lacking_since.end() ? duration::zero() : now - found->second;
}

duration repair_memory::in_phase(replica_id id, time_point now) const
{
    const auto found = phase_since.find(id);
    return found == phase_since.end() ? duration::zero() : now - found->second.second;
}

std::vector<decision> plan_repairs(const fleet_state& state, const fleet_knowledge& fleet,
                                   const repair_memory& memory, const repair_options& options,
                                   time_point now)
{
    return planner(state, fleet, memory, options, now).plan();
}

} // namespace chervildyke
