/** \file
 * Implements the merge of a team's parameters with those of its template.
 */
#include "journal/team_parameters.h"

#include <string>

namespace chervildyke {

namespace {

/** Applies the values that are set in the overrides; a non-empty list replaces the whole list. */
void override_parameters(schema::team_parameters& into, const schema::team_parameters& overrides)
{
    if (overrides.adapters_size() > 0) {
        into.clear_adapters();
    }
    if (overrides.never_repeat_size() > 0) {
        into.clear_never_repeat();
    }
    into.MergeFrom(overrides);
}

void fill_defaults(schema::team_parameters& into, const schema::fleet_configuration& configuration)
{
    if (!into.has_replicas()) {
        into.set_replicas(1);
    }
    if (!into.has_vms_per_replica()) {
        into.set_vms_per_replica(1);
    }
    if (!into.has_one_fabric_domain()) {
        into.set_one_fabric_domain(true);
    }
    if (!into.has_priority()) {
        into.set_priority(0);
    }
    if (!into.has_pool() && configuration.backend_pools_size() == 1) {
        into.set_pool(configuration.backend_pools(0));
    }
}

} // namespace

const schema::team_template* find_template(const schema::fleet_configuration& configuration,
                                           const std::string& name)
{
    for (const schema::team_template& candidate : configuration.templates()) {
        if (candidate.name() == name) {
            return &candidate;
        }
    }
    return nullptr;
}

schema::team_parameters effective_parameters(const schema::fleet_configuration& configuration,
                                             const schema::team& team)
{
    schema::team_parameters merged;
    const schema::team_template* base = find_template(configuration, team.template_());
    if (base != nullptr) {
        merged = base->parameters();
    }
    override_parameters(merged, team.parameters());
    fill_defaults(merged, configuration);
    return merged;
}

} // namespace chervildyke
