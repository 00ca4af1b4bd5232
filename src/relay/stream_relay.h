/** \file
 * Defines relay_stream, which forwards a call to a replica of its model and streams the events back
 * to the caller.
 */
#pragma once

#include <boost/asio/awaitable.hpp>

#include "relay/relayed_call.h"

namespace chervildyke {

/** Answers the call with one stream without gaps or repeated events. If the stream breaks or stalls
 * and the route allows it, the call fails over to another replica and resumes after the last event
 * that was forwarded.
 */
boost::asio::awaitable<void> relay_stream(relayed_call& call);

} // namespace chervildyke
