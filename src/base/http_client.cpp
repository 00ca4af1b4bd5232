/** \file
 * Implements http_client over Boost.Beast.
 */
#include "base/http_client.h"

#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "base/http_head.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto as_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t read_chunk_bytes = 16U << 10U;
constexpr std::size_t max_buffer_bytes = 64U << 10U;
// Also of a streamed reply; http_call_options::max_body_bytes limits what call() returns.
constexpr std::uint64_t max_parsed_body_bytes = 256U << 20U;
// The same limit as http_limits::max_header_bytes.
constexpr std::uint32_t max_header_bytes = 32U << 10U;
// Of the interim replies and replies to other calls, with their heads, that are discarded before
// the reply to this call.
constexpr std::size_t max_discarded_bytes = 1U << 20U;

struct connection {
    explicit connection(const asio::any_io_executor& executor) : stream(executor) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_buffer_bytes};
    time_point expires_at = time_point::max(); // Not reused after this time: the peer closes it.
    time_point idle_since{};
    bool reused = false; // It was taken from the pool.
};

using connection_ptr = std::unique_ptr<connection>;

http_failure to_failure(const error_code& error, http_error otherwise, const std::string& address)
{
    const bool timed_out = error == beast::error::timeout;
    const http_error code =
        timed_out && otherwise != http_error::not_sent ? http_error::timed_out : otherwise;
    return {code, address + ": " + error.message()};
}

} // namespace

void http_cancel::cancel()
{
    cancelled_ = true;
    if (close_) {
        close_();
    }
}

void http_cancel::set_close_hook(std::function<void()> close)
{
    close_ = std::move(close);
    if (cancelled_ && close_) {
        close_();
    }
}

struct http_client::state : std::enable_shared_from_this<http_client::state> {
    asio::any_io_executor executor;
    std::size_t max_idle_per_address = 0;
    std::unordered_map<std::string, std::vector<connection_ptr>> idle_connections;

    connection_ptr take_idle(const std::string& address, duration max_idle_time);
    void return_to_pool(const std::string& address, connection_ptr used);
    asio::awaitable<http_result<connection_ptr>> connect(std::string address,
                                                         http_call_options options);
    asio::awaitable<error_code> try_connect(std::string address, duration timeout);

    /** Closes the idle connections to the address after a timeout, since their server may have
     * stopped responding too.
     */
    void close_idle_after_timeout(const std::string& address, const error_code& error)
    {
        if (error == beast::error::timeout) {
            idle_connections.erase(address);
        }
    }
};

connection_ptr http_client::state::take_idle(const std::string& address, duration max_idle_time)
{
    auto& pool = idle_connections[address];
    const time_point now = monotonic_clock::now();
    while (!pool.empty()) {
        connection_ptr candidate = std::move(pool.back());
        pool.pop_back();
        if (now - candidate->idle_since > max_idle_time || now >= candidate->expires_at) {
            continue;
        }
        error_code error;
        tcp::socket& socket = candidate->stream.socket();
        socket.non_blocking(true, error);
        char byte = 0;
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        if (error == asio::error::would_block) {
            return candidate; // It is open and holds no unexpected bytes.
        }
    }
    return nullptr;
}

void http_client::state::return_to_pool(const std::string& address, connection_ptr used)
{
    auto& pool = idle_connections[address];
    if (pool.size() < max_idle_per_address) {
        used->stream.expires_never();
        used->idle_since = monotonic_clock::now();
        pool.push_back(std::move(used));
    }
}

asio::awaitable<http_result<connection_ptr>> http_client::state::connect(std::string address,
                                                                         http_call_options options)
{
    if (!options.fresh_connection) {
        if (connection_ptr reused = take_idle(address, options.max_idle_time)) {
            reused->stream.expires_after(options.timeout);
            reused->reused = true;
            co_return reused;
        }
    }
    std::string ip;
    std::uint16_t port = 0;
    error_code error;
    if (!split_address(address, ip, port)) {
        co_return http_failure{http_error::not_sent,
                               "expected an address of the form ip:port, found \"" + address +
                                   "\""};
    }
    const auto ip_address = asio::ip::make_address(ip, error);
    if (error) {
        co_return http_failure{http_error::not_sent,
                               "expected an IP address before the port, found \"" + address + "\""};
    }
    auto made = std::make_unique<connection>(executor);
    if (!options.from_address.empty()) {
        const auto from = asio::ip::make_address(options.from_address, error);
        if (!error) {
            made->stream.socket().open(ip_address.is_v4() ? tcp::v4() : tcp::v6(), error);
            made->stream.socket().bind({from, 0}, error);
        }
    }
    if (options.cancel) {
        options.cancel->set_close_hook([opening = made.get()] { opening->stream.close(); });
    }
    made->stream.expires_after(std::min(options.timeout, options.connect_timeout));
    const auto [connect_error] =
        co_await made->stream.async_connect(tcp::endpoint(ip_address, port), as_tuple);
    if (options.cancel) {
        options.cancel->set_close_hook(nullptr);
    }
    if (connect_error) {
        idle_connections.erase(address);
        co_return to_failure(connect_error, http_error::not_sent, address);
    }
    made->stream.socket().set_option(tcp::no_delay(true), error);
    made->stream.expires_after(options.timeout);
    co_return made;
}

namespace {

class beast_stream : public http_stream {
  public:
    beast_stream(std::string address, connection_ptr used, std::shared_ptr<http_cancel> cancel,
                 std::function<void(connection_ptr)> return_to_pool)
        : address_(std::move(address)), connection_(std::move(used)), cancel_(std::move(cancel)),
          return_to_pool_(std::move(return_to_pool)), is_on_reused_connection_(connection_->reused)
    {
        if (cancel_) {
            cancel_->set_close_hook([open = connection_.get()] { open->stream.close(); });
        }
        reset_parser();
    }
    ~beast_stream() override { release_cancel(); }
    beast_stream(const beast_stream&) = delete;
    beast_stream& operator=(const beast_stream&) = delete;

    void reset_parser()
    {
        parser_.emplace();
        parser_->body_limit(max_parsed_body_bytes);
        parser_->header_limit(max_header_bytes);
    }

    asio::awaitable<error_code> read_header()
    {
        const auto [error, bytes] = co_await http::async_read_header(
            connection_->stream, connection_->buffer, *parser_, as_tuple);
        head_bytes_ = bytes;
        co_return error;
    }

    /** Reads the rest of a reply to another call, or of an interim one.
     * \param deadline the time by which the reply must have ended.
     * \return nothing if the connection can deliver another reply, else why it can't.
     */
    asio::awaitable<std::optional<http_failure>> discard_reply(time_point deadline)
    {
        discarded_bytes_ += head_bytes_;
        while (true) {
            if (discarded_bytes_ > max_discarded_bytes) {
                co_return unanswered("more than " + std::to_string(max_discarded_bytes) +
                                     " bytes of other replies");
            }
            // Replies that are always ready end each read before the connection's timer is seen.
            const duration left = deadline - monotonic_clock::now();
            if (left <= duration::zero()) {
                co_return http_failure{http_error::timed_out,
                                       address_ + ": expected the reply by the timeout, found " +
                                           std::to_string(discarded_bytes_) +
                                           " bytes of other replies"};
            }
            if (parser_->is_done()) {
                break;
            }
            auto part = co_await read_chunk(left);
            if (!part) {
                co_return unanswered("a part of another one");
            }
            discarded_bytes_ += part->size();
        }
        if (!parser_->keep_alive()) {
            co_return unanswered("only another one");
        }
        co_return std::nullopt;
    }

    unsigned status() const override { return parser_->get().result_int(); }

    std::string header(std::string_view name) const override
    {
        const auto found = parser_->get().find({name.data(), name.size()});
        return found == parser_->get().end() ? std::string() : std::string(found->value());
    }

    std::vector<http_header> headers() const override
    {
        std::vector<http_header> all;
        for (const auto& field : parser_->get()) {
            all.push_back({std::string(field.name_string()), std::string(field.value())});
        }
        return all;
    }

    bool is_on_reused_connection() const override { return is_on_reused_connection_; }

    asio::awaitable<http_result<std::string>> read_some(duration timeout) override
    {
        auto part = co_await read_chunk(timeout);
        const bool ended = part && parser_->is_done() && connection_;
        // Bytes after the reply belong to no call, so the next call must not read them.
        if (ended && parser_->keep_alive() && connection_->buffer.size() == 0) {
            release_cancel();
            const duration usable = keep_alive_timeout(header("keep-alive"));
            if (usable != duration::max()) {
                connection_->expires_at = monotonic_clock::now() + usable;
            }
            return_to_pool_(std::move(connection_));
        }
        co_return part;
    }

  private:
    http_failure unanswered(const std::string& found) const
    {
        return {http_error::unanswered,
                address_ + ": expected the reply to this request, found " + found};
    }

    asio::awaitable<http_result<std::string>> read_chunk(duration timeout)
    {
        const time_point deadline = monotonic_clock::now() + timeout;
        std::string part;
        while (part.empty() && !parser_->is_done()) {
            const duration left = deadline - monotonic_clock::now();
            if (left <= duration::zero()) {
                co_return to_failure(beast::error::timeout, http_error::broken, address_);
            }
            part.resize(read_chunk_bytes);
            parser_->get().body().data = part.data();
            parser_->get().body().size = part.size();
            parser_->get().body().more = true;
            connection_->stream.expires_after(left);
            auto [error, bytes] = co_await http::async_read_some(
                connection_->stream, connection_->buffer, *parser_, as_tuple);
            if (error && error != http::error::need_buffer) {
                co_return to_failure(error, http_error::broken, address_);
            }
            part.resize(part.size() - parser_->get().body().size);
        }
        co_return part;
    }

    void release_cancel()
    {
        if (cancel_) {
            cancel_->set_close_hook(nullptr);
            cancel_ = nullptr;
        }
    }

    std::string address_;
    connection_ptr connection_;
    std::shared_ptr<http_cancel> cancel_;
    std::function<void(connection_ptr)> return_to_pool_;
    bool is_on_reused_connection_;
    std::size_t head_bytes_ = 0; // Of the last head that was read.
    std::size_t discarded_bytes_ = 0;
    std::optional<http::response_parser<http::buffer_body>> parser_;
};

} // namespace

http_client::http_client(asio::any_io_executor executor, std::size_t max_idle_per_address)
    : state_(std::make_shared<state>())
{
    state_->executor = std::move(executor);
    state_->max_idle_per_address = max_idle_per_address;
}

http_client::~http_client() = default;

void http_client::close_idle_connections(const std::string& address)
{
    state_->idle_connections.erase(address);
}

/** Connects to an address and closes the connection.
 * \return the error of the attempt; invalid_argument for an address of another form.
 */
asio::awaitable<error_code> http_client::state::try_connect(std::string address, duration timeout)
{
    std::string ip;
    std::uint16_t port = 0;
    error_code error = asio::error::invalid_argument;
    if (!split_address(address, ip, port)) {
        co_return error;
    }
    const auto ip_address = asio::ip::make_address(ip, error);
    if (error) {
        co_return error;
    }
    beast::tcp_stream stream(executor);
    stream.expires_after(timeout);
    const auto [failed] = co_await stream.async_connect(tcp::endpoint(ip_address, port), as_tuple);
    co_return failed;
}

asio::awaitable<bool> http_client::refuses_connections(std::string address, duration timeout)
{
    const auto self = state_;
    const error_code error = co_await self->try_connect(std::move(address), timeout);
    co_return error == asio::error::connection_refused;
}

asio::awaitable<bool> http_client::accepts_connections(std::string address, duration timeout)
{
    const auto self = state_;
    const error_code error = co_await self->try_connect(std::move(address), timeout);
    co_return !error;
}

asio::awaitable<http_result<std::shared_ptr<http_stream>>>
http_client::open(std::string address, http_request request, http_call_options options)
{
    const auto self = state_;
    const time_point deadline = monotonic_clock::now() + options.timeout;
    auto connected = co_await self->connect(address, options);
    if (!connected) {
        co_return connected.failure();
    }
    connection_ptr used = std::move(*connected);
    if (options.cancel && options.cancel->cancelled()) {
        co_return http_failure{http_error::not_sent,
                               address + ": the call was cancelled before the request was sent"};
    }
    if (options.should_send && !options.should_send()) {
        self->return_to_pool(address, std::move(used));
        co_return http_failure{http_error::not_sent,
                               address + ": the request was withdrawn before it was sent"};
    }
    const auto message = to_message(address, std::move(request));
    if (options.cancel) {
        options.cancel->set_close_hook([open = used.get()] { open->stream.close(); });
    }
    const auto [error, bytes] = co_await http::async_write(used->stream, message, as_tuple);
    if (options.cancel) {
        options.cancel->set_close_hook(nullptr);
    }
    if (error) {
        self->close_idle_after_timeout(address, error);
        co_return to_failure(error, bytes == 0 ? http_error::not_sent : http_error::unanswered,
                             address);
    }
    const auto return_to_pool = [self, address](connection_ptr done) {
        self->return_to_pool(address, std::move(done));
    };
    auto stream =
        std::make_shared<beast_stream>(address, std::move(used), options.cancel, return_to_pool);
    while (true) {
        if (const error_code header_error = co_await stream->read_header()) {
            self->close_idle_after_timeout(address, header_error);
            co_return to_failure(header_error, http_error::unanswered, address);
        }
        if (!is_reply_status(stream->status())) {
            co_return http_failure{http_error::unanswered, address + ": found the status " +
                                                               std::to_string(stream->status()) +
                                                               ", which is none"};
        }
        const bool is_interim =
            http::to_status_class(stream->status()) == http::status_class::informational;
        if (!is_interim &&
            (!options.matches_request || options.matches_request(stream->headers()))) {
            co_return std::shared_ptr<http_stream>(std::move(stream));
        }
        if (const auto failed = co_await stream->discard_reply(deadline)) {
            co_return *failed;
        }
        stream->reset_parser();
    }
}

asio::awaitable<http_result<http_reply>>
http_client::call(std::string address, http_request request, http_call_options options)
{
    const time_point end = monotonic_clock::now() + options.timeout;
    const std::size_t max_bytes = options.max_body_bytes;
    auto opened = co_await open(address, std::move(request), options);
    if (!opened) {
        co_return opened.failure();
    }
    http_stream& stream = **opened;
    http_reply reply;
    reply.status = stream.status();
    reply.content_type = stream.header("content-type");
    reply.headers = stream.headers();
    while (true) {
        const duration left = end - monotonic_clock::now();
        if (left <=
            duration::zero()) { // Otherwise bytes that are always ready outlast any timeout.
            co_return http_failure{http_error::timed_out,
                                   address +
                                       ": expected the end of the reply by the timeout, found " +
                                       std::to_string(reply.body.size()) + " bytes of its body"};
        }
        auto part = co_await stream.read_some(left);
        if (!part) {
            co_return part.failure();
        }
        if (part->empty()) {
            co_return reply;
        }
        reply.body += *part;
        if (reply.body.size() > max_bytes) {
            co_return http_failure{http_error::broken,
                                   address + ": expected a reply body of at most " +
                                       std::to_string(max_bytes) + " bytes, found a longer one"};
        }
    }
}

asio::awaitable<http_result<http_reply>> http_client::call(std::string address,
                                                           http_request request)
{
    const http_call_options options;
    co_return co_await call(std::move(address), std::move(request), options);
}

asio::awaitable<http_result<std::shared_ptr<http_stream>>> http_client::open(std::string address,
                                                                             http_request request)
{
    const http_call_options options;
    co_return co_await open(std::move(address), std::move(request), options);
}

} // namespace chervildyke
