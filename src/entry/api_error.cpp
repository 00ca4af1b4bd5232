/** \file
 * Implements the encoding of errors and the parsing of common headers.
 */
#include "entry/api_error.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

namespace chervildyke {

namespace {

constexpr std::int64_t max_deadline_ms = 3'600'000;

std::optional<std::int64_t> parse_integer(std::string_view text)
{
    std::int64_t number = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    const bool is_complete = parsed.ec == std::errc() && parsed.ptr == end;
    return is_complete ? std::optional<std::int64_t>(number) : std::nullopt;
}

std::string retry_after_seconds(duration span)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(span).count();
    return std::to_string(std::max<std::int64_t>(seconds, 1));
}

} // namespace

api_error invalid_request(std::string message, std::string code)
{
    api_error error;
    error.status = 400;
    error.message = std::move(message);
    error.code = std::move(code);
    return error;
}

api_error unavailable(std::string message, std::string code, duration retry_after)
{
    api_error error;
    error.status = 503;
    error.message = std::move(message);
    error.type = "server_error";
    error.code = std::move(code);
    error.retry_after = retry_after;
    return error;
}

std::string to_json_text(const api_error& error)
{
    const nlohmann::json document = {{"error",
                                      {{"message", error.message},
                                       {"type", error.type},
                                       {"code", error.code},
                                       {"param", nullptr}}},
                                     {"chervil_outcome", to_text(error.outcome)}};
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http_reply to_reply(const api_error& error)
{
    http_reply reply;
    reply.status = error.status;
    reply.body = to_json_text(error);
    reply.headers.push_back({"X-Chervil-Outcome", to_text(error.outcome)});
    if (error.retry_after) {
        reply.headers.push_back({"Retry-After", retry_after_seconds(*error.retry_after)});
    }
    return reply;
}

http_reply bad_request_reply(bad_request kind)
{
    api_error error = invalid_request("the request could not be read as HTTP/1.1", "malformed");
    if (kind == bad_request::header_too_large) {
        error = invalid_request("the request's header is too large", "header_too_large");
        error.status = 431;
    }
    else if (kind == bad_request::body_too_large) {
        error = invalid_request("the request's body is too large", "body_too_large");
        error.status = 413;
    }
    else if (kind == bad_request::too_slow) {
        error = invalid_request("the request did not arrive in time", "request_timeout");
        error.status = 408;
    }
    else if (kind == bad_request::too_many_connections) {
        error = invalid_request("too many connections are open", "too_many_connections");
        error.status = 503;
    }
    else if (kind == bad_request::no_memory) {
        error = unavailable("there is no memory left for requests", "overloaded", 1s);
    }
    return to_reply(error);
}

std::optional<duration> read_call_timeout(const http_request& request, duration fallback)
{
    const std::string_view text = request.header("X-Chervil-Deadline-Ms");
    if (text.empty()) {
        return fallback;
    }
    const auto milliseconds = parse_integer(text);
    if (!milliseconds || *milliseconds < 1 || *milliseconds > max_deadline_ms) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(*milliseconds);
}

std::optional<std::uint64_t> read_key_creation_time_ms(const http_request& request)
{
    const std::string_view text = request.header("X-Chervil-Key-Created-Ms");
    if (text.empty()) {
        return 0;
    }
    const auto milliseconds = parse_integer(text);
    if (!milliseconds || *milliseconds < 0) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(*milliseconds);
}

} // namespace chervildyke
