/** \file
 * Implements max_accepted_connections.
 */
#include "base/connection_limit.h"

#include <algorithm>

#include <sys/resource.h>

#include "base/http_server.h"

namespace chervildyke {

std::size_t max_accepted_connections()
{
    rlimit descriptors{};
    const std::size_t most = http_limits().max_connections;
    if (::getrlimit(RLIMIT_NOFILE, &descriptors) != 0) {
        return most;
    }
    return std::min<std::size_t>(most, descriptors.rlim_cur / 4 * 3);
}

} // namespace chervildyke
