/** \file
 * Implements read_request over Boost.Beast.
 */
#include "base/request_reader.h"

#include <algorithm>
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "base/bounded_body.h"
#include "base/read_timer.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr auto as_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t body_read_bytes = 16U << 10U; // In one read of a body.
constexpr std::size_t max_read_bytes = 64U << 10U;

using request_parser = http::request_parser<bounded_body>;

http_request to_http_request(http::request<bounded_body>&& message)
{
    http_request converted;
    converted.method = std::string(message.method_string());
    converted.target = std::string(message.target());
    for (const auto& field : message) {
        converted.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    converted.body = std::move(message.body());
    return converted;
}

/** Parses what the buffer holds, as far as possible.
 * \return why the request is refused, if it is.
 */
std::optional<bad_request> parse(request_parser& parser, beast::flat_buffer& buffer)
{
    if (buffer.size() == 0) {
        return std::nullopt;
    }
    error_code error;
    buffer.consume(parser.put(buffer.data(), error));
    if (!error || error == http::error::need_more) {
        return std::nullopt;
    }
    if (error == http::error::body_limit) {
        return bad_request::body_too_large;
    }
    return error == http::error::header_limit ? bad_request::header_too_large
                                              : bad_request::malformed;
}

/** \return how a request ends whose connection failed to read; nothing if the connection has ended,
 * so that no error reply can be sent.
 */
std::optional<bad_request> refusal_of(const error_code& error, bool taken_away, bool too_slow)
{
    if (error == asio::error::operation_aborted && taken_away) {
        return bad_request::no_memory;
    }
    if (too_slow) {
        return bad_request::too_slow;
    }
    if (error == asio::error::connection_reset || error == asio::error::operation_aborted ||
        error == asio::error::broken_pipe) {
        return std::nullopt;
    }
    return bad_request::malformed; // The client has closed its side within the request.
}

/** \return the size to which the body's buffer must grow before the next read, so that the parser
 * allocates nothing.
 */
std::size_t next_capacity(const request_parser& parser, const beast::flat_buffer& buffer,
                          std::size_t max_body_bytes)
{
    const std::string& body = parser.get().body();
    if (!parser.is_header_done()) {
        return body.capacity();
    }
    const std::size_t limit = parser.content_length()
                                  ? std::min<std::size_t>(*parser.content_length(), max_body_bytes)
                                  : max_body_bytes;
    const std::size_t needed = std::min(limit, body.size() + buffer.capacity());
    if (needed <= body.capacity()) {
        return body.capacity();
    }
    return std::min(limit, std::max(needed, 2 * body.capacity()));
}

/** Gives the body's buffer just this capacity; std::string::reserve() may double the earlier one.
 */
void grow(std::string& body, std::size_t capacity)
{
    if (capacity > body.capacity()) {
        std::string larger;
        larger.reserve(capacity);
        larger.append(body);
        body = std::move(larger);
    }
}

/** \return the bytes of the head in the form in which a handler gets them. */
std::size_t head_bytes(const http_request& request)
{
    std::size_t bytes = request.method.size() + request.target.size();
    for (const http_header& header : request.headers) {
        bytes += sizeof(http_header) + header.name.size() + header.value.size();
    }
    return bytes;
}

} // namespace

std::size_t max_buffered_bytes(const http_limits& limits)
{
    return body_read_bytes + limits.max_header_bytes;
}

std::size_t largest_request_charge(const http_limits& limits)
{
    return charge_of(limits.max_body_bytes + 2 * max_buffered_bytes(limits));
}

asio::awaitable<incoming_request> read_request(beast::tcp_stream& stream,
                                               beast::flat_buffer& buffer, http_limits limits,
                                               request_memory& memory)
{
    incoming_request incoming;
    request_parser parser;
    parser.body_limit(limits.max_body_bytes);
    parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    parser.eager(true);
    stream.expires_never();
    time_point deadline = monotonic_clock::now() + limits.header_read_timeout;
    bool reads_body = false;
    while (true) {
        incoming.refused = parse(parser, buffer);
        if (incoming.refused) {
            co_return incoming;
        }
        if (parser.is_done()) {
            break;
        }
        if (parser.is_header_done() && !reads_body) {
            reads_body = true;
            deadline = monotonic_clock::now() + limits.body_read_timeout;
            buffer.reserve(std::min(body_read_bytes, buffer.max_size()));
        }
        if (buffer.size() == buffer.max_size()) {
            incoming.refused = bad_request::header_too_large;
            co_return incoming;
        }
        const auto space = buffer.prepare(beast::read_size(buffer, max_read_bytes));
        const std::size_t capacity = next_capacity(parser, buffer, limits.max_body_bytes);
        if (!memory.try_hold(buffer.capacity() + capacity)) {
            incoming.refused = bad_request::no_memory;
            co_return incoming;
        }
        grow(parser.get().body(), capacity);
        duration timeout = deadline - monotonic_clock::now();
        // Bytes that are always ready end each read before its timer expires.
        if (timeout <= duration::zero()) {
            incoming.refused = bad_request::too_slow;
            co_return incoming;
        }
        timeout = reads_body ? std::min(timeout, limits.body_stall_timeout) : timeout;
        std::optional<read_timer> wait(std::in_place, stream, timeout);
        const auto [error, bytes] = co_await stream.async_read_some(space, as_tuple);
        const bool too_slow = wait->expired();
        wait.reset();
        if (error) {
            incoming.refused = refusal_of(error, memory.taken_away(), too_slow);
            co_return incoming;
        }
        buffer.commit(bytes);
    }
    incoming.keep_alive = parser.get().keep_alive();
    incoming.version = parser.get().version();
    http_request request = to_http_request(parser.release());
    if (buffer.size() == 0) {
        buffer.shrink_to_fit(); // A call may take long, and the connection may be idle after it.
    }
    const std::size_t held = buffer.capacity() + head_bytes(request) + request.body.capacity();
    if (!memory.complete(held)) {
        incoming.refused = bad_request::no_memory;
        co_return incoming;
    }
    incoming.request = std::move(request);
    co_return incoming;
}

} // namespace chervildyke
