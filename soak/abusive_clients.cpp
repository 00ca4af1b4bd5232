/** \file
 * Implements abusive_clients.
 */
#include "soak/abusive_clients.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>
#include <utility>

#include <boost/asio.hpp>

#include "base/clock.h"
#include "base/http_client.h"
#include "base/scope_guard.h"

namespace chervildyke::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto as_tuple = asio::as_tuple(asio::use_awaitable);
constexpr duration poll_interval = 20ms;
constexpr duration send_timeout = 60s;
constexpr std::size_t write_bytes = 65'536; // Small chunks are sent many in one write.
constexpr std::size_t discard_bytes = 4096;

std::string make_head(const abusive_request& request)
{
    std::string head = "POST " + request.target + " HTTP/1.1\r\nHost: soak.example\r\n";
    if (request.head_bytes > 0) {
        head += "X-Padding: " + std::string(request.head_bytes, 'p') + "\r\n";
    }
    if (!request.completes_head) {
        return head;
    }
    head += request.announced_bytes > 0
                ? "Content-Length: " + std::to_string(request.announced_bytes) + "\r\n"
                : "Transfer-Encoding: chunked\r\n";
    return head + "\r\n";
}

/** \return the bytes on the wire of the next part of a body. */
std::string make_part(const abusive_request& request, std::size_t& left)
{
    std::string part;
    do {
        const std::size_t size = std::min(left, request.chunk_bytes);
        left -= size;
        if (request.announced_bytes == 0) {
            std::array<char, 24> line{};
            std::snprintf(line.data(), line.size(), "%zx\r\n", size);
            part += line.data();
        }
        part.append(size, 'b');
        part += request.announced_bytes == 0 ? "\r\n" : "";
    } while (left > 0 && part.size() < write_bytes);
    return part;
}

} // namespace

struct abusive_clients::state {
    asio::any_io_executor executor;
    std::set<tcp::socket*> open;
    std::size_t sending = 0;
    std::size_t holding = 0;

    static asio::awaitable<bool> send(tcp::socket& socket, const abusive_request& request);
    static asio::awaitable<void> run(std::shared_ptr<state> self, abusive_request request);
};

/** \return false if the connection was lost. */
asio::awaitable<bool> abusive_clients::state::send(tcp::socket& socket,
                                                   const abusive_request& request)
{
    const std::string head = make_head(request);
    const auto [head_error, head_bytes] =
        co_await asio::async_write(socket, asio::buffer(head), as_tuple);
    std::size_t left = request.completes_head ? request.sent_bytes : 0;
    bool lost = static_cast<bool>(head_error);
    while (!lost && left > 0) {
        const std::string part = make_part(request, left);
        const auto [error, bytes] =
            co_await asio::async_write(socket, asio::buffer(part), as_tuple);
        lost = static_cast<bool>(error);
    }
    co_return !lost;
}

asio::awaitable<void> abusive_clients::state::run(std::shared_ptr<state> self,
                                                  abusive_request request)
{
    ++self->sending;
    bool sent = false;
    tcp::socket socket(self->executor);
    self->open.insert(&socket);
    const scope_guard closed([&] {
        self->open.erase(&socket);
        self->sending -= sent ? 0 : 1;
        self->holding -= sent ? 1 : 0;
    });
    std::string ip;
    std::uint16_t port = 0;
    if (!split_address(request.address, ip, port)) {
        co_return;
    }
    const tcp::endpoint server(asio::ip::make_address(ip), port);
    const auto [error] = co_await socket.async_connect(server, as_tuple);
    if (error) {
        co_return;
    }
    const bool all_sent = co_await send(socket, request);
    if (!all_sent) {
        co_return;
    }
    sent = true;
    --self->sending;
    ++self->holding;
    std::array<char, discard_bytes> reply{};
    while (true) {
        const auto [read_error, bytes] =
            co_await socket.async_read_some(asio::buffer(reply), as_tuple);
        if (read_error) {
            co_return;
        }
    }
}

abusive_clients::abusive_clients(asio::any_io_executor executor) : state_(std::make_shared<state>())
{
    state_->executor = std::move(executor);
}

abusive_clients::~abusive_clients()
{
    disconnect();
}

void abusive_clients::start(std::size_t count, const abusive_request& request)
{
    for (std::size_t i = 0; i < count; ++i) {
        asio::co_spawn(state_->executor, state::run(state_, request), asio::detached);
    }
}

asio::awaitable<bool> abusive_clients::wait_until_sent() const
{
    const time_point deadline = monotonic_clock::now() + send_timeout;
    do {
        co_await sleep_for(poll_interval);
    } while (state_->sending > 0 && monotonic_clock::now() < deadline);
    co_return state_->sending == 0;
}

void abusive_clients::disconnect()
{
    for (tcp::socket* socket : state_->open) {
        boost::system::error_code ignored;
        socket->close(ignored);
    }
}

std::size_t abusive_clients::holding() const
{
    return state_->holding;
}

} // namespace chervildyke::soak
