/** \file
 * Defines decide_split, which divides the VMs of a service among its models by the cost of the
 * calls that would be refused.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "assembly/demand_history.h"
#include "base/clock.h"

namespace chervildyke {

using replica_counts = std::map<std::string, std::uint32_t>; // By model.

/** A model among which VMs are divided. */
struct split_model {
    std::string name;
    std::uint32_t replica_size = 1; // VMs
    recent_demand demand;

    bool operator==(const split_model&) const = default;
};

struct model_split_settings {
    /** Fraction of a replica's time at a full batch that calls can use and still meet their
     * targets.
     */
    double usable_share = 0.9;

    /** By this fraction a replica's expected capacity falls for each of its VMs, since the loss of
     * any one of them stops the replica until it is repaired.
     */
    double loss_allowance = 0.05;

    /** Demand is expected to swing by at least this fraction around its mean. */
    double usual_swing = 0.2;

    /** The cost of refusing a call is multiplied by this for each step of its priority. */
    double cost_per_priority = 0.5;

    /** Another split is adopted when it lowers the cost of refusals by this fraction of the cost of
     * refusing all calls: less is within the error of the measured demand.
     */
    double min_gain = 0.02;

    /** The gain must have lasted for so long. */
    duration gain_hold = 3s;

    /** A model must have had more replicas than its target for so long before one is converted to
     * another model. Repairs and short changes of the VMs in use take less.
     */
    duration conversion_hold = 5s;

    /** Fraction of the concurrent loads that conversions may use, together with all other loads.
     * The rest is for repairs.
     */
    double conversion_load_share = 0.75;
};

/** What a decision passes on to the next one. A node that has become the leader starts without. */
struct split_state {
    replica_counts adopted;                 // Replicas in the adopted split.
    std::optional<time_point> gain_since;   // Since when another split would have been better.
    std::optional<time_point> excess_since; // Since when a model has had too many replicas.

    bool operator==(const split_state&) const = default;
};

/** How many replicas each model should have. */
struct split_decision {
    replica_counts targets;
    split_state state;
    bool changed = false;   // Another split was adopted now.
    double cost = 0;        // Expected cost of refusals with the targets.
    double lowest_cost = 0; // The same with the best split.
    double cost_of_all = 0; // Of refusing all calls.

    bool operator==(const split_decision&) const = default;
};

/** \return the expected cost of the calls that the replicas of a model can't serve, in calls of the
 * highest priority per second. The least urgent calls are refused first.
 * \param replicas how many the model has.
 */
double refusal_cost(const split_model& model, std::uint32_t replicas,
                    const model_split_settings& settings);

/** \return the split of the VMs with the lowest cost, where each model with demand has at least two
 * replicas and each other model one, if the VMs suffice.
 * \param vms how many VMs replicas may use.
 * \param start the split to begin with, of which as little as possible is changed to fit the VMs.
 * If it is empty, the best split is searched.
 */
replica_counts split_vms(const std::vector<split_model>& models, std::uint32_t vms,
                         const replica_counts& start, const model_split_settings& settings);

/** Decides whether to keep the adopted split, as far as the VMs in use suffice for it, or to adopt
 * a better one.
 * \param existing forming and serving replicas, which count as the adopted split if there is none.
 */
split_decision decide_split(const std::vector<split_model>& models, std::uint32_t vms,
                            const replica_counts& existing, const split_state& state,
                            time_point now, const model_split_settings& settings);

} // namespace chervildyke
