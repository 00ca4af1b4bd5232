/** \file
 * Defines admit_loads, which limits the loads from the weight store to its rate.
 */
#pragma once

#include <set>

#include "replicas/repair_plan.h"

namespace chervildyke {

/** Selects the replicas whose members may load now. More valuable teams go first, then those that
 * have been down for longest. A replica is admitted once the replicas before it have little left to
 * load, so that the first ones get the store's whole rate. Controls with the same state, observed
 * fleet and history select the same replicas.
 * \return the ids of the forming and serving replicas that may load.
 */
std::set<replica_id> admit_loads(const fleet_state& state, const observed_fleet& fleet,
                                 const repair_history& history, const repair_options& options);

} // namespace chervildyke
