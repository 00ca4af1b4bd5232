/** \file
 * Defines abusive_clients, a crowd of clients that exceed all limits of a server.
 */
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace chervildyke::soak {

/** What each client of a crowd sends, once. */
struct abusive_request {
    std::string address; // ip:port of the server.
    std::string target;
    std::size_t head_bytes = 0;       // Of padding in the head.
    bool completes_head = true;       // False: the head lacks its end; no body follows.
    std::size_t announced_bytes = 0;  // Content-Length; zero: the body is chunked.
    std::size_t sent_bytes = 0;       // Of the body that are sent.
    std::size_t chunk_bytes = 65'536; // In each chunk and in each write of an announced body.
};

/** Clients that each send one incomplete request and then keep their connection open until they are
 * disconnected or the server closes it. What they sent is not kept in memory.
 */
class abusive_clients {
  public:
    explicit abusive_clients(boost::asio::any_io_executor executor);
    ~abusive_clients();
    abusive_clients(const abusive_clients&) = delete;
    abusive_clients& operator=(const abusive_clients&) = delete;

    /** Starts clients that send the request at the same time. */
    void start(std::size_t count, const abusive_request& request);

    /** Completes when each client has sent all its bytes or has lost its connection.
     * \return false if that took longer than a minute.
     */
    boost::asio::awaitable<bool> wait_until_sent() const;

    /** Closes all connections. */
    void disconnect();

    /** \return the number of clients that sent all their bytes and still have a connection. */
    std::size_t holding() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke::soak
