/** \file
 * Defines serve_orders, which gives an entry its guard of calls that run at most once and its
 * route to plain services.
 */
#pragma once

#include "entry/entry_node.h"
#include "settings.pb.h"

namespace chervildyke {

/** Sets the node's hooks; call it before the node starts.
 * \param node outlives its calls.
 */
void serve_orders(entry_node& node, boost::asio::any_io_executor executor,
                  const schema::entry_settings& settings);

} // namespace chervildyke
