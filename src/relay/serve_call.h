/** \file
 * Defines serve_call, which authenticates and routes a call and answers it.
 */
#pragma once

#include <boost/asio/awaitable.hpp>

#include "base/http_server.h"
#include "relay/relay_context.h"

namespace chervildyke {

/** Serves one call: finds its route and team, forwards it to the route's service, and writes one
 * log line when it has ended.
 */
boost::asio::awaitable<void> serve_call(relay_context& context, http_exchange& exchange);

} // namespace chervildyke
