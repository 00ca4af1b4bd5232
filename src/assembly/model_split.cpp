/** \file
 * Implements decide_split.
 */
#include "assembly/model_split.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chervildyke {

namespace {

constexpr double ms_per_s = 1000;
constexpr std::uint32_t min_replicas_in_demand = 2; // One may be lost while the other serves.
constexpr double min_work_in_demand = 1; // In ms per second. Measured demand never falls to zero.

constexpr double least_gain = 1e-6; // In calls per second. Less may be an error of rounding.

double mean_work(const split_model& model)
{
    double work = 0;
    for (const auto& [priority, rate] : model.demand.mean) {
        work += rate.work_ms_per_s;
    }
    return work;
}

double cost_of_call(std::uint32_t priority, const model_split_settings& settings)
{
    return std::pow(settings.cost_per_priority, priority);
}

std::uint32_t min_replicas(const split_model& model)
{
    return mean_work(model) >= min_work_in_demand ? min_replicas_in_demand : 1;
}

/** Searches a split for a number of VMs. */
class splitter {
  public:
    splitter(const std::vector<split_model>& models, std::uint32_t vms,
             const model_split_settings& settings)
        : models_(models), vms_(vms), settings_(settings)
    {
    }

    /** Removes replicas until the VMs suffice, and adds replicas while VMs are left. */
    void fit(replica_counts& counts) const
    {
        for (const split_model& model : models_) {
            counts[model.name] = std::max(counts[model.name], min_replicas(model));
        }
        while (used(counts) > vms_) {
            const split_model* least = least_needed(counts, used(counts) - vms_);
            if (least == nullptr) {
                return;
            }
            --counts[least->name];
        }
        while (const split_model* most = most_needed(counts)) {
            ++counts[most->name];
        }
    }

    /** Replaces single replicas by those of other models while that lowers the cost. */
    void improve(replica_counts& counts) const
    {
        double lowest = cost(counts);
        for (bool improved = true; improved;) {
            improved = false;
            for (const split_model& model : models_) {
                if (counts[model.name] <= min_replicas(model)) {
                    continue;
                }
                replica_counts other = counts;
                --other[model.name];
                const split_model* added = most_needed(other, &model);
                for (; added != nullptr; added = most_needed(other, &model)) {
                    ++other[added->name];
                }
                const double other_cost = cost(other);
                if (other_cost < lowest - least_gain) {
                    lowest = other_cost;
                    counts = std::move(other);
                    improved = true;
                }
            }
        }
    }

    double cost(const replica_counts& counts) const
    {
        double sum = 0;
        for (const split_model& model : models_) {
            sum += refusal_cost(model, counts.at(model.name), settings_);
        }
        return sum;
    }

  private:
    std::uint32_t used(const replica_counts& counts) const
    {
        std::uint32_t vms = 0;
        for (const split_model& model : models_) {
            vms += counts.at(model.name) * model.replica_size;
        }
        return vms;
    }

    /** \return the model whose loss of a replica costs least for each VM of the excess, or null if
     * each has one replica.
     */
    const split_model* least_needed(const replica_counts& counts, std::uint32_t excess) const
    {
        const split_model* least = nullptr;
        std::pair<bool, double> lowest;
        for (const split_model& model : models_) {
            const std::uint32_t count = counts.at(model.name);
            if (count <= 1) {
                continue;
            }
            const double loss =
                refusal_cost(model, count - 1, settings_) - refusal_cost(model, count, settings_);
            const std::pair<bool, double> found{count <= min_replicas(model),
                                                loss / std::min(model.replica_size, excess)};
            if (least == nullptr || found < lowest) {
                least = &model;
                lowest = found;
            }
        }
        return least;
    }

    /** \return the model for which another replica saves most for each VM, or null if no VMs are
     * left for any.
     */
    const split_model* most_needed(const replica_counts& counts,
                                   const split_model* except = nullptr) const
    {
        const std::uint32_t taken = used(counts);
        const std::uint32_t left = vms_ - std::min(taken, vms_);
        const split_model* most = nullptr;
        double highest = 0;
        for (const split_model& model : models_) {
            if (&model == except || model.replica_size > left) {
                continue;
            }
            const std::uint32_t count = counts.at(model.name);
            const double gain = (refusal_cost(model, count, settings_) -
                                 refusal_cost(model, count + 1, settings_)) /
                                model.replica_size;
            if (most == nullptr || gain > highest) {
                most = &model;
                highest = gain;
            }
        }
        return most;
    }

    const std::vector<split_model>& models_;
    std::uint32_t vms_;
    const model_split_settings& settings_;
};

} // namespace

double refusal_cost(const split_model& model, std::uint32_t replicas,
                    const model_split_settings& settings)
{
    const double capacity = replicas * ms_per_s * settings.usable_share /
                            (1 + settings.loss_allowance * model.replica_size);
    double cost = 0;
    double work = 0;        // Of the calls at least as urgent.
    double cost_per_ms = 0; // Of the least urgent calls.
    for (const auto& [priority, rate] : model.demand.mean) {
        if (rate.work_ms_per_s <= 0) {
            continue;
        }
        cost_per_ms = cost_of_call(priority, settings) * rate.calls_per_s / rate.work_ms_per_s;
        const double served = std::clamp(capacity - work, 0.0, rate.work_ms_per_s);
        cost += cost_per_ms * (rate.work_ms_per_s - served);
        work += rate.work_ms_per_s;
    }
    if (work <= 0) {
        return 0;
    }
    // Demand above the mean becomes exponentially less likely, on a scale of half the swing.
    const double swing = std::max(settings.usual_swing * work, model.demand.peak_ms_per_s - work);
    const double scale = swing / 2;
    const double beyond = std::max(capacity - work, 0.0);
    return cost + cost_per_ms * scale * std::exp(-beyond / scale);
}

replica_counts split_vms(const std::vector<split_model>& models, std::uint32_t vms,
                         const replica_counts& start, const model_split_settings& settings)
{
    const splitter search(models, vms, settings);
    replica_counts counts = start;
    search.fit(counts);
    if (start.empty()) {
        search.improve(counts);
    }
    return counts;
}

split_decision decide_split(const std::vector<split_model>& models, std::uint32_t vms,
                            const replica_counts& existing, const split_state& state,
                            time_point now, const model_split_settings& settings)
{
    const splitter search(models, vms, settings);
    split_decision decision;
    decision.state = state;
    if (state.adopted.empty()) {
        for (const split_model& model : models) {
            const auto found = existing.find(model.name);
            decision.state.adopted[model.name] = found == existing.end() ? 0 : found->second;
        }
    }
    decision.targets = split_vms(models, vms, decision.state.adopted, settings);
    decision.cost = search.cost(decision.targets);
    replica_counts best = split_vms(models, vms, {}, settings);
    decision.lowest_cost = search.cost(best);
    for (const split_model& model : models) {
        decision.cost_of_all += refusal_cost(model, 0, settings);
    }
    const double gain = decision.cost - decision.lowest_cost;
    if (gain <= settings.min_gain * decision.cost_of_all) {
        decision.state.gain_since.reset();
        return decision;
    }
    decision.state.gain_since = state.gain_since.value_or(now);
    if (now - *decision.state.gain_since >= settings.gain_hold) {
        decision.changed = true;
        decision.cost = decision.lowest_cost;
        decision.state.adopted = best;
        decision.state.gain_since.reset();
        decision.targets = std::move(best);
    }
    return decision;
}

} // namespace chervildyke
