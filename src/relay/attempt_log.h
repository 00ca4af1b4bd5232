/** \file
 * Defines the log lines about single attempts of a streamed call.
 */
#pragma once

#include <string_view>

#include "relay/relayed_call.h"
#include "routing/replica_balancer.h"
#include "routing/stall_policy.h"

namespace chervildyke {

/** Logs what is done about a silent attempt and what was known when that was decided.
 * \param answer_began true if the caller has received a part of the answer.
 */
void log_silence(const relayed_call& call, const selected_replica& selected,
                 const silent_attempt& silent, bool answer_began, std::string_view decision);

/** Logs an attempt that did not complete the call. */
void log_failed_attempt(const relayed_call& call, const selected_replica& selected,
                        time_point sent_at, std::string_view reason);

} // namespace chervildyke
