/** \file
 * Defines how loads from the weight store are paced to its rate.
 */
#pragma once

#include <set>

#include "replicas/repair_plan.h"

namespace chervildyke {

/** Chooses the replicas whose members may load now. More valuable teams go first, then those that
 * have been down for longest; a replica starts once little is left to load before it, so that the
 * first ones have the store's whole rate. Each control comes to the same choice from the same
 * knowledge.
 * \return the ids of forming and serving replicas that may load.
 */
std::set<replica_id> admit_loads(const fleet_state& state, const fleet_knowledge& fleet,
                                 const repair_memory& memory, const repair_options& options);

} // namespace chervildyke
