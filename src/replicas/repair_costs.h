/** \file
 * Defines the costs that the repair plan weighs.
 */
#pragma once

#include "journal/fleet_state.h"
#include "replicas/repair_plan.h"

namespace chervildyke {

/** The deployment's weights and the weight store's rate, as costs in weighted seconds. */
class repair_costs {
  public:
    repair_costs(const fleet_state& state, const fleet_knowledge& fleet,
                 const repair_options& options, time_point now);

    /** The value of one second of a team's serving, by its priority. */
    static double team_value(const schema::team_parameters& parameters);

    /** The cost of a span in which a replica does not serve and accelerators stand idle for it. */
    double of_downtime(double seconds, double value, double stranded_accelerators) const;

    /** Seconds until so many VMs have loaded a model, behind the loads queued already. */
    double load_seconds(const std::string& model, std::size_t loads) const;

    /** Adds loads that later ones have to queue behind. */
    void queue_loads(const std::string& model, std::size_t loads);

    /** Seconds until a lost member can be expected back: the longer it is gone, the longer it is
     * expected to stay away. Without hope it is the time until free VMs turn up.
     */
    double seconds_until_return(const replica& subject) const;

    /** The accelerators of the replica's members that are fit but can't work. */
    double stranded_accelerators(const replica& subject) const;

  private:
    double bytes_of(const std::string& model) const;
    double return_of(const vm_knowledge* vm) const;

    const fleet_state& state_;
    const fleet_knowledge& fleet_;
    const repair_options& options_;
    time_point now_;
    double downtime_weight_;
    double stranded_weight_;
    double rate_;
    double queued_bytes_ = 0;
};

} // namespace chervildyke
