/** \file
 * Defines relay_plain_call, which sends a call with one answer to a backend server of a service.
 */
#pragma once

#include <boost/asio/awaitable.hpp>

#include "relay/relayed_call.h"

namespace chervildyke {

/** Answers the call. A call that may run once at most is sent again only after a backend server
 * said that it did not run it.
 */
boost::asio::awaitable<void> relay_plain_call(relayed_call& call);

} // namespace chervildyke
