/** \file
 * Defines repair_costs, the costs that the repair plan compares.
 */
#pragma once

#include "journal/fleet_state.h"
#include "replicas/repair_plan.h"

namespace chervildyke {

/** Estimates the rest of an outage.
 * \param elapsed how long the outage has lasted.
 * \param observed earlier outages.
 * \param assumed outages that are counted like the observed ones.
 * \return the mean rest of those outages that lasted longer than elapsed, or elapsed again when
 * none did.
 */
duration expected_remaining_outage(duration elapsed, const std::vector<duration>& observed,
                                   const std::vector<duration>& assumed);

/** Computes costs in weighted seconds from the deployment's weights and the weight store's rate. */
class repair_costs {
  public:
    repair_costs(const fleet_state& state, const observed_fleet& fleet,
                 const repair_options& options, time_point now);

    /** \return the value of one second in which a replica of the team serves: one plus its
     * priority.
     */
    static double team_value(const schema::team_parameters& parameters);

    /** \param seconds how long the replica does not serve.
     * \param value the team_value() of its team.
     * \param stranded_accelerators how many accelerators are idle meanwhile.
     * \return the cost of the downtime in weighted seconds.
     */
    double downtime_cost(double seconds, double value, double stranded_accelerators) const;

    /** \return the seconds until the given number of VMs have loaded the model for a team of this
     * value, after the queued loads of teams that are worth as much or more.
     */
    double seconds_to_load(const std::string& model, std::size_t loads, double value) const;

    /** Adds loads to the queue; later loads of teams that are not worth more wait for them. */
    void add_queued_loads(const std::string& model, std::size_t loads, double value);

    /** \return true when the queued loads delay those of a team of this value by more than two
     * seconds.
     */
    bool has_load_queue(double value) const;

    /** \return the seconds until all lost members are expected to return, by the observed and
     * assumed outages that lasted longer than theirs. For members that won't return it is the time
     * until free VMs appear.
     */
    double seconds_until_return(const replica& subject) const;

    /** \return how many accelerators are idle in those members of the replica that are neither lost
     * nor leaving.
     */
    double stranded_accelerators(const replica& subject) const;

  private:
    double bytes_per_vm(const std::string& model) const;
    double queued_bytes(double value) const;
    double seconds_until_vm_return(const observed_vm* vm) const;

    const fleet_state& state_;
    const observed_fleet& fleet_;
    const repair_options& options_;
    time_point now_;
    double downtime_weight_;
    double stranded_weight_;
    double bytes_per_second_;
    std::map<double, double> queued_bytes_; // By the value of the loading team.
};

} // namespace chervildyke
