/** \file
 * Defines how a team's effective parameters are derived from its template and its own values.
 */
#pragma once

#include "configuration.pb.h"

namespace chervildyke {

/** Overrides the template's values with the team's own values, and fills in the defaults: one
 * replica of one VM in one fabric domain, priority 0, and the backend pool when there is only one.
 * Limits are merged field by field; a non-empty list of the team replaces the template's list.
 * \param configuration contains the template and the pools.
 * \param team the team; an unknown template is treated as empty.
 * \return the parameters with replicas, vms_per_replica, one_fabric_domain and priority set.
 */
schema::team_parameters effective_parameters(const schema::fleet_configuration& configuration,
                                             const schema::team& team);

/** \return the template with the given name, or null. */
const schema::team_template* find_template(const schema::fleet_configuration& configuration,
                                           const std::string& name);

} // namespace chervildyke
