/** \file
 * Defines read_request, which reads one request within the limits of a server. Only http_server.cpp
 * includes it.
 */
#pragma once

#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "base/http_server.h"
#include "base/request_memory.h"

namespace chervildyke {

/** A request, or why there is none. */
struct incoming_request {
    std::optional<http_request> request;
    bool keep_alive = false;
    unsigned version = 0;               // As ten times the major version and the minor version.
    std::optional<bad_request> refused; // Without it and a request the connection has ended.
};

/** \return the size of the buffer in which a head and the first part of a body fit. */
std::size_t max_buffered_bytes(const http_limits& limits);

/** \return the most memory that a request within the limits is charged. */
std::size_t largest_request_charge(const http_limits& limits);

/** Reads a request of which the first bytes are in the buffer.
 * \param stream,buffer,memory outlive the task; memory is charged before each read and holds what
 * the request needs when it is complete.
 */
boost::asio::awaitable<incoming_request> read_request(boost::beast::tcp_stream& stream,
                                                      boost::beast::flat_buffer& buffer,
                                                      http_limits limits, request_memory& memory);

} // namespace chervildyke
