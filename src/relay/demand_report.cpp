/** \file
 * Implements the reports of demand.
 */
#include "relay/demand_report.h"

#include <cmath>
#include <set>

namespace chervildyke {

namespace {

/** \return the models of the services whose routes have different priorities. */
std::set<std::string> models_of_mixed_services(const published_configuration& configuration)
{
    std::set<std::string> models;
    for (const auto& [name, service] : configuration.services()) {
        if (!service.engine || !configuration.has_mixed_priorities(name)) {
            continue;
        }
        for (const model_profile& model : service.engine->models) {
            models.insert(model.name);
        }
    }
    return models;
}

bool is_valid_rate(double rate)
{
    return std::isfinite(rate) && rate >= 0;
}

} // namespace

void report_demand(const demand_meter& own, const published_configuration_ptr& configuration,
                   time_point now, schema::peer_word& state)
{
    const std::set<std::string> mixed =
        configuration ? models_of_mixed_services(*configuration) : std::set<std::string>();
    const demand_by_priority parts =
        mixed.empty() ? demand_by_priority() : own.rates_by_priority(now);
    for (const auto& [model, rate] : own.rates(now)) {
        schema::model_demand& demand = *state.add_demands();
        demand.set_model(model);
        demand.set_work_ms_per_s(rate);
        const auto found = parts.find(model);
        if (found == parts.end() || !mixed.contains(model)) {
            continue;
        }
        for (const auto& [priority, part] : found->second) {
            schema::priority_work& work = *demand.add_work_by_priority();
            work.set_priority(priority);
            work.set_work_ms_per_s(part.work_ms_per_s);
            work.set_calls_per_s(part.calls_per_s);
        }
    }
}

std::map<std::string, double>
total_demand(const demand_meter& own, const std::vector<const known_node*>& others, time_point now)
{
    std::map<std::string, double> total = own.rates(now);
    for (const known_node* node : others) {
        for (const schema::model_demand& part : node->state.demands()) {
            total[part.model()] += part.work_ms_per_s();
        }
    }
    return total;
}

demand_by_priority total_demand_by_priority(const demand_meter& own,
                                            const std::vector<const known_node*>& others,
                                            time_point now)
{
    demand_by_priority total = own.rates_by_priority(now);
    for (const known_node* node : others) {
        for (const schema::model_demand& demand : node->state.demands()) {
            for (const schema::priority_work& part : demand.work_by_priority()) {
                if (!is_valid_rate(part.work_ms_per_s()) || !is_valid_rate(part.calls_per_s())) {
                    continue;
                }
                demand_rate& sum = total[demand.model()][part.priority()];
                sum.work_ms_per_s += part.work_ms_per_s();
                sum.calls_per_s += part.calls_per_s();
            }
        }
    }
    return total;
}

} // namespace chervildyke
