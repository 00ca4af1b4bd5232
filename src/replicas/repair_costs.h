/** \file
 * Defines the costs that the repair plan weighs.
 */
#pragma once

#include "journal/fleet_state.h"
#include "replicas/repair_plan.h"

namespace chervildyke {

/** \return how much longer an outage is expected to last that has lasted for the span already: the
 * mean over those that lasted longer, or as long again when none did.
 */
duration expected_rest(duration elapsed, const std::vector<duration>& seen,
                       const std::vector<duration>& presumed);

/** The deployment's weights and the weight store's rate, as costs in weighted seconds. */
class repair_costs {
  public:
    repair_costs(const fleet_state& state, const fleet_knowledge& fleet,
                 const repair_options& options, time_point now);

    /** The value of one second of a team's serving, by its priority. */
    static double team_value(const schema::team_parameters& parameters);

    /** The cost of a span in which a replica does not serve and accelerators stand idle for it. */
    double of_downtime(double seconds, double value, double stranded_accelerators) const;

    /** Seconds until so many VMs have loaded a model for a team of this value, behind the queued
     * loads of teams that are worth as much or more.
     */
    double load_seconds(const std::string& model, std::size_t loads, double value) const;

    /** Adds loads that later ones have to queue behind. */
    void queue_loads(const std::string& model, std::size_t loads, double value);

    /** \return true when loads queued already keep those of a team of this value from starting
     * soon.
     */
    bool has_queue(double value) const;

    /** Seconds until a lost member can be expected back, by the outages seen and presumed that
     * lasted longer than this one has. Without hope it is the time until free VMs turn up.
     */
    double seconds_until_return(const replica& subject) const;

    /** The accelerators of the replica's members that are fit but can't work. */
    double stranded_accelerators(const replica& subject) const;

  private:
    double bytes_of(const std::string& model) const;
    double queued_bytes(double value) const;
    double return_of(const vm_knowledge* vm) const;

    const fleet_state& state_;
    const fleet_knowledge& fleet_;
    const repair_options& options_;
    time_point now_;
    double downtime_weight_;
    double stranded_weight_;
    double rate_;
    std::map<double, double> queued_bytes_; // By the value of the team that loads.
};

} // namespace chervildyke
