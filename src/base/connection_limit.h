/** \file
 * Defines max_accepted_connections, the limit that follows from the process's descriptors.
 */
#pragma once

#include <cstddef>

namespace chervildyke {

/** \return how many connections a process that also opens some should accept: three quarters of its
 * descriptors, at most the default of http_limits. The rest is for connections to backend servers
 * and to the store, datagrams and files.
 */
std::size_t max_accepted_connections();

} // namespace chervildyke
