/** \file
 * Implements end_to_end_headers.
 */
#include "base/end_to_end_headers.h"

#include <algorithm>
#include <array>
#include <string_view>

#include <boost/beast/core/string.hpp>

namespace chervildyke {

namespace {

constexpr std::array<std::string_view, 10> hop_by_hop_headers = {"Connection",
                                                                 "Keep-Alive",
                                                                 "Proxy-Connection",
                                                                 "Proxy-Authenticate",
                                                                 "Proxy-Authorization",
                                                                 "TE",
                                                                 "Trailer",
                                                                 "Transfer-Encoding",
                                                                 "Upgrade",
                                                                 "Content-Length"};

} // namespace

std::vector<http_header> end_to_end_headers(const std::vector<http_header>& headers)
{
    const std::string_view connection = find_header(headers, "Connection");
    std::vector<http_header> kept;
    for (const http_header& header : headers) {
        const auto same = [&header](std::string_view name) {
            return boost::beast::iequals(name, header.name);
        };
        bool listed = false; // In the Connection header.
        for (std::size_t begin = 0; begin < connection.size();) {
            const std::size_t comma = std::min(connection.find(',', begin), connection.size());
            std::string_view name = connection.substr(begin, comma - begin);
            while (name.starts_with(' ')) {
                name.remove_prefix(1);
            }
            while (name.ends_with(' ')) {
                name.remove_suffix(1);
            }
            listed = listed || same(name);
            begin = comma + 1;
        }
        const bool hop_by_hop =
            std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(), same);
        if (!hop_by_hop && !listed) {
            kept.push_back(header);
        }
    }
    return kept;
}

} // namespace chervildyke
