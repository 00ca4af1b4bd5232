/** \file
 * Defines http_client, which makes HTTP/1.1 calls over pooled connections and reports whether a
 * failed call may have taken effect.
 */
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "base/http_message.h"
#include "base/result.h"
#include "base/split_address.h"

namespace chervildyke {

enum class http_error {
    none,
    not_sent,   // No byte of the request was sent, so the peer can't have acted on it.
    unanswered, // The request was sent in part or whole; the peer may have acted on it.
    broken,     // The reply began but is incomplete or too long.
    timed_out,  // No complete reply to the sent request in time; the peer may have acted on it.
};

using http_failure = failure<http_error>;

template <typename Value>
using http_result = result<Value, http_error>;

/** A reply whose body is read while it arrives. Destroying it closes the connection unless the body
 * was read to its end.
 */
class http_stream {
  public:
    virtual ~http_stream() = default;
    virtual unsigned status() const = 0;

    /** \return the value of the first header of this name, or an empty string. */
    virtual std::string header(std::string_view name) const = 0;
    virtual std::vector<http_header> headers() const = 0;

    /** \return whether the connection carried an earlier request, so that this reply, unless it
     * names its request, may be a late one to that.
     */
    virtual bool is_on_reused_connection() const = 0;

    /** Reads the next part of the body.
     * \param timeout the maximum wait for the part.
     * \return the part, or an empty string once the body is complete; http_error::broken when the
     * connection fails, http_error::timed_out after the timeout.
     */
    virtual boost::asio::awaitable<http_result<std::string>> read_some(duration timeout) = 0;
};

/** Lets another task cancel a call. */
class http_cancel {
  public:
    /** Closes the call's connection, at once or as soon as the call has one. */
    void cancel();
    bool cancelled() const { return cancelled_; }

    /** Called by the client of the call.
     * \param close closes the connection in use; empty while there is none.
     */
    void set_close_hook(std::function<void()> close);

  private:
    bool cancelled_ = false;
    std::function<void()> close_;
};

struct http_call_options {
    duration timeout = 5s; // Of the whole call, or until the header of a streamed reply.
    duration connect_timeout = duration::max(); // Limited by the timeout too.
    bool fresh_connection = false; // Don't use a pooled connection: it may have failed unnoticed.
    duration max_idle_time = 30s;  // A pooled connection that was idle for longer is not reused.
    std::size_t max_body_bytes = 16U << 20U; // Of a reply that call() returns.
    std::string from_address;                // The local address to bind to; empty for any.
    std::shared_ptr<http_cancel> cancel;

    /** Called just before the request is written; the call fails with http_error::not_sent if it
     * returns false. Empty: every request is sent.
     */
    std::function<bool()> should_send;

    /** Returns whether a reply with these headers is the reply to this request. A reply that is
     * not, such as one to an earlier request on the connection, is read and discarded, and the next
     * one is awaited. Empty: every reply matches. Not called for interim replies (status 1xx),
     * which are always discarded.
     */
    std::function<bool(const std::vector<http_header>&)> matches_request;
};

/** Makes HTTP/1.1 calls to addresses of the form ip:port. It does not retry; the caller decides
 * that from the http_error.
 */
class http_client {
  public:
    /** \param max_idle_per_address the maximum number of idle connections pooled for an address. */
    explicit http_client(boost::asio::any_io_executor executor,
                         std::size_t max_idle_per_address = 32);
    ~http_client();

    /** Sends a request and reads the whole reply.
     * \param address ip:port of the server.
     * \return the reply, whatever its status from 200 to 599, or the failure of the connection. A
     * head with another status is no reply and fails with http_error::unanswered.
     */
    boost::asio::awaitable<http_result<http_reply>> call(std::string address, http_request request,
                                                         http_call_options options);

    /** As above with the default options. */
    boost::asio::awaitable<http_result<http_reply>> call(std::string address, http_request request);

    /** Sends a request and returns once the header of its reply has arrived.
     * \param address ip:port of the server.
     * \return the reply, whatever its status, whose body is not read yet, or the failure of the
     * connection.
     */
    boost::asio::awaitable<http_result<std::shared_ptr<http_stream>>>
    open(std::string address, http_request request, http_call_options options);

    /** As above with the default options. */
    boost::asio::awaitable<http_result<std::shared_ptr<http_stream>>> open(std::string address,
                                                                           http_request request);

    /** \return true if the address refuses a connection: nothing listens there. False if it accepts
     * one or does not answer within the timeout.
     */
    boost::asio::awaitable<bool> refuses_connections(std::string address, duration timeout);

    /** \return true if the address accepts a connection within the timeout; it is closed at once.
     */
    boost::asio::awaitable<bool> accepts_connections(std::string address, duration timeout);

    /** Closes the pooled connections to an address whose server may have stopped responding. */
    void close_idle_connections(const std::string& address);

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
