/** \file
 * Implements those steps of repair_planner that repair broken replicas and form missing ones.
 */
#include "replicas/repair_planner.h"

#include <algorithm>
#include <cmath>

namespace chervildyke::internal {

namespace {

double to_seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

std::string to_text(double seconds)
{
    return std::to_string(std::lround(seconds)) + " s";
}

} // namespace

std::vector<std::string> repair_planner::fit_members(const replica& subject) const
{
    std::vector<std::string> fit;
    for (const replica_vm& member : subject.members) {
        if (!member.released && allocator_.is_fit(member.vm)) {
            fit.push_back(member.vm);
        }
    }
    return fit;
}

std::size_t repair_planner::select_candidate(const std::vector<repair_candidate>& candidates) const
{
    return std::min(options_.select(candidates), candidates.size() - 1);
}

std::vector<repair_candidate> repair_planner::repair_candidates_for(const assessed_team& team,
                                                                    const assessed_replica& broken)
{
    const double value = repair_costs::team_value(team.team->parameters);
    const double stranded = costs_.stranded_accelerators(*broken.subject);
    const auto selection =
        allocator_.select(requirements_of(team), fit_members(*broken.subject), true);
    const double wait_seconds = selection ? costs_.seconds_until_return(*broken.subject)
                                          : to_seconds(history_.deficit_duration(team.name, now_));
    std::vector<repair_candidate> candidates;
    repair_candidate first;
    first.cost = costs_.downtime_cost(wait_seconds, value, stranded);
    first.note = "the member is expected back in " + to_text(wait_seconds);
    candidates.push_back(std::move(first));
    if (selection) {
        const double load_seconds =
            costs_.seconds_to_load(team.team->parameters.model(), selection->loads, value);
        const double release_seconds =
            selection->held_vms > 0 ? to_seconds(options_.release_time) : 0.0;
        repair_candidate candidate;
        candidate.action = repair_action::rebuild;
        candidate.cost = costs_.downtime_cost(load_seconds + release_seconds, value, stranded);
        candidate.note = "in " + selection->fabric_domain + ", " +
                         std::to_string(selection->loads) + " loads take " + to_text(load_seconds);
        if (selection->loads > 0 && costs_.has_load_queue(value) && broken.health.recoverable &&
            candidate.cost < candidates[0].cost) {
            candidates[0].cost = candidate.cost;
            candidates[0].note = "loads of more valuable teams go first, so a rebuild that starts "
                                 "after them costs nothing";
        }
        candidates.push_back(std::move(candidate));
    }
    else {
        add_candidates_from_other_replicas(team, &broken, wait_seconds, stranded, candidates);
    }
    return candidates;
}

void repair_planner::add_candidates_from_other_replicas(const assessed_team& team,
                                                        const assessed_replica* broken,
                                                        double wait_seconds, double stranded,
                                                        std::vector<repair_candidate>& candidates)
{
    const schema::team_parameters& wanted = team.team->parameters;
    const double value = repair_costs::team_value(wanted);
    // No whole replica is retired while reports on the loss are still arriving.
    const bool may_preempt =
        history_.deficit_duration(team.name, now_) >= options_.preemption_delay;
    std::vector<std::string> own_vms;
    if (broken != nullptr) {
        own_vms = fit_members(*broken->subject);
    }
    std::optional<repair_candidate> cheapest_completion;
    std::optional<repair_candidate> cheapest_preemption;
    for (const auto& [name, other] : teams_) {
        for (const assessed_replica& source : other.replicas) {
            const bool is_broken_one =
                broken != nullptr && source.subject->id == broken->subject->id;
            if (is_broken_one || other.team == nullptr || retired_.count(source.subject->id) > 0) {
                continue;
            }
            const bool may_preempt_source =
                may_preempt && other.team->parameters.priority() < wanted.priority();
            const bool may_take_from_source =
                other.team->parameters.priority() <= wanted.priority();
            if (source.health.broken ? !may_take_from_source : !may_preempt_source) {
                continue;
            }
            std::vector<std::string> freed = own_vms;
            const auto source_vms = fit_members(*source.subject);
            freed.insert(freed.end(), source_vms.begin(), source_vms.end());
            const auto selection = allocator_.select(requirements_of(team), freed, true);
            if (!selection) {
                continue;
            }
            const double seconds = costs_.seconds_to_load(wanted.model(), selection->loads, value) +
                                   to_seconds(options_.release_time);
            const double source_value = repair_costs::team_value(other.team->parameters);
            // The source's team is down for as long as this team would have been, and then loads.
            // Loading strands the accelerators of all its members.
            const double source_load_seconds = costs_.seconds_to_load(
                source.subject->model, source.subject->members.size(), source_value);
            double source_accelerators = 0;
            double idle_accelerators = 0;
            for (const std::string& vm : source_vms) {
                const bool is_used = std::find(selection->vms.begin(), selection->vms.end(), vm) !=
                                     selection->vms.end();
                source_accelerators += fleet_.find(vm)->accelerators;
                idle_accelerators += is_used ? 0 : fleet_.find(vm)->accelerators;
            }
            repair_candidate candidate;
            candidate.action =
                source.health.broken ? repair_action::complete : repair_action::preempt;
            candidate.cost =
                costs_.downtime_cost(seconds, value, stranded) +
                costs_.downtime_cost(wait_seconds, source_value, idle_accelerators) +
                costs_.downtime_cost(source_load_seconds, source_value, source_accelerators);
            candidate.sources = {source.subject->id};
            candidate.note = "retires replica " + std::to_string(source.subject->id) + " of team " +
                             other.name + " for its VMs";
            auto& best = source.health.broken ? cheapest_completion : cheapest_preemption;
            if (!best || candidate.cost < best->cost) {
                best = std::move(candidate);
            }
        }
    }
    for (auto& best : {cheapest_completion, cheapest_preemption}) {
        if (best) {
            candidates.push_back(*best);
        }
    }
}

void repair_planner::retire_sources(const repair_candidate& candidate, const std::string& for_team)
{
    for (auto& [name, team] : teams_) {
        for (const assessed_replica& each : team.replicas) {
            const auto& sources = candidate.sources;
            if (std::find(sources.begin(), sources.end(), each.subject->id) != sources.end()) {
                retire(each, std::string("its VMs are needed to ") + to_string(candidate.action) +
                                 " a replica of " + for_team);
            }
        }
    }
}

bool repair_planner::has_recent_domain_outage(const replica& subject) const
{
    return std::any_of(subject.members.begin(), subject.members.end(),
                       [&](const replica_vm& member) {
                           const observed_vm* vm = fleet_.find(member.vm);
                           if (vm == nullptr || !vm->lost_since) {
                               return false;
                           }
                           const auto outage = fleet_.unreachable_domains.find(vm->fabric_domain);
                           return outage != fleet_.unreachable_domains.end() &&
                                  now_ - outage->second < options_.domain_outage_settle_time;
                       });
}

void repair_planner::repair_broken(assessed_team& team)
{
    std::vector<assessed_replica> kept;
    const std::size_t live_replicas = team.replicas.size();
    bool has_replacement = live_replicas > team.wanted();
    for (const assessed_replica& each : team.replicas) {
        if (retired_.count(each.subject->id) > 0) {
            continue;
        }
        if (!each.health.broken) {
            kept.push_back(each);
            continue;
        }
        if (has_replacement && each.health.recoverable) {
            wait(team, each.subject->id, "a replacement is forming beside it");
            kept.push_back(each);
            continue;
        }
        if (each.health.recoverable && has_recent_domain_outage(*each.subject)) {
            wait(team, each.subject->id, "its fabric domain became unreachable just now");
            kept.push_back(each);
            continue;
        }
        const std::vector<repair_candidate> candidates = repair_candidates_for(team, each);
        const repair_candidate& chosen = candidates[select_candidate(candidates)];
        if (chosen.action == repair_action::wait && each.health.recoverable) {
            wait(team, each.subject->id, "the lost member is expected to return", candidates);
            kept.push_back(each);
            continue;
        }
        const auto replacement =
            allocator_.select(requirements_of(team), fit_members(*each.subject), true);
        if (chosen.action == repair_action::rebuild && replacement && replacement->held_vms == 0 &&
            each.health.recoverable && live_replicas == team.wanted()) {
            // The new replica needs no member of the broken one, which may still recover first.
            form(team, *replacement, each.subject->id, "a member is missing; rebuild beside it");
            decisions_.back().candidates = candidates;
            has_replacement = true;
            kept.push_back(each);
            continue;
        }
        retire(each,
               chosen.action == repair_action::wait
                   ? std::string("a member is gone for good")
                   : std::string("a member is missing; ") + to_string(chosen.action),
               candidates);
        retire_sources(chosen, team.name);
        const auto selection =
            allocator_.select(requirements_of(team), fit_members(*each.subject), true);
        if (selection) {
            costs_.add_queued_loads(team.team->parameters.model(), selection->loads,
                                    repair_costs::team_value(team.team->parameters));
            allocator_.reserve(*selection); // Formed once the retirement is in the journal.
        }
    }
    team.replicas = std::move(kept);
}

void repair_planner::fill_deficit(assessed_team& team)
{
    for (std::size_t present = team.live_replicas; present < team.wanted(); ++present) {
        const vm_requirements requirements = requirements_of(team);
        const auto free = allocator_.select(requirements, {}, false);
        const auto with_releasing = allocator_.select(requirements, {}, true);
        // VMs that are about to be free are worth waiting for when they save loads.
        const bool should_wait = with_releasing && free && with_releasing->loads < free->loads;
        if (free && !should_wait) {
            form(team, *free, 0,
                 "the team has " + std::to_string(present) + " of " +
                     std::to_string(team.wanted()) + " replicas");
            continue;
        }
        if (with_releasing) {
            wait(team, 0, "VMs of retiring replicas are about to be free");
            costs_.add_queued_loads(requirements.model, with_releasing->loads,
                                    repair_costs::team_value(team.team->parameters));
            allocator_.reserve(*with_releasing);
            continue;
        }
        const double wait_seconds = to_seconds(history_.deficit_duration(team.name, now_));
        const double value = repair_costs::team_value(team.team->parameters);
        std::vector<repair_candidate> candidates(1);
        candidates[0].cost = costs_.downtime_cost(wait_seconds, value, 0);
        candidates[0].note = "until free VMs appear";
        add_candidates_from_other_replicas(team, nullptr, wait_seconds, 0, candidates);
        const repair_candidate& chosen = candidates[select_candidate(candidates)];
        wait(team, 0,
             "no fabric domain has " + std::to_string(requirements.vm_count) + " free VMs; " +
                 std::to_string(allocator_.free_vms(requirements.pool)) + " are free in pool " +
                 requirements.pool,
             candidates);
        retire_sources(chosen, team.name);
        return;
    }
}

} // namespace chervildyke::internal
