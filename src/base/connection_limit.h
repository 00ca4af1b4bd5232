/** \file
 * Defines max_accepted_connections, the limit that follows from the process's descriptors.
 */
#pragma once

#include <cstddef>

namespace chervildyke {

/** \return how many connections a process that also opens some should accept at the port for calls:
 * three quarters of its descriptors, less those of its small ports, at most the default of
 * http_limits. The rest is for connections to backend servers and to the store, datagrams and
 * files. \param small_ports the number of ports with small_port_limits().
 */
std::size_t max_accepted_connections(std::size_t small_ports = 0);

} // namespace chervildyke
