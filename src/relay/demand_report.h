/** \file
 * Defines how nodes report their demand to each other, and how it is summed.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/published_configuration.h"
#include "members/peer_gossip.h"
#include "node.pb.h"
#include "routing/demand_meter.h"

namespace chervildyke {

/** Adds this node's demand to its state: by model, and also by priority for the models of services
 * whose routes have different priorities.
 * \param configuration may be null.
 */
void report_demand(const demand_meter& own, const published_configuration_ptr& configuration,
                   time_point now, schema::peer_word& state);

/** \return the demand at this node and the others: replica time in ms per second, by model. */
std::map<std::string, double>
total_demand(const demand_meter& own, const std::vector<const known_node*>& others, time_point now);

/** \return the same by model and priority. Invalid numbers and nodes that report no priorities
 * count as absent.
 */
demand_by_priority total_demand_by_priority(const demand_meter& own,
                                            const std::vector<const known_node*>& others,
                                            time_point now);

} // namespace chervildyke
