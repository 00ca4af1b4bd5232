/** \file
 * Defines beast_exchange, the http_exchange of http_server. Only http_server.cpp includes it.
 */
#pragma once

#include <functional>
#include <string>
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "base/http_server.h"

namespace chervildyke {

/** One request on a connection and the reply to it. */
class beast_exchange : public http_exchange {
  public:
    /** \param keep_alive asked when the reply begins whether the connection stays open after it.
     * \param version of HTTP, as ten times the major version and the minor version.
     */
    beast_exchange(boost::beast::tcp_stream& stream, http_request request,
                   std::function<bool()> keep_alive, duration write_timeout,
                   unsigned version = http_1_1)
        : stream_(stream), request_(std::move(request)), may_keep_alive_(std::move(keep_alive)),
          write_timeout_(write_timeout), chunked_(version != http_1_0)
    {
    }

    const http_request& request() const override { return request_; }
    std::string peer_address() const override;
    boost::asio::awaitable<bool> respond(http_reply reply) override;
    boost::asio::awaitable<bool> start_stream(http_reply head) override;
    boost::asio::awaitable<bool> write_chunk(std::string_view bytes) override;
    boost::asio::awaitable<bool> end_stream() override;
    void abort() override;
    boost::asio::awaitable<void> wait_for_peer_close() override;
    bool peer_has_closed() const override;

    /** \return true if the connection can carry another request. */
    bool reusable() const { return answered_ && !streaming_ && !connection_failed_ && keep_alive_; }
    bool answered() const override { return answered_; }
    bool reply_is_complete() const { return reply_is_complete_; }
    void close_after_reply() { keep_alive_ = false; }

  private:
    static constexpr unsigned http_1_0 = 10;
    static constexpr unsigned http_1_1 = 11;

    bool update_connection(const boost::system::error_code& error)
    {
        connection_failed_ = connection_failed_ || error;
        return !error;
    }

    boost::beast::tcp_stream& stream_;
    http_request request_;
    std::function<bool()> may_keep_alive_;
    bool keep_alive_ = true;
    duration write_timeout_;
    bool chunked_;
    bool answered_ = false; // A part of the reply was written, at least.
    bool reply_is_complete_ = false;
    bool streaming_ = false;
    bool connection_failed_ = false;
};

} // namespace chervildyke
