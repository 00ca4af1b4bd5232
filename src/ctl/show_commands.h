/** \file
 * Defines the commands of chervilctl that show the state of the fleet.
 */
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "ctl/command_line.h"
#include "journal/fleet_state.h"
#include "settings.pb.h"

namespace chervildyke {

/** Prints the accepted configurations, newest last.
 * \return the exit code.
 */
int show_history(const fleet_state& state, bool json);

/** Prints the status of the control nodes of the settings, and the replicas as the most advanced
 * one lists them.
 * \return the exit code; failure when no control node replied.
 */
boost::asio::awaitable<int> show_status(boost::asio::any_io_executor executor, ctl_command command,
                                        schema::ctl_settings settings);

/** Prints the state of a team or VM and its causes, as the first control node that replies explains
 * them.
 * \return the exit code; failure when no control node replied.
 */
boost::asio::awaitable<int> show_explanation(boost::asio::any_io_executor executor,
                                             ctl_command command, schema::ctl_settings settings);

} // namespace chervildyke
