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

/** \return the reply to a call that was not read; a 503 if the node has too many connections. */
http_reply refuse_unread(const relay_context& context, bad_request kind);

} // namespace chervildyke
