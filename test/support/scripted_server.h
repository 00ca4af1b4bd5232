/** \file
 * Defines scripted_server, which answers requests with the bytes of a script.
 */
#pragma once

#include <deque>
#include <string>

#include <boost/asio.hpp>

namespace chervildyke::test {

/** What a scripted_server does after it has written an answer. */
enum class after_answer { keep, close, reset };

struct scripted_answer {
    scripted_answer(std::string written, after_answer next = after_answer::keep)
        : bytes(std::move(written)), then(next)
    {
    }

    std::string bytes;
    after_answer then;
};

/** A server that writes scripted bytes for each request, on whatever connection it comes. */
class scripted_server {
  public:
    explicit scripted_server(boost::asio::io_context& context)
        : acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        boost::asio::co_spawn(context, accept(), boost::asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    std::deque<scripted_answer> answers; // For the requests, in the order in which they come.
    std::deque<scripted_answer>* script = &answers; // Servers may share one.
    bool repeats = false; // Writes the last answer on a connection once more before the next one.
    int connections = 0;

  private:
    boost::asio::awaitable<void> accept()
    {
        while (true) {
            auto peer = co_await acceptor_.async_accept(boost::asio::use_awaitable);
            ++connections;
            boost::asio::co_spawn(acceptor_.get_executor(), serve(std::move(peer)),
                                  boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket peer)
    {
        const auto as_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);
        std::string repeated;
        while (true) {
            std::string request;
            const auto [error, bytes] = co_await boost::asio::async_read_until(
                peer, boost::asio::dynamic_buffer(request), "\r\n\r\n", as_tuple);
            if (error || script->empty()) {
                co_return;
            }
            const scripted_answer own = script->front();
            script->pop_front();
            const std::string written = repeated + own.bytes;
            co_await boost::asio::async_write(peer, boost::asio::buffer(written), as_tuple);
            repeated = repeats ? own.bytes : "";
            if (own.then == after_answer::reset) {
                // Only close() resets the connection; the destructor turns lingering off.
                peer.set_option(boost::asio::socket_base::linger(true, 0));
            }
            if (own.then != after_answer::keep) {
                peer.close();
                co_return;
            }
        }
    }

    boost::asio::ip::tcp::acceptor acceptor_;
};

} // namespace chervildyke::test
