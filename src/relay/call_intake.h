/** \file
 * Defines serve_call, which decides whether and where a caller's call goes.
 */
#pragma once

#include <boost/asio/awaitable.hpp>

#include "base/http_server.h"
#include "relay/relay_context.h"

namespace chervildyke {

/** Answers one call: finds its route and team, sends it on, and writes one log line on its end. */
boost::asio::awaitable<void> serve_call(relay_context& context, http_exchange& exchange);

} // namespace chervildyke
