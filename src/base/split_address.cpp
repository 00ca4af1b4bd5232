/** \file
 * Implements split_address.
 */
#include "base/split_address.h"

#include <charconv>

namespace chervildyke {

bool split_address(const std::string& address, std::string& ip, std::uint16_t& port)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    ip = address.substr(0, colon);
    const char* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    return parsed.ec == std::errc() && parsed.ptr == end && !ip.empty();
}

} // namespace chervildyke
