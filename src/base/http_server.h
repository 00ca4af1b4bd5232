/** \file
 * Defines http_server, which runs one task for each connection and hands requests to a hook.
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

struct http_limits {
    std::size_t max_body_bytes = 8U << 20U;
    std::size_t max_header_bytes = 32U << 10U;
    duration request_read_timeout = 30s; // From a request's first byte to its last.
    duration idle_timeout = 75s;
    duration write_timeout = 30s; // A reader slower than this loses its connection.
    std::size_t max_connections = 20'000;
};

/** Why a request could not be read. */
enum class bad_request { malformed, header_too_large, body_too_large, too_slow };

/** One request and the way to answer it. Exactly one answer is sent: respond(), or start_stream(),
 * any number of write_chunk() and end_stream(). Each returns false once the peer is gone.
 */
class http_exchange {
  public:
    virtual ~http_exchange() = default;
    virtual const http_request& request() const = 0;
    virtual std::string peer_address() const = 0;
    virtual boost::asio::awaitable<bool> respond(http_reply reply) = 0;
    virtual boost::asio::awaitable<bool> start_stream(http_reply head) = 0;
    virtual boost::asio::awaitable<bool> write_chunk(std::string_view bytes) = 0;
    virtual boost::asio::awaitable<bool> end_stream() = 0;

    /** Breaks the connection without finishing the answer. */
    virtual void abort() = 0;

    /** Completes when the peer has closed the connection; for use beside other waits. */
    virtual boost::asio::awaitable<void> wait_for_peer_close() = 0;

    /** True when the peer's close has arrived, also while this process is too busy to notice. */
    virtual bool peer_has_closed() const = 0;
};

using http_handler = std::function<boost::asio::awaitable<void>(http_exchange&)>;
using bad_request_hook = std::function<http_reply(bad_request)>;

/** Accepts connections and reads requests within limits. Routing by path is left to the handler. */
class http_server {
  public:
    http_server(boost::asio::any_io_executor executor, http_handler handler,
                http_limits limits = {}, bad_request_hook on_bad_request = {});
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /** Starts to accept.
     * \return false with last_reason() set when the address can't be had.
     */
    bool listen(const std::string& address, std::uint16_t port);
    const std::string& last_reason() const;

    /** The port listened on; useful after listen() with port zero, which takes a free one. */
    std::uint16_t port() const;

    /** Replaces the limits for requests that are not yet begun. */
    void set_limits(http_limits limits);

    /** From now on each answer ends its connection; new ones are still accepted. */
    void close_after_answers();

    /** Stops accepting; connections close after the answer in progress. */
    void stop_accepting();

    /** Completes once no request is in progress. */
    boost::asio::awaitable<void> wait_until_quiet();

    std::size_t connections() const;
    std::size_t requests_in_progress() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
