/** \file
 * Defines http_client, which makes calls over kept connections and says what a failed call may have
 * done.
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

namespace chervildyke {

enum class http_error {
    none,
    not_sent,   // No byte of the request left this process; the peer can't have seen it.
    unanswered, // Sent in part or whole; the peer may have acted on it.
    broken,     // The answer began and did not end properly.
    timed_out,  // Sent; no answer within the timeout. The peer may have acted on it.
};

using http_failure = failure<http_error>;

template <typename Value>
using http_result = result<Value, http_error>;

/** The body of an answer while it arrives. Dropping it closes the connection unless the body
 * was read to its end.
 */
class http_stream {
  public:
    virtual ~http_stream() = default;
    virtual unsigned status() const = 0;
    virtual std::string header(std::string_view name) const = 0;
    virtual std::vector<http_header> headers() const = 0;

    /** Reads the next part of the body.
     * \return an empty text once the body ended properly.
     */
    virtual boost::asio::awaitable<http_result<std::string>> read_some(duration timeout) = 0;
};

/** Lets another task break a call off. */
class http_cancel {
  public:
    /** Closes the call's connection now, or as soon as it has one. */
    void cancel();
    bool cancelled() const { return cancelled_; }

    /** For the client: how to close the connection in use; empty: none is. */
    void set_close(std::function<void()> close);

  private:
    bool cancelled_ = false;
    std::function<void()> close_;
};

struct http_call_options {
    duration timeout = 5s; // For the whole call, or for the head of a streamed answer.
    duration connect_timeout = duration::max(); // Within the timeout.
    bool fresh_connection = false; // Never reuse a kept connection, which may have died unnoticed.
    duration max_idle = 30s;       // A connection kept for longer is not reused.
    std::size_t max_body_bytes = 16U << 20U; // Of an answer that call() gathers.
    std::string from_address;                // The local address to call from; empty: any.
    std::shared_ptr<http_cancel> cancel;

    /** Asked last before the request is written; it is not sent when false. Empty: it is. */
    std::function<bool()> still_wanted;

    /** Tells whether an answer belongs to this call; one that does not is read and dropped, and
     * the next one is awaited. Empty: every answer does.
     */
    std::function<bool(const std::vector<http_header>&)> belongs;
};

/** Makes HTTP/1.1 calls to ip:port addresses. Retries nothing; what a failure means for the call
 * is left to the caller of this class.
 */
class http_client {
  public:
    explicit http_client(boost::asio::any_io_executor executor, std::size_t kept_per_address = 32);
    ~http_client();

    boost::asio::awaitable<http_result<http_reply>> call(std::string address, http_request request,
                                                         http_call_options options);

    /** As above with the default options. */
    boost::asio::awaitable<http_result<http_reply>> call(std::string address, http_request request);

    boost::asio::awaitable<http_result<std::shared_ptr<http_stream>>>
    open(std::string address, http_request request, http_call_options options);

    /** As above with the default options. */
    boost::asio::awaitable<http_result<std::shared_ptr<http_stream>>> open(std::string address,
                                                                           http_request request);

    /** Closes the connections kept to an address, which may have gone silent. */
    void forget(const std::string& address);

  private:
    struct state;
    std::shared_ptr<state> state_;
};

/** Splits ip:port.
 * \return false when the text is neither.
 */
bool split_address(const std::string& address, std::string& ip, std::uint16_t& port);

} // namespace chervildyke
