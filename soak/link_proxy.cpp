/** \file
 * Implements link_proxy with two tasks for each connection, one for each direction.
 */
#include "soak/link_proxy.h"

#include <array>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "base/http_client.h"

namespace chervildyke::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

constexpr std::size_t buffer_bytes = 16'384;
constexpr duration block_poll_interval = 10ms; // While a chunk is held back.

/** One connection through the proxy. */
struct proxied_connection {
    explicit proxied_connection(tcp::socket connecting)
        : client(std::move(connecting)), server(client.get_executor())
    {
    }

    tcp::socket client;
    tcp::socket server;
    bool blackholed = false;
    bool closed = false;

    void reset()
    {
        closed = true;
        for (tcp::socket* socket : {&client, &server}) {
            error_code ignored; // The socket may be closed already.
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }
};

} // namespace

struct link_proxy::state : std::enable_shared_from_this<link_proxy::state> {
    explicit state(asio::any_io_executor given) : executor(std::move(given)), acceptor(executor) {}

    asio::any_io_executor executor;
    tcp::acceptor acceptor;
    std::string target;
    link_faults faults;
    std::list<std::weak_ptr<proxied_connection>> connections;

    template <typename Action>
    void for_each_open(const Action& action)
    {
        for (const auto& weak : connections) {
            if (const auto connection = weak.lock()) {
                action(*connection);
            }
        }
        connections.remove_if([](const auto& weak) { return weak.expired(); });
    }

    asio::awaitable<void> forward_bytes(std::shared_ptr<proxied_connection> connection,
                                        bool forward)
    {
        tcp::socket& from = forward ? connection->client : connection->server;
        tcp::socket& to = forward ? connection->server : connection->client;
        std::array<char, buffer_bytes> buffer{};
        while (!connection->closed) {
            error_code error;
            auto token = asio::redirect_error(asio::use_awaitable, error);
            const auto free_space = asio::buffer(buffer);
            const std::size_t size = co_await from.async_read_some(free_space, token);
            if (connection->blackholed && !error) {
                continue;
            }
            if (faults.delay > duration::zero()) {
                co_await sleep_for(faults.delay);
            }
            while ((forward ? faults.forward_blocked : faults.backward_blocked) &&
                   !connection->closed) {
                co_await sleep_for(block_poll_interval);
            }
            if (connection->blackholed) {
                continue;
            }
            if (error == asio::error::eof) {
                error_code ignored; // The other side may be gone as well.
                to.shutdown(tcp::socket::shutdown_send, ignored);
                co_return;
            }
            if (error) {
                connection->reset();
                co_return;
            }
            const auto bytes = asio::buffer(buffer.data(), size);
            co_await asio::async_write(to, bytes, token);
            if (error) {
                connection->reset();
                co_return;
            }
        }
    }

    asio::awaitable<void> connect_to_target(std::shared_ptr<proxied_connection> connection)
    {
        std::string ip;
        std::uint16_t port = 0;
        if (faults.resets_new_connections || !split_address(target, ip, port)) {
            connection->reset();
            co_return;
        }
        error_code error;
        auto token = asio::redirect_error(asio::use_awaitable, error);
        const tcp::endpoint endpoint(asio::ip::make_address(ip), port);
        co_await connection->server.async_connect(endpoint, token);
        if (error || connection->closed) {
            connection->reset();
            co_return;
        }
        connection->client.set_option(tcp::no_delay(true), error);
        connection->server.set_option(tcp::no_delay(true), error);
        const auto self = shared_from_this();
        asio::co_spawn(executor, self->forward_bytes(connection, true), asio::detached);
        asio::co_spawn(executor, self->forward_bytes(connection, false), asio::detached);
    }

    asio::awaitable<void> accept_connections()
    {
        const auto self = shared_from_this();
        while (acceptor.is_open()) {
            error_code error;
            auto token = asio::redirect_error(asio::use_awaitable, error);
            tcp::socket socket = co_await acceptor.async_accept(token);
            if (error) {
                continue;
            }
            const auto connection = std::make_shared<proxied_connection>(std::move(socket));
            connections.remove_if([](const auto& weak) { return weak.expired(); });
            connections.push_back(connection);
            asio::co_spawn(executor, connect_to_target(connection), asio::detached);
        }
    }
};

link_proxy::link_proxy(asio::any_io_executor executor)
    : state_(std::make_shared<state>(std::move(executor)))
{
}

link_proxy::~link_proxy()
{
    stop_listening();
    reset_open_connections();
}

bool link_proxy::listen(const std::string& ip, std::uint16_t port)
{
    error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(ip, error), port);
    state_->acceptor.open(endpoint.protocol(), error);
    state_->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    state_->acceptor.bind(endpoint, error);
    if (error) {
        return false;
    }
    state_->acceptor.listen(asio::socket_base::max_listen_connections, error);
    asio::co_spawn(state_->executor, state_->accept_connections(), asio::detached);
    return !error;
}

void link_proxy::stop_listening()
{
    error_code ignored; // Closing the acceptor ends the accepting task.
    state_->acceptor.close(ignored);
}

bool link_proxy::listening() const
{
    return state_->acceptor.is_open();
}

void link_proxy::set_target(const std::string& address)
{
    state_->target = address;
}

link_faults& link_proxy::faults()
{
    return state_->faults;
}

void link_proxy::reset_open_connections()
{
    state_->for_each_open([](proxied_connection& connection) { connection.reset(); });
}

void link_proxy::blackhole_open_connections()
{
    state_->for_each_open([](proxied_connection& connection) { connection.blackholed = true; });
}

} // namespace chervildyke::soak
