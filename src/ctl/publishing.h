/** \file
 * Defines the commands that put a configuration in force.
 */
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "ctl/command_line.h"
#include "ctl/journal_session.h"
#include "settings.pb.h"

namespace chervildyke {

/** Reads and checks a configuration file, printing every fault.
 * \return no value when there is any.
 */
std::optional<schema::fleet_configuration> read_configuration(const std::string& file);

/** Prints what a file would change against the configuration in force.
 * \return the exit code.
 */
int show_difference(const schema::fleet_configuration& next, const fleet_state& state);

/** Publishes the configuration that the command asks for: a file, an older version, or the one in
 * force with other drained VMs. Prints the verdict, who won if another was faster, and how many
 * nodes have it in force.
 * \return the exit code.
 */
boost::asio::awaitable<int> publish(boost::asio::any_io_executor executor, ctl_command command,
                                    schema::ctl_settings settings,
                                    std::shared_ptr<journal_session> session);

} // namespace chervildyke
