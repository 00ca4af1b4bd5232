/** \file
 * Defines relay_plain_call, which forwards a call with a single, buffered answer to a backend
 * server of a plain service.
 */
#pragma once

#include <boost/asio/awaitable.hpp>

#include "relay/relayed_call.h"

namespace chervildyke {

/** Forwards the call and answers it. A call whose route allows no retries is sent again only if the
 * backend server certainly did not execute it. One that may run again is sent to another server
 * beside a slow one, and the first answer is forwarded.
 */
boost::asio::awaitable<void> relay_plain_call(relayed_call& call);

} // namespace chervildyke
