/** \file
 * Defines the commands of chervilctl that check, compare and publish configurations.
 */
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "ctl/command_line.h"
#include "ctl/journal_session.h"
#include "settings.pb.h"

namespace chervildyke {

/** Reads and validates a configuration file, and prints every fault.
 * \return the configuration; empty when there is a fault.
 */
std::optional<schema::fleet_configuration> read_configuration(const std::string& file);

/** Prints the differences of a configuration from the one in force.
 * \param next the configuration to compare.
 * \return the exit code.
 */
int show_diff(const schema::fleet_configuration& next, const fleet_state& state);

/** Publishes the configuration that the command states: a file, an older version, or the one in
 * force with different drained VMs. Prints the outcome. If it is rejected, for instance because
 * another version was published first, prints the version in force; if it is accepted, how many
 * control nodes and entries have it in force.
 * \return the exit code; success only when the version is in force on every control node that
 * replied, and on the entry of each.
 */
boost::asio::awaitable<int> publish(boost::asio::any_io_executor executor, ctl_command command,
                                    schema::ctl_settings settings,
                                    std::shared_ptr<journal_session> session);

} // namespace chervildyke
