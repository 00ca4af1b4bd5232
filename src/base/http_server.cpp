/** \file
 * Implements http_server over Boost.Beast.
 */
#include "base/http_server.h"

#include <algorithm>
#include <exception>
#include <optional>
#include <unordered_map>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>

#include "base/beast_exchange.h"
#include "base/byte_budget.h"
#include "base/connection_set.h"
#include "base/event_log.h"
#include "base/read_timer.h"
#include "base/refused_requests.h"
#include "base/request_memory.h"
#include "base/request_reader.h"
#include "base/scope_guard.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

const event_log server_log("server");

constexpr auto as_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t first_read_bytes = 2U << 10U; // Most heads; an idle connection holds it.
// The wait for the first request of a connection that is accepted while the server stops. It covers
// the round trip of most clients.
constexpr duration first_request_timeout = 300ms;
constexpr duration accept_retry_delay = 10ms;
constexpr duration drain_poll_interval = 10ms;
constexpr duration discard_timeout = 500ms; // Of all reads of discarded bytes together.
constexpr std::size_t max_discarded_bytes = 1U << 20U;
constexpr std::size_t discard_buffer_bytes = 4096;
constexpr std::size_t max_refused_connections = 64; // At once; further ones are closed at once.
constexpr int listen_backlog = 4096;                // Connections that are not accepted yet.

/** The wait of a connection for its next request. */
struct idle_period {
    time_point since{};
    time_point until{}; // Closed then.
};

} // namespace

http_reply default_bad_request_reply(bad_request kind)
{
    http_reply reply;
    reply.status = kind == bad_request::body_too_large         ? 413
                   : kind == bad_request::header_too_large     ? 431
                   : kind == bad_request::too_slow             ? 408
                   : kind == bad_request::too_many_connections ? 503
                   : kind == bad_request::no_memory            ? 503
                                                               : 400;
    reply.body = R"({"error":{"message":"the request could not be read"}})";
    return reply;
}

http_limits small_port_limits()
{
    http_limits limits;
    limits.max_body_bytes = 64U << 10U;
    limits.max_connections = 128;
    limits.max_request_memory = 2U << 20U;
    return limits;
}

struct http_server::state : std::enable_shared_from_this<http_server::state> {
    state(asio::any_io_executor executor_in, http_handler handler_in, http_limits limits_in,
          bad_request_hook hook)
        : executor(std::move(executor_in)), handler(std::move(handler_in)), limits(limits_in),
          on_bad_request(hook ? std::move(hook) : bad_request_hook(default_bad_request_reply)),
          acceptor(executor), memory(memory_of(limits))
    {
    }

    /** \return the size of the budget for requests. */
    static std::size_t memory_of(const http_limits& limits)
    {
        return std::max(limits.max_request_memory, largest_request_charge(limits));
    }

    asio::any_io_executor executor;
    http_handler handler;
    http_limits limits;
    bad_request_hook on_bad_request;
    tcp::acceptor acceptor;
    std::string last_reason;
    std::unordered_map<beast::tcp_stream*, idle_period*> idle_connections;
    connection_set open_connections;
    byte_budget memory;
    refused_requests refused;
    std::size_t refused_connections = 0; // Open beyond the limit, for their refusal.
    std::size_t active_requests = 0;     // The first byte was read and the reply is not complete.
    bool stopping = false;
    bool keep_alive_disabled = false; // Each connection closes after its next reply.

    asio::awaitable<void> accept_connections();
    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<void> refuse(tcp::socket socket);
    void accept_pending();
    static std::string address_of(const tcp::socket& socket);
    static bool has_pending_bytes(beast::tcp_stream& stream, const beast::flat_buffer& buffer);
    asio::awaitable<bool> wait_for_request(beast::tcp_stream& stream, beast::flat_buffer& buffer);
    asio::awaitable<bool> serve_request(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                        connection_set::entry& connection);
    asio::awaitable<bool> answer(beast_exchange& exchange, beast::tcp_stream& stream,
                                 const beast::flat_buffer& buffer);
    asio::awaitable<std::optional<std::string>> run_handler(http_exchange& exchange);
    asio::awaitable<void> reject(beast::tcp_stream& stream, bad_request kind, std::string address);
    static asio::awaitable<void> close_gracefully(beast::tcp_stream& stream);
};

/** \return the IP address of the client. */
std::string http_server::state::address_of(const tcp::socket& socket)
{
    error_code error;
    const auto peer = socket.remote_endpoint(error);
    return error ? std::string() : peer.address().to_string();
}

asio::awaitable<void> http_server::state::accept_connections()
{
    const auto self = shared_from_this();
    while (!stopping) {
        auto [error, socket] = co_await acceptor.async_accept(as_tuple);
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            co_await sleep_for(accept_retry_delay); // Most likely no file descriptor is free.
            continue;
        }
        if (open_connections.size() >= limits.max_connections && !open_connections.make_room()) {
            if (refused_connections < max_refused_connections) {
                asio::co_spawn(executor, refuse(std::move(socket)), asio::detached);
            }
            continue; // Else the socket is closed on destruction.
        }
        asio::co_spawn(executor, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> http_server::state::serve(tcp::socket socket)
{
    const auto self = shared_from_this();
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const std::string address = address_of(socket);
    beast::tcp_stream stream(std::move(socket));
    connection_set::entry connection(open_connections, address, [this, &stream, &address] {
        error_code close_error;
        stream.socket().close(close_error);
        refused.note(bad_request::connection_displaced, address);
    });
    beast::flat_buffer buffer;
    bool reusable = true;
    while (reusable) {
        reusable = co_await serve_request(stream, buffer, connection);
        reusable = reusable && (!stopping || has_pending_bytes(stream, buffer));
    }
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

/** Refuses the first request of a connection over the limit. */
asio::awaitable<void> http_server::state::refuse(tcp::socket socket)
{
    const auto self = shared_from_this();
    ++refused_connections;
    const scope_guard closed([this] { --refused_connections; });
    beast::tcp_stream stream(std::move(socket));
    char begin[discard_buffer_bytes];
    // A reply without a request would belong to none.
    stream.expires_after(first_request_timeout);
    const auto [error, bytes] = co_await stream.async_read_some(asio::buffer(begin), as_tuple);
    if (!error) {
        co_await reject(stream, bad_request::too_many_connections, address_of(stream.socket()));
    }
}

/** \return true if a request or a part of one has arrived. */
bool http_server::state::has_pending_bytes(beast::tcp_stream& stream,
                                           const beast::flat_buffer& buffer)
{
    error_code error;
    return buffer.size() > 0 || (stream.socket().available(error) > 0 && !error);
}

/** Accepts the connections in the backlog, which closing the acceptor would reset. */
void http_server::state::accept_pending()
{
    error_code error;
    acceptor.non_blocking(true, error);
    while (!error && open_connections.size() < limits.max_connections) {
        tcp::socket socket(executor);
        acceptor.accept(socket, error);
        if (!error) {
            asio::co_spawn(executor, serve(std::move(socket)), asio::detached);
        }
    }
}

/** Reads the first bytes of the next request.
 * \return false if none arrived in time, or if the peer or the server closes the connection.
 */
asio::awaitable<bool> http_server::state::wait_for_request(beast::tcp_stream& stream,
                                                           beast::flat_buffer& buffer)
{
    const time_point since = monotonic_clock::now();
    idle_period period{since, since + (stopping ? first_request_timeout : limits.idle_timeout)};
    idle_connections[&stream] = &period;
    const scope_guard ended([this, &stream] { idle_connections.erase(&stream); });
    stream.expires_never();
    while (true) {
        const duration left = period.until - monotonic_clock::now();
        std::optional<read_timer> wait(std::in_place, stream, left);
        const auto [error, bytes] =
            co_await stream.async_read_some(buffer.prepare(first_read_bytes), as_tuple);
        const bool expired = wait->expired();
        wait.reset();
        if (!error) {
            buffer.commit(bytes);
            co_return true;
        }
        if (error != asio::error::operation_aborted) {
            co_return false;
        }
        // Bytes may have arrived before the event loop ran the timer.
        const bool prolonged = expired && monotonic_clock::now() < period.until;
        if (!prolonged && !has_pending_bytes(stream, buffer)) {
            co_return false;
        }
    }
}

asio::awaitable<bool> http_server::state::serve_request(beast::tcp_stream& stream,
                                                        beast::flat_buffer& buffer,
                                                        connection_set::entry& connection)
{
    connection.set_waiting(true);
    if (buffer.size() == 0) {
        const bool begins = co_await wait_for_request(stream, buffer);
        if (!begins) {
            co_return false;
        }
    }
    ++active_requests;
    const scope_guard ended([this] { --active_requests; });
    // The limits may have changed since the connection was accepted.
    buffer.max_size(std::max(buffer.size(), max_buffered_bytes(limits)));
    std::optional<request_memory> held(std::in_place, memory, connection.address(),
                                       [&stream] { stream.cancel(); });
    incoming_request incoming = co_await read_request(stream, buffer, limits, *held);
    if (connection.displaced()) {
        co_return false;
    }
    if (!incoming.request) {
        // Otherwise the memory would be held, and could end the refusal when it is taken away.
        buffer = beast::flat_buffer();
        held.reset();
        if (incoming.refused) {
            co_await reject(stream, *incoming.refused, connection.address());
        }
        co_return false;
    }
    connection.set_waiting(false);
    const bool keep_alive = incoming.keep_alive;
    beast_exchange exchange(
        stream, std::move(*incoming.request),
        [this, keep_alive] { return keep_alive && !stopping && !keep_alive_disabled; },
        limits.write_timeout, incoming.version);
    co_return co_await answer(exchange, stream, buffer);
}

/** Runs the handler and makes sure of a reply.
 * \return true if the connection can carry another request.
 */
asio::awaitable<bool> http_server::state::answer(beast_exchange& exchange,
                                                 beast::tcp_stream& stream,
                                                 const beast::flat_buffer& buffer)
{
    const std::optional<std::string> thrown = co_await run_handler(exchange);
    if (thrown) {
        server_log.write("handler_failed", {{"method", exchange.request().method},
                                            {"path", std::string(exchange.request().path())},
                                            {"replied", exchange.answered() ? "yes" : "no"},
                                            {"reason", *thrown}});
        exchange.close_after_reply();
    }
    if (!exchange.answered()) {
        http_reply missing;
        missing.status = 500;
        missing.body = thrown ? R"({"error":{"message":"the handler failed"}})"
                              : R"({"error":{"message":"the handler sent no reply"}})";
        co_await exchange.respond(std::move(missing));
    }
    else if (thrown && !exchange.reply_is_complete()) {
        exchange.abort();
    }
    if (!exchange.reusable() && exchange.reply_is_complete() && has_pending_bytes(stream, buffer)) {
        co_await close_gracefully(stream);
    }
    co_return exchange.reusable();
}

/** Runs the handler on a request that was read.
 * \return what the handler threw, if it threw.
 */
asio::awaitable<std::optional<std::string>> http_server::state::run_handler(http_exchange& exchange)
{
    try {
        co_await handler(exchange);
    }
    catch (const std::exception& error) {
        co_return std::string(error.what());
    }
    co_return std::nullopt;
}

asio::awaitable<void> http_server::state::reject(beast::tcp_stream& stream, bad_request kind,
                                                 std::string address)
{
    refused.note(kind, address);
    beast_exchange exchange(
        stream, {}, [] { return false; }, limits.write_timeout);
    co_await exchange.respond(on_bad_request(kind));
    co_await close_gracefully(stream);
}

/** Closes the connection so that the peer can read the last reply. */
asio::awaitable<void> http_server::state::close_gracefully(beast::tcp_stream& stream)
{
    // Closing a socket with unread bytes resets the connection, and a peer that is still sending
    // might not receive the reply. Therefore the rest of the request is read and discarded.
    error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream.expires_after(discard_timeout);
    char discarded[discard_buffer_bytes];
    std::size_t left = max_discarded_bytes;
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
        state_->last_reason = "expected an IP address to listen on, found \"" + address + "\"";
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
        acceptor.listen(listen_backlog, error);
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
    state_->memory.set_max_bytes(state::memory_of(limits));
    if (state_->stopping) {
        return;
    }
    for (const auto& [stream, period] : state_->idle_connections) {
        period->until = std::max(period->until, period->since + limits.idle_timeout);
    }
}

void http_server::disable_keep_alive()
{
    state_->keep_alive_disabled = true;
}

void http_server::stop_accepting()
{
    if (state_->stopping) {
        return;
    }
    state_->stopping = true;
    error_code ignored;
    for (const auto& [stream, period] : state_->idle_connections) {
        // A request that has arrived is still read and answered.
        if (stream->socket().available(ignored) == 0) {
            stream->cancel();
        }
    }
    // After that, since the connections accepted now wait for their first request at once.
    if (state_->acceptor.is_open()) {
        state_->accept_pending();
    }
    state_->acceptor.close(ignored);
}

asio::awaitable<void> http_server::wait_until_drained()
{
    while (state_->active_requests > 0) {
        co_await sleep_for(drain_poll_interval);
    }
}

void http_server::set_refusal_hook(std::function<void(bad_request)> on_refused)
{
    state_->refused.on_refused = std::move(on_refused);
}

std::size_t http_server::request_bytes_available() const
{
    return state_->memory.available_bytes();
}

std::size_t http_server::connections() const
{
    return state_->open_connections.size();
}

std::size_t http_server::requests_in_progress() const
{
    return state_->active_requests;
}

} // namespace chervildyke
