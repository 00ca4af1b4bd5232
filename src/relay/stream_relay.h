/** \file
 * Defines relay_stream, which sends a call to a replica of its model and passes the events on.
 */
#pragma once

#include <boost/asio/awaitable.hpp>

#include "relay/relayed_call.h"

namespace chervildyke {

/** Answers the call with one gapless stream. A stream that breaks or stalls goes on at another
 * replica behind the last event passed on, where the route allows that.
 */
boost::asio::awaitable<void> relay_stream(relayed_call& call);

} // namespace chervildyke
