/** \file
 * Defines repair_planner, which makes one repair plan. Internal to plan_repairs().
 */
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "replicas/repair_costs.h"
#include "replicas/repair_plan.h"
#include "replicas/replica_health.h"
#include "replicas/vm_allocator.h"

namespace chervildyke::internal {

/** A live replica and its assessment. */
struct assessed_replica {
    const replica* subject = nullptr;
    replica_health health;

    /** Serving and complete for long enough that entries route calls to it. */
    bool is_routable = false;

    /** Why it has to be replaced although it works; empty when it need not be. */
    std::string outdated_reason;
};

/** A team and its live replicas. */
struct assessed_team {
    std::string name;
    const configured_team* team = nullptr; // Null when the team was removed.
    std::vector<assessed_replica> replicas;
    std::size_t live_replicas = 0; // Forming and serving in the journal, before this plan.
    bool has_retiring = false;

    /** \return how many replicas the team is configured to have. */
    std::size_t wanted() const { return team == nullptr ? 0 : team->parameters.replicas(); }
};

/** Makes one plan, team by team, the more valuable teams first. repair_candidates.cpp implements
 * the repair of broken replicas and the formation of missing ones, repair_planner.cpp everything
 * else.
 */
class repair_planner {
  public:
    repair_planner(const fleet_state& state, const observed_fleet& fleet,
                   const repair_history& history, const repair_options& options, time_point now)
        : state_(state), fleet_(fleet), history_(history), options_(options), now_(now),
          allocator_(state, fleet, options.bounds, now), costs_(state, fleet, options, now),
          drained_(state.configuration()->drained_vms().begin(),
                   state.configuration()->drained_vms().end())
    {
    }

    /** Makes the plan. May be called once. */
    std::vector<decision> plan();

  private:
    void assess_teams();

    /** \return the teams, the most valuable first, among equals those down for longest. */
    std::vector<assessed_team*> teams_by_value();

    /** \return why the replica has to be replaced although it works, or an empty text. */
    std::string find_outdated_reason(const replica& subject, const configured_team& team) const;
    vm_requirements requirements_of(const assessed_team& team) const;

    /** Marks forming replicas whose members are all ready as serving. */
    void mark_serving(const assessed_team& team);

    /** Releases the VMs of a retiring replica that have left it or are gone. */
    void release(const replica& retiring);

    /** Retires the least useful replicas of a team that has more than it wants. */
    void retire_surplus(assessed_team& team);

    /** Decides for each broken replica to wait, to replace it, or to retire it. */
    void repair_broken(assessed_team& team);

    /** Forms the replicas that the team lacks in the journal, if there are VMs. */
    void fill_deficit(assessed_team& team);

    /** Starts to replace one outdated replica of a team that is otherwise healthy. */
    void replace_outdated(assessed_team& team);

    /** \return true while a fabric domain of the replica has been unreachable for so short a time
     * that not all its losses are detected.
     */
    bool has_recent_domain_outage(const replica& subject) const;

    /** \return the possible repairs of a broken replica; the first is to wait for its lost members.
     */
    std::vector<repair_candidate> repair_candidates_for(const assessed_team& team,
                                                        const assessed_replica& broken);

    /** Adds the cheapest repair with the VMs of a broken replica and the cheapest preemption.
     * \param broken the replica to repair, or null when the team lacks one.
     * \param wait_seconds how long the team is expected to wait otherwise.
     * \param stranded idle accelerators of the broken replica.
     */
    void add_candidates_from_other_replicas(const assessed_team& team,
                                            const assessed_replica* broken, double wait_seconds,
                                            double stranded,
                                            std::vector<repair_candidate>& candidates);

    /** \return the members that are fit for a new replica. */
    std::vector<std::string> fit_members(const replica& subject) const;
    void form(const assessed_team& team, const vm_selection& selection, replica_id replaces,
              const std::string& reason);
    void retire(const assessed_replica& target, const std::string& reason,
                std::vector<repair_candidate> candidates = {});

    /** Retires the replicas whose VMs a repair uses. */
    void retire_sources(const repair_candidate& candidate, const std::string& for_team);
    void wait(const assessed_team& team, replica_id id, const std::string& reason,
              std::vector<repair_candidate> candidates = {});
    std::size_t select_candidate(const std::vector<repair_candidate>& candidates) const;

    const fleet_state& state_;
    const observed_fleet& fleet_;
    const repair_history& history_;
    const repair_options& options_;
    time_point now_;
    vm_allocator allocator_;
    repair_costs costs_;
    std::set<std::string> drained_;
    std::map<std::string, assessed_team> teams_;
    std::set<replica_id> retired_; // In this plan.
    std::vector<decision> decisions_;
};

} // namespace chervildyke::internal
