/** \file
 * Defines note_demand and make_slot_request, which state what a call to a model needs from its
 * replicas: replica time and a slot.
 */
#pragma once

#include <cstdint>
#include <set>

#include "relay/relayed_call.h"
#include "relay/replica_queue.h"

namespace chervildyke {

/** Adds the replica time that a new call needs to the demand. A returning call was counted before.
 */
void note_demand(const relayed_call& call);

/** \return the request for a slot for the next attempt, with its urgency and how long it may wait.
 * \param tried epochs of the replicas that the call has tried.
 * \param started true if the head of an answer was forwarded to the caller.
 */
replica_queue_request make_slot_request(const relayed_call& call,
                                        const std::set<std::uint64_t>& tried, bool started);

} // namespace chervildyke
