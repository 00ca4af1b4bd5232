/** \file
 * Implements the proxy: two tasks for each connection, one for each way.
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

constexpr std::size_t piece_bytes = 16'384; // Read at once.
constexpr duration cut_poll = 10ms;         // How often a held piece looks whether the cut ended.

/** Both sockets of one connection. */
struct joined_pair {
    explicit joined_pair(tcp::socket connecting)
        : front(std::move(connecting)), back(front.get_executor())
    {
    }

    tcp::socket front;
    tcp::socket back;
    bool silent = false;
    bool closed = false;

    void reset()
    {
        closed = true;
        for (tcp::socket* socket : {&front, &back}) {
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
    std::list<std::weak_ptr<joined_pair>> pairs;

    template <typename Action>
    void for_open(const Action& action)
    {
        for (const auto& weak : pairs) {
            if (const auto pair = weak.lock()) {
                action(*pair);
            }
        }
        pairs.remove_if([](const auto& weak) { return weak.expired(); });
    }

    asio::awaitable<void> pass(std::shared_ptr<joined_pair> pair, bool forward)
    {
        tcp::socket& from = forward ? pair->front : pair->back;
        tcp::socket& to = forward ? pair->back : pair->front;
        std::array<char, piece_bytes> piece{};
        while (!pair->closed) {
            error_code error;
            auto token = asio::redirect_error(asio::use_awaitable, error);
            const auto room = asio::buffer(piece);
            const std::size_t size = co_await from.async_read_some(room, token);
            if (pair->silent && !error) {
                continue;
            }
            if (faults.delay > duration::zero()) {
                co_await sleep_for(faults.delay);
            }
            while ((forward ? faults.cut_forward : faults.cut_backward) && !pair->closed) {
                co_await sleep_for(cut_poll);
            }
            if (pair->silent) {
                continue;
            }
            if (error == asio::error::eof) {
                error_code ignored; // The other side may be gone as well.
                to.shutdown(tcp::socket::shutdown_send, ignored);
                co_return;
            }
            if (error) {
                pair->reset();
                co_return;
            }
            const auto bytes = asio::buffer(piece.data(), size);
            co_await asio::async_write(to, bytes, token);
            if (error) {
                pair->reset();
                co_return;
            }
        }
    }

    asio::awaitable<void> join(std::shared_ptr<joined_pair> pair)
    {
        std::string ip;
        std::uint16_t port = 0;
        if (faults.refuses || !split_address(target, ip, port)) {
            pair->reset();
            co_return;
        }
        error_code error;
        auto token = asio::redirect_error(asio::use_awaitable, error);
        const tcp::endpoint endpoint(asio::ip::make_address(ip), port);
        co_await pair->back.async_connect(endpoint, token);
        if (error || pair->closed) {
            pair->reset();
            co_return;
        }
        pair->front.set_option(tcp::no_delay(true), error);
        pair->back.set_option(tcp::no_delay(true), error);
        const auto self = shared_from_this();
        asio::co_spawn(executor, self->pass(pair, true), asio::detached);
        asio::co_spawn(executor, self->pass(pair, false), asio::detached);
    }

    asio::awaitable<void> accept()
    {
        const auto self = shared_from_this();
        while (acceptor.is_open()) {
            error_code error;
            auto token = asio::redirect_error(asio::use_awaitable, error);
            tcp::socket socket = co_await acceptor.async_accept(token);
            if (error) {
                continue;
            }
            const auto pair = std::make_shared<joined_pair>(std::move(socket));
            pairs.remove_if([](const auto& weak) { return weak.expired(); });
            pairs.push_back(pair);
            asio::co_spawn(executor, join(pair), asio::detached);
        }
    }
};

link_proxy::link_proxy(asio::any_io_executor executor)
    : state_(std::make_shared<state>(std::move(executor)))
{
}

link_proxy::~link_proxy()
{
    error_code ignored; // Closing tells the accepting task to end.
    state_->acceptor.close(ignored);
    reset_open();
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
    asio::co_spawn(state_->executor, state_->accept(), asio::detached);
    return !error;
}

void link_proxy::set_target(const std::string& address)
{
    state_->target = address;
}

link_faults& link_proxy::faults()
{
    return state_->faults;
}

void link_proxy::reset_open()
{
    state_->for_open([](joined_pair& pair) { pair.reset(); });
}

void link_proxy::silence_open()
{
    state_->for_open([](joined_pair& pair) { pair.silent = true; });
}

} // namespace chervildyke::soak
