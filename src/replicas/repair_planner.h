/** \file
 * Defines planner, which makes one repair plan; for repair_plan.cpp and its parts only.
 */
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "replicas/repair_costs.h"
#include "replicas/repair_plan.h"
#include "replicas/replica_health.h"
#include "replicas/vm_supply.h"

namespace chervildyke::internal {

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
    const configured_team* team = nullptr; // Null when the team was removed.
    std::vector<unit> units;
    std::size_t live = 0; // In the journal, before this plan.
    bool has_retiring = false;

    std::size_t wanted() const { return team == nullptr ? 0 : team->parameters.replicas(); }
};

/** Makes one plan: looks at each team in turn, the more valuable first. The ways to repair and
 * their costs are in repair_ways.cpp, everything else in repair_planner.cpp.
 */
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
    std::string why_outdated(const replica& subject, const configured_team& team) const;
    vm_need need_of(const team_units& team) const;

    void mark_serving(const team_units& team);
    void release(const replica& retiring);
    void retire_surplus(team_units& team);
    void repair_broken(team_units& team);
    void fill_deficit(team_units& team);
    void replace_outdated(team_units& team);

    bool in_new_darkness(const replica& subject) const;
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

} // namespace chervildyke::internal
