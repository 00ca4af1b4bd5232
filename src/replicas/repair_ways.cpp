/** \file
 * Implements the planner's weighing of the ways to repair a replica or to fill a team.
 */
#include "replicas/repair_planner.h"

#include <algorithm>
#include <cmath>

namespace chervildyke::internal {

namespace {

double in_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

std::string in_words(double seconds)
{
    return std::to_string(std::lround(seconds)) + " s";
}

} // namespace

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
    // A whole replica is not taken apart on news that are still coming in.
    const bool may_preempt = memory_.lacking(team.name, now_) >= options_.preempt_patience;
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
            const bool lower = may_preempt && other.team->parameters.priority() < wanted.priority();
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

/** True while a domain of the replica went dark so lately that not all its losses have shown. */
bool planner::in_new_darkness(const replica& subject) const
{
    return std::any_of(subject.members.begin(), subject.members.end(),
                       [&](const replica_vm& member) {
                           const vm_knowledge* vm = fleet_.find(member.vm);
                           if (vm == nullptr || !vm->lost_since) {
                               return false;
                           }
                           const auto dark = fleet_.dark_domains.find(vm->fabric_domain);
                           return dark != fleet_.dark_domains.end() &&
                                  now_ - dark->second < options_.domain_settle_time;
                       });
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
        if (each.health.can_return && in_new_darkness(*each.subject)) {
            wait(team, each.subject->id, "its fabric domain went dark just now");
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

} // namespace chervildyke::internal
