/** \file
 * Implements max_accepted_connections.
 */
#include "base/connection_limit.h"

#include <algorithm>

#include <sys/resource.h>

#include "base/http_server.h"

namespace chervildyke {

std::size_t max_accepted_connections(std::size_t small_ports)
{
    rlimit descriptors{};
    const std::size_t most = http_limits().max_connections;
    if (::getrlimit(RLIMIT_NOFILE, &descriptors) != 0) {
        return most;
    }
    const std::size_t accepted = descriptors.rlim_cur / 4 * 3;
    const std::size_t small = small_ports * small_port_limits().max_connections;
    // Under a very low limit on descriptors the small ports may take half of the connections.
    return std::min(most, std::max(accepted / 2, accepted - std::min(accepted, small)));
}

} // namespace chervildyke
