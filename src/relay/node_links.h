/** \file
 * Defines the functions that connect a node's server_links and detour_carrier to its view of the
 * fleet.
 */
#pragma once

#include <memory>

#include "assembly/engine_command.h"
#include "detour/detour_carrier.h"
#include "detour/server_links.h"
#include "members/peer_gossip.h"
#include "node.pb.h"
#include "relay/relay_context.h"

namespace chervildyke {

/** \return the links of a node to backend servers. All arguments but the settings outlive them. */
std::shared_ptr<server_links> make_server_links(const schema::relay_settings& settings,
                                                relay_context& context, const peer_gossip& peers);

/** \return the hooks of the carrier of a node; the context outlives them. */
detour_carrier_hooks make_carrier_hooks(relay_context& context);

/** \return calls to engines whose failures count for whether this node is cut off. */
engine_calls with_reach(engine_calls calls, std::shared_ptr<server_links> links);

/** \return true if the node is cut off from a service with engines.
 * \param configuration tells which services have engines; may be null.
 */
bool is_cut_off_from_engines(const server_links& links,
                             const published_configuration_ptr& configuration);

/** Sets in this node's state from which services it is cut off. */
void set_cut_off(const server_links& links, const published_configuration_ptr& configuration,
                 schema::peer_word& state);

} // namespace chervildyke
