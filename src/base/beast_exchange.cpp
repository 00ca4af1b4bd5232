/** \file
 * Implements beast_exchange.
 */
#include "base/beast_exchange.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto as_tuple = asio::as_tuple(asio::use_awaitable);
constexpr duration peer_close_poll_interval = 250ms;

template <typename Message>
void set_fields(Message& message, const http_reply& reply)
{
    for (const http_header& header : reply.headers) {
        message.insert(header.name, header.value);
    }
    if (!reply.content_type.empty()) {
        message.set(http::field::content_type, reply.content_type);
    }
    if (message.find(http::field::server) == message.end()) {
        message.set(http::field::server, "chervildyke");
    }
}

} // namespace

std::string beast_exchange::peer_address() const
{
    error_code error;
    const auto peer = stream_.socket().remote_endpoint(error);
    return error ? std::string() : peer.address().to_string();
}

asio::awaitable<bool> beast_exchange::respond(http_reply reply)
{
    http::response<http::string_body> message(static_cast<http::status>(reply.status), http_1_1);
    set_fields(message, reply);
    keep_alive_ = keep_alive_ && may_keep_alive_();
    message.keep_alive(keep_alive_);
    message.body() = std::move(reply.body);
    message.prepare_payload();
    answered_ = true;
    stream_.expires_after(write_timeout_);
    const auto [error, bytes] = co_await http::async_write(stream_, message, as_tuple);
    reply_is_complete_ = !error;
    co_return update_connection(error);
}

asio::awaitable<bool> beast_exchange::start_stream(http_reply head)
{
    http::response<http::empty_body> message(static_cast<http::status>(head.status), http_1_1);
    set_fields(message, head);
    // HTTP/1.0 has no chunks: the end of the connection ends the reply.
    chunked_ = chunked_ && !head.ends_with_connection;
    keep_alive_ = keep_alive_ && chunked_ && may_keep_alive_();
    message.keep_alive(keep_alive_);
    message.chunked(chunked_);
    http::response_serializer<http::empty_body> serializer(message);
    answered_ = true;
    streaming_ = true;
    stream_.expires_after(write_timeout_);
    const auto [error, bytes] = co_await http::async_write_header(stream_, serializer, as_tuple);
    co_return update_connection(error);
}

asio::awaitable<bool> beast_exchange::write_chunk(std::string_view bytes)
{
    stream_.expires_after(write_timeout_);
    if (!chunked_) {
        const auto [error, written] = co_await asio::async_write(
            stream_, asio::const_buffer(bytes.data(), bytes.size()), as_tuple);
        co_return update_connection(error);
    }
    const auto chunk = http::make_chunk(asio::const_buffer(bytes.data(), bytes.size()));
    const auto [error, written] = co_await asio::async_write(stream_, chunk, as_tuple);
    co_return update_connection(error);
}

asio::awaitable<bool> beast_exchange::end_stream()
{
    streaming_ = false;
    if (!chunked_) {
        reply_is_complete_ = true;
        co_return true;
    }
    stream_.expires_after(write_timeout_);
    const auto [error, written] =
        co_await asio::async_write(stream_, http::make_chunk_last(), as_tuple);
    reply_is_complete_ = !error;
    co_return update_connection(error);
}

void beast_exchange::abort()
{
    connection_failed_ = true;
    error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream_.socket().close(ignored);
}

asio::awaitable<void> beast_exchange::wait_for_peer_close()
{
    while (true) {
        const auto [error] = co_await stream_.socket().async_wait(tcp::socket::wait_read, as_tuple);
        // A socket may be ready to read although nothing has arrived.
        if (error || peer_has_closed()) {
            co_return;
        }
        co_await sleep_for(peer_close_poll_interval); // The peer has sent its next request.
    }
}

bool beast_exchange::peer_has_closed() const
{
    char byte = 0;
    error_code error;
    tcp::socket& socket = stream_.socket();
    if (!socket.is_open()) {
        return true;
    }
    if (!socket.non_blocking()) {
        socket.non_blocking(true, error);
    }
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error && error != asio::error::would_block && error != asio::error::interrupted;
}

} // namespace chervildyke
