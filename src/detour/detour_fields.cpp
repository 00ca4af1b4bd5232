/** \file
 * Implements the header fields of detours.
 */
#include "detour/detour_fields.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>

#include <boost/beast/core/string.hpp>

namespace chervildyke {

namespace {

constexpr std::string_view field_prefix = "Detour-";
constexpr std::string_view server_field = "Detour-Server";
constexpr std::string_view started_field = "Detour-Server-Started-Ms";
constexpr std::string_view origin_field = "Detour-Origin";
constexpr std::string_view timeout_field = "Detour-Timeout-Ms";
constexpr std::string_view result_field = "Detour-Result";
constexpr std::string_view reason_field = "Detour-Reason";
constexpr std::string_view answered = "answered";
constexpr std::string_view withheld = "withheld";

constexpr std::int64_t max_timeout_ms = 24LL * 3600 * 1000;
constexpr unsigned failed_status = 502;

constexpr std::array<std::pair<http_error, std::string_view>, 4> results = {{
    {http_error::not_sent, "not-sent"},
    {http_error::unanswered, "unanswered"},
    {http_error::broken, "broken"},
    {http_error::timed_out, "timed-out"},
}};

template <typename Number>
std::optional<Number> parse_whole(std::string_view text)
{
    Number number{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return whole ? std::optional(number) : std::nullopt;
}

/** \return the text without characters that a header can't hold. */
std::string printable(std::string text)
{
    std::erase_if(text, [](char letter) { return letter < ' ' || letter > '~'; });
    return text;
}

http_reply write_result(std::string_view result, std::string reason)
{
    http_reply reply;
    reply.status = failed_status;
    reply.headers = {{std::string(result_field), std::string(result)},
                     {std::string(reason_field), printable(std::move(reason))}};
    return reply;
}

} // namespace

void write_order(const detour_order& order, http_request& request)
{
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(order.timeout);
    request.headers.push_back({std::string(server_field), order.server.id});
    request.headers.push_back(
        {std::string(started_field), std::to_string(order.server.started_ms)});
    request.headers.push_back({std::string(origin_field), order.origin});
    request.headers.push_back({std::string(timeout_field), std::to_string(timeout.count())});
}

std::optional<detour_order> read_order(const http_request& request)
{
    const auto started = parse_whole<std::uint64_t>(request.header(started_field));
    const auto timeout_ms = parse_whole<std::int64_t>(request.header(timeout_field));
    detour_order order;
    order.server.id = request.header(server_field);
    order.origin = request.header(origin_field);
    if (order.server.id.empty() || !started || !timeout_ms || *timeout_ms <= 0 ||
        *timeout_ms > max_timeout_ms) {
        return std::nullopt;
    }
    order.server.started_ms = *started;
    order.timeout = std::chrono::milliseconds(*timeout_ms);
    return order;
}

std::vector<http_header> without_detour_fields(std::vector<http_header> headers)
{
    std::erase_if(headers, [](const http_header& header) {
        const std::string_view name = header.name;
        return boost::beast::iequals(name.substr(0, field_prefix.size()), field_prefix);
    });
    return headers;
}

http_header answered_field()
{
    return {std::string(result_field), std::string(answered)};
}

http_reply write_failure(const http_failure& failure)
{
    const auto found = std::find_if(results.begin(), results.end(), [&failure](const auto& result) {
        return result.first == failure.code;
    });
    return write_result(found == results.end() ? std::string_view("unanswered") : found->second,
                        failure.reason);
}

http_reply write_withheld(std::string reason)
{
    return write_result(withheld, std::move(reason));
}

bool is_withheld(const std::vector<http_header>& headers)
{
    return find_header(headers, result_field) == withheld;
}

bool has_result(const std::vector<http_header>& headers)
{
    return !find_header(headers, result_field).empty();
}

std::optional<http_failure> read_failure(const std::vector<http_header>& headers)
{
    const std::string_view result = find_header(headers, result_field);
    if (result == answered) {
        return std::nullopt;
    }
    const std::string reason(find_header(headers, reason_field));
    if (result == withheld) {
        return http_failure{http_error::not_sent, reason};
    }
    for (const auto& [code, name] : results) {
        if (name == result) {
            return http_failure{code, reason};
        }
    }
    return http_failure{http_error::unanswered, "the carrier did not state what became of it"};
}

} // namespace chervildyke
