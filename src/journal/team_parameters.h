/** \file
 * Defines how a team's parameters follow from its template and its own values.
 */
#pragma once

#include "configuration.pb.h"

namespace chervildyke {

/** Merges a team's own values over its template's, and fills in the defaults: one replica of one
 * VM in one fabric domain, and the deployment's only backend pool. Limits merge field by field; a
 * list of the team replaces the template's list.
 * \param configuration where the template and the pools are found.
 * \param team the team; an unknown template counts as empty.
 * \return the parameters with replicas, vms_per_replica, one_fabric_domain and priority set.
 */
schema::team_parameters effective_parameters(const schema::fleet_configuration& configuration,
                                             const schema::team& team);

/** \return the template of that name, or null. */
const schema::team_template* find_template(const schema::fleet_configuration& configuration,
                                           const std::string& name);

} // namespace chervildyke
