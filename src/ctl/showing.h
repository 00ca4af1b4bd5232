/** \file
 * Defines the commands that show the fleet to operators.
 */
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "ctl/command_line.h"
#include "journal/fleet_state.h"
#include "settings.pb.h"

namespace chervildyke {

/** Prints the accepted configurations, newest last. */
int show_history(const fleet_state& state, bool json);

/** Prints members, versions in force and replicas.
 * \return failure when no control answered.
 */
boost::asio::awaitable<int> show_status(boost::asio::any_io_executor executor, ctl_command command,
                                        schema::ctl_settings settings);

/** Prints why a team or a VM is as it is, as the first control that answers says. */
boost::asio::awaitable<int> show_explanation(boost::asio::any_io_executor executor,
                                             ctl_command command, schema::ctl_settings settings);

} // namespace chervildyke
