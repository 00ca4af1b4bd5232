/** \file
 * Defines set_call_hooks, which connects the orders and the plain services to an entry.
 */
#pragma once

#include "entry/entry_node.h"
#include "settings.pb.h"

namespace chervildyke {

/** Sets the hooks with which the node claims and settles calls that run at most once, and its
 * handler of service calls. Must be called before the node starts.
 * \param node outlives its calls.
 */
void set_call_hooks(entry_node& node, boost::asio::any_io_executor executor,
                    const schema::entry_settings& settings);

} // namespace chervildyke
