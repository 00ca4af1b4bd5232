/** \file
 * Implements the rules for the heads of messages.
 */
#include "base/http_head.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace chervildyke {

namespace http = boost::beast::http;

namespace {

// Deducted from the keep-alive timeout of the peer, so that no request is sent while the peer
// closes the connection.
constexpr duration keep_alive_margin = 500ms;
constexpr unsigned http_1_1 = 11;

} // namespace

http::request<http::string_body> to_message(const std::string& address, http_request&& request)
{
    http::request<http::string_body> message;
    message.version(http_1_1);
    message.method_string(request.method);
    message.target(request.target);
    for (const http_header& header : request.headers) {
        message.insert(header.name, header.value);
    }
    if (message.find(http::field::host) == message.end()) {
        message.set(http::field::host, address);
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

bool is_reply_status(unsigned status)
{
    constexpr unsigned switching_protocols = 101;
    return status >= 100 && status < 600 && status != switching_protocols;
}

duration keep_alive_timeout(std::string_view value)
{
    constexpr std::string_view name = "timeout=";
    const std::size_t found = value.find(name);
    unsigned seconds = 0;
    if (found == std::string_view::npos) {
        return duration::max();
    }
    const char* begin = value.data() + found + name.size();
    const auto parsed = std::from_chars(begin, value.data() + value.size(), seconds);
    if (parsed.ec != std::errc()) {
        return duration::max();
    }
    return std::max<duration>(std::chrono::seconds(seconds) - keep_alive_margin, duration::zero());
}

} // namespace chervildyke
