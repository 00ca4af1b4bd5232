/** \file
 * Defines http_server, which runs one task for each connection and passes requests to a handler.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "base/http_message.h"

namespace chervildyke {

/** Limits on what a server reads, writes and keeps open. */
struct http_limits {
    std::size_t max_body_bytes = 8U << 20U;
    std::size_t max_header_bytes = 32U << 10U;
    duration header_read_timeout = 30s; // From the first byte of a request to the end of its head.
    duration body_read_timeout = 30s;   // From there to the last byte of its body.
    duration idle_timeout = 75s;        // Until the first byte of the next request arrives.
    duration write_timeout = 30s;       // Of one write; the connection is closed after it.
    // A body of which nothing arrives for this long is refused; so is one that takes longer in all.
    duration body_stall_timeout = 10s;
    std::size_t max_connections = 20'000; // For further ones, connections that wait are closed.
    // Of all requests together, from the first byte until the call has ended. The largest request
    // within the limits always fits, even if this is less.
    std::size_t max_request_memory = 64U << 20U;
};

/** \return the limits of a port that takes no calls, such as one for metrics or health: requests
 * with small bodies on few connections.
 */
http_limits small_port_limits();

/** Why a request was not read. */
enum class bad_request {
    malformed,
    header_too_large,
    body_too_large,
    too_slow,
    too_many_connections, // The server is at its limit; the request was not run.
    no_memory,            // The server's memory for requests is used up; the request was not run.
    connection_displaced, // The connection was closed, without a reply, to make room for another.
};

/** \return the kind as one word, for logs and metrics. */
const char* to_text(bad_request kind);

/** A request and the functions that reply to it. A handler sends exactly one reply: respond(), or
 * start_stream(), any number of write_chunk() and end_stream(). Each of them returns false once the
 * connection has failed.
 */
class http_exchange {
  public:
    virtual ~http_exchange() = default;
    virtual const http_request& request() const = 0;
    virtual std::string peer_address() const = 0;
    virtual boost::asio::awaitable<bool> respond(http_reply reply) = 0;

    /** Sends the header of a reply. Its body is sent in chunks or, if the reply says so or the peer
     * speaks HTTP/1.0, ends with the connection.
     */
    virtual boost::asio::awaitable<bool> start_stream(http_reply head) = 0;
    virtual boost::asio::awaitable<bool> write_chunk(std::string_view bytes) = 0;
    virtual boost::asio::awaitable<bool> end_stream() = 0;

    /** \return true once respond() or start_stream() was called. */
    virtual bool answered() const = 0;

    /** Resets the connection without completing the reply. */
    virtual void abort() = 0;

    /** Completes when the peer has closed the connection; run it in parallel with other waits. */
    virtual boost::asio::awaitable<void> wait_for_peer_close() = 0;

    /** \return true if the peer has closed the connection. It asks the socket, so the result is
     * current even if the event loop has not processed the close yet.
     */
    virtual bool peer_has_closed() const = 0;
};

/** Handles one request. If it returns or throws without a reply, the server replies with status
 * 500. If it throws within its reply, the server resets the connection.
 */
using http_handler = std::function<boost::asio::awaitable<void>(http_exchange&)>;

/** Makes the reply to a request that was not read. */
using bad_request_hook = std::function<http_reply(bad_request)>;

/** \return the reply that is used without a hook. */
http_reply default_bad_request_reply(bad_request kind);

/** Accepts connections and reads requests within limits. The handler routes them by path. */
class http_server {
  public:
    http_server(boost::asio::any_io_executor executor, http_handler handler,
                http_limits limits = {}, bad_request_hook on_bad_request = {});
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /** Starts to accept connections.
     * \param address the IP address to listen on.
     * \param port zero for any free port.
     * \return false if the server can't listen on the address; last_reason() states why.
     */
    bool listen(const std::string& address, std::uint16_t port);

    /** \return why listen() failed. */
    const std::string& last_reason() const;

    /** \return the port that the server listens on, or zero if it does not listen. */
    std::uint16_t port() const;

    /** Replaces the limits of the requests that are read from now on. An idle connection stays open
     * for the longest idle timeout in force since it became idle.
     */
    void set_limits(http_limits limits);

    /** Closes each connection after the reply to the next request that is read from it. New
     * connections are still accepted.
     */
    void disable_keep_alive();

    /** Stops accepting connections. Requests that have arrived are still answered, and each
     * connection is closed after its last reply.
     */
    void stop_accepting();

    /** Completes when no request is in progress. */
    boost::asio::awaitable<void> wait_until_drained();

    /** Sets a function that is called for each request that was refused before it was read, after
     * any reply was made.
     */
    void set_refusal_hook(std::function<void(bad_request)> on_refused);

    /** \return the number of open connections. */
    std::size_t connections() const;

    /** \return how much of the memory for requests is available. */
    std::size_t request_bytes_available() const;

    /** \return the number of requests of which the first byte was read and that are unanswered. */
    std::size_t requests_in_progress() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
