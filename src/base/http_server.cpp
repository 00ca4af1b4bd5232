/** \file
 * Implements http_server over Boost.Beast.
 */
#include "base/http_server.h"

#include <optional>
#include <unordered_set>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "base/read_limit.h"
#include "base/scope_guard.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto as_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t read_buffer_bytes = 16U << 10U;
constexpr duration last_request_wait =
    300ms; // For the request on a connection that was accepted
           // as the server stopped; a round trip of most callers.
constexpr unsigned http_1_0 = 10;
constexpr unsigned http_1_1 = 11;

http_request to_plain(http::request<http::string_body>&& message)
{
    http_request plain;
    plain.method = std::string(message.method_string());
    plain.target = std::string(message.target());
    for (const auto& field : message) {
        plain.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    plain.body = std::move(message.body());
    return plain;
}

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

http_reply plain_bad_request(bad_request kind)
{
    http_reply reply;
    reply.status = kind == bad_request::body_too_large     ? 413
                   : kind == bad_request::header_too_large ? 431
                   : kind == bad_request::too_slow         ? 408
                                                           : 400;
    reply.body = R"({"error":{"message":"the request could not be read"}})";
    return reply;
}

bad_request classify(const error_code& error)
{
    if (error == http::error::body_limit) {
        return bad_request::body_too_large;
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return bad_request::header_too_large;
    }
    return bad_request::malformed;
}

bool peer_closed(const error_code& error)
{
    return error == http::error::end_of_stream || error == asio::error::connection_reset ||
           error == asio::error::operation_aborted || error == asio::error::broken_pipe;
}

class beast_exchange : public http_exchange {
  public:
    beast_exchange(beast::tcp_stream& stream, http_request request, bool keep_alive,
                   duration write_timeout, unsigned version = http_1_1)
        : stream_(stream), request_(std::move(request)), keep_alive_(keep_alive),
          write_timeout_(write_timeout), chunked_(version != http_1_0)
    {
    }

    const http_request& request() const override { return request_; }

    std::string peer_address() const override
    {
        error_code error;
        const auto peer = stream_.socket().remote_endpoint(error);
        return error ? std::string() : peer.address().to_string();
    }

    asio::awaitable<bool> respond(http_reply reply) override
    {
        http::response<http::string_body> message(static_cast<http::status>(reply.status), 11);
        set_fields(message, reply);
        message.keep_alive(keep_alive_);
        message.body() = std::move(reply.body);
        message.prepare_payload();
        answered_ = true;
        stream_.expires_after(write_timeout_);
        const auto [error, bytes] = co_await http::async_write(stream_, message, as_tuple);
        co_return note(error);
    }

    asio::awaitable<bool> start_stream(http_reply head) override
    {
        http::response<http::empty_body> message(static_cast<http::status>(head.status), 11);
        set_fields(message, head);
        // Callers of HTTP/1.0 read no chunks: the end of the connection ends the answer.
        keep_alive_ = keep_alive_ && chunked_;
        message.keep_alive(keep_alive_);
        message.chunked(chunked_);
        http::response_serializer<http::empty_body> serializer(message);
        answered_ = true;
        streaming_ = true;
        stream_.expires_after(write_timeout_);
        const auto [error, bytes] =
            co_await http::async_write_header(stream_, serializer, as_tuple);
        co_return note(error);
    }

    asio::awaitable<bool> write_chunk(std::string_view bytes) override
    {
        stream_.expires_after(write_timeout_);
        if (!chunked_) {
            const auto [error, written] = co_await asio::async_write(
                stream_, asio::const_buffer(bytes.data(), bytes.size()), as_tuple);
            co_return note(error);
        }
        const auto chunk = http::make_chunk(asio::const_buffer(bytes.data(), bytes.size()));
        const auto [error, written] = co_await asio::async_write(stream_, chunk, as_tuple);
        co_return note(error);
    }

    asio::awaitable<bool> end_stream() override
    {
        streaming_ = false;
        if (!chunked_) {
            co_return true;
        }
        stream_.expires_after(write_timeout_);
        const auto [error, written] =
            co_await asio::async_write(stream_, http::make_chunk_last(), as_tuple);
        co_return note(error);
    }

    void abort() override
    {
        broken_ = true;
        error_code ignored;
        stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        stream_.socket().close(ignored);
    }

    asio::awaitable<void> wait_for_peer_close() override
    {
        while (true) {
            const auto [error] =
                co_await stream_.socket().async_wait(tcp::socket::wait_read, as_tuple);
            error_code unused;
            if (error || stream_.socket().available(unused) == 0) {
                co_return;
            }
            co_await sleep_for(250ms); // The peer sent its next request already.
        }
    }

    bool peer_has_closed() const override
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
        return error && error != asio::error::would_block;
    }

    /** True when the connection can carry another request. */
    bool reusable() const { return answered_ && !streaming_ && !broken_ && keep_alive_; }
    bool answered() const { return answered_; }

  private:
    bool note(const error_code& error)
    {
        broken_ = broken_ || error;
        return !error;
    }

    beast::tcp_stream& stream_;
    http_request request_;
    bool keep_alive_;
    duration write_timeout_;
    bool chunked_;
    bool answered_ = false;
    bool streaming_ = false;
    bool broken_ = false;
};

} // namespace

struct http_server::state : std::enable_shared_from_this<http_server::state> {
    state(asio::any_io_executor executor_in, http_handler handler_in, http_limits limits_in,
          bad_request_hook hook)
        : executor(std::move(executor_in)), handler(std::move(handler_in)), limits(limits_in),
          on_bad_request(hook ? std::move(hook) : bad_request_hook(plain_bad_request)),
          acceptor(executor)
    {
    }

    asio::any_io_executor executor;
    http_handler handler;
    http_limits limits;
    bad_request_hook on_bad_request;
    tcp::acceptor acceptor;
    std::string last_reason;
    std::unordered_set<beast::tcp_stream*> idle;
    std::size_t open = 0;
    std::size_t busy = 0; // Requests whose first byte was read and that are not answered.
    bool stopping = false;
    bool closing = false; // Answers end their connections.

    asio::awaitable<void> accept_connections();
    asio::awaitable<void> serve(tcp::socket socket);
    void accept_waiting();
    static bool has_bytes(beast::tcp_stream& stream, const beast::flat_buffer& buffer);
    asio::awaitable<bool> serve_one(beast::tcp_stream& stream, beast::flat_buffer& buffer);
    asio::awaitable<void> refuse(beast::tcp_stream& stream, bad_request kind);
};

asio::awaitable<void> http_server::state::accept_connections()
{
    const auto self = shared_from_this();
    while (!stopping) {
        auto [error, socket] = co_await acceptor.async_accept(as_tuple);
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            co_await sleep_for(10ms); // Out of descriptors, most likely.
            continue;
        }
        if (open >= limits.max_connections) {
            continue;
        }
        asio::co_spawn(executor, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> http_server::state::serve(tcp::socket socket)
{
    const auto self = shared_from_this();
    ++open;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(read_buffer_bytes + limits.max_header_bytes);
    bool accepted_now = true;
    while ((accepted_now || !stopping || has_bytes(stream, buffer)) &&
           co_await serve_one(stream, buffer)) {
        accepted_now = false;
    }
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    --open;
}

/** True when a request, or a part of one, has arrived. */
bool http_server::state::has_bytes(beast::tcp_stream& stream, const beast::flat_buffer& buffer)
{
    error_code error;
    return buffer.size() > 0 || (stream.socket().available(error) > 0 && !error);
}

/** Accepts the connections that callers have opened already; the acceptor's end would reset them.
 */
void http_server::state::accept_waiting()
{
    error_code error;
    acceptor.non_blocking(true, error);
    while (!error && open < limits.max_connections) {
        tcp::socket socket(executor);
        acceptor.accept(socket, error);
        if (!error) {
            asio::co_spawn(executor, serve(std::move(socket)), asio::detached);
        }
    }
}

asio::awaitable<bool> http_server::state::serve_one(beast::tcp_stream& stream,
                                                    beast::flat_buffer& buffer)
{
    if (buffer.size() == 0) {
        idle.insert(&stream);
        stream.expires_after(stopping ? last_request_wait : limits.idle_timeout);
        const auto [error, bytes] =
            co_await stream.async_read_some(buffer.prepare(read_buffer_bytes), as_tuple);
        idle.erase(&stream);
        if (error) {
            co_return false;
        }
        buffer.commit(bytes);
    }
    ++busy;
    const scope_guard ended([this] { --busy; });
    http::request_parser<http::string_body> parser;
    parser.body_limit(limits.max_body_bytes);
    parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    stream.expires_never();
    std::optional<read_limit> limit(std::in_place, stream, limits.request_read_timeout);
    const auto [error, bytes] = co_await http::async_read(stream, buffer, parser, as_tuple);
    const bool too_slow = limit->passed();
    limit.reset();
    if (error) {
        if (too_slow) {
            co_await refuse(stream, bad_request::too_slow);
        }
        else if (!peer_closed(error)) {
            co_await refuse(stream, classify(error));
        }
        co_return false;
    }
    const bool keep_alive = parser.get().keep_alive();
    const unsigned version = parser.get().version();
    beast_exchange exchange(stream, to_plain(parser.release()), keep_alive && !stopping && !closing,
                            limits.write_timeout, version);
    co_await handler(exchange);
    if (!exchange.answered()) {
        http_reply missing;
        missing.status = 500;
        missing.body = R"({"error":{"message":"no answer was made"}})";
        co_await exchange.respond(std::move(missing));
    }
    co_return exchange.reusable();
}

asio::awaitable<void> http_server::state::refuse(beast::tcp_stream& stream, bad_request kind)
{
    beast_exchange exchange(stream, {}, false, limits.write_timeout);
    co_await exchange.respond(on_bad_request(kind));
    // Lets the answer reach a peer that is still sending, instead of a reset.
    error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream.expires_after(500ms);
    char discarded[4096];
    std::size_t left = 1U << 20U;
    while (left > 0) {
        const auto [failed, bytes] =
            co_await stream.async_read_some(asio::buffer(discarded), as_tuple);
        if (failed || bytes == 0) {
            break;
        }
        left -= std::min(left, bytes);
    }
}

http_server::http_server(asio::any_io_executor executor, http_handler handler, http_limits limits,
                         bad_request_hook on_bad_request)
    : state_(std::make_shared<state>(std::move(executor), std::move(handler), limits,
                                     std::move(on_bad_request)))
{
}

http_server::~http_server()
{
    stop_accepting();
}

bool http_server::listen(const std::string& address, std::uint16_t port)
{
    error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (error) {
        state_->last_reason = "not an IP number: " + address;
        return false;
    }
    const tcp::endpoint endpoint(ip, port);
    tcp::acceptor& acceptor = state_->acceptor;
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(4096, error);
    }
    if (error) {
        state_->last_reason =
            "can't listen on " + address + ":" + std::to_string(port) + ": " + error.message();
        return false;
    }
    asio::co_spawn(state_->executor, state_->accept_connections(), asio::detached);
    return true;
}

const std::string& http_server::last_reason() const
{
    return state_->last_reason;
}

std::uint16_t http_server::port() const
{
    error_code error;
    const auto local = state_->acceptor.local_endpoint(error);
    return error ? std::uint16_t{0} : local.port();
}

void http_server::set_limits(http_limits limits)
{
    state_->limits = limits;
}

void http_server::close_after_answers()
{
    state_->closing = true;
}

void http_server::stop_accepting()
{
    if (state_->stopping) {
        return;
    }
    state_->stopping = true;
    error_code ignored;
    if (state_->acceptor.is_open()) {
        state_->accept_waiting();
    }
    state_->acceptor.close(ignored);
    for (beast::tcp_stream* stream : state_->idle) {
        // A request that has arrived is read and answered.
        if (stream->socket().available(ignored) == 0) {
            stream->cancel();
        }
    }
}

asio::awaitable<void> http_server::wait_until_quiet()
{
    while (state_->busy > 0) {
        co_await sleep_for(10ms);
    }
}

std::size_t http_server::connections() const
{
    return state_->open;
}

std::size_t http_server::requests_in_progress() const
{
    return state_->busy;
}

} // namespace chervildyke
