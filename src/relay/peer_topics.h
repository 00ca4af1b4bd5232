/** \file
 * Defines the conversion of what a node has read of the shared log to and from its state, as nodes
 * send it to each other.
 */
#pragma once

#include <vector>

#include "members/peer_gossip.h"
#include "node.pb.h"
#include "relay/fleet_restorer.h"
#include "relay/fleet_view.h"

namespace chervildyke {

/** Reported as the age of what was not read yet or is not known to be up to date as of any time. */
inline constexpr duration never_read_age = 24h;

/** Fills in what this node has read. The leader adds the newest records. */
void set_topics(const fleet_view& view, bool leading, schema::peer_word& state);

/** \return what the sender of the state has read of the replicas. */
peer_topic_state replicas_of(const schema::peer_word& state);

/** \return what the sender of the state has read of the list of backend servers. */
peer_topic_state backends_of(const schema::peer_word& state);

/** \return what each node knows of the replicas and the configuration. */
std::vector<known_agreement> agreements_of(const std::vector<const known_node*>& nodes);

} // namespace chervildyke
