/** \file
 * Implements http_client over Boost.Beast.
 */
#include "base/http_client.h"

#include <charconv>
#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace chervildyke {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto as_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t body_part_bytes = 16U << 10U;
constexpr std::uint64_t max_body_bytes = 256U << 20U;
constexpr std::uint32_t max_head_bytes = 32U << 10U; // As much as is taken from callers.
constexpr std::size_t max_foreign_bytes = 1U << 20U; // Of answers to other calls, before one's own.

struct connection {
    explicit connection(const asio::any_io_executor& executor) : stream(executor) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer{64U << 10U};
    time_point unusable_at = time_point::max(); // The peer closes it then.
    time_point kept_at{};
};

using connection_ptr = std::unique_ptr<connection>;

http::request<http::string_body> to_message(const std::string& address, http_request&& request)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (const http_header& header : request.headers) {
        message.insert(header.name, header.value);
    }
    if (message.find(http::field::host) == message.end()) {
        message.set(http::field::host, address);
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

http_failure failed(const error_code& error, http_error otherwise, const std::string& address)
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

void http_cancel::set_close(std::function<void()> close)
{
    close_ = std::move(close);
    if (cancelled_ && close_) {
        close_();
    }
}

bool split_address(const std::string& address, std::string& ip, std::uint16_t& port)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    ip = address.substr(0, colon);
    const char* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    return parsed.ec == std::errc() && parsed.ptr == end && !ip.empty();
}

struct http_client::state : std::enable_shared_from_this<http_client::state> {
    asio::any_io_executor executor;
    std::size_t kept_per_address = 0;
    std::unordered_map<std::string, std::vector<connection_ptr>> kept;

    connection_ptr take(const std::string& address, duration max_idle);
    void keep(const std::string& address, connection_ptr used);
    asio::awaitable<http_result<connection_ptr>> connect(std::string address,
                                                         http_call_options options);

    /** After a timeout the other connections kept to the address may be silent too. */
    void forget_if_silent(const std::string& address, const error_code& error)
    {
        if (error == beast::error::timeout) {
            kept.erase(address);
        }
    }
};

connection_ptr http_client::state::take(const std::string& address, duration max_idle)
{
    auto& pool = kept[address];
    const time_point now = monotonic_clock::now();
    while (!pool.empty()) {
        connection_ptr candidate = std::move(pool.back());
        pool.pop_back();
        if (now - candidate->kept_at > max_idle || now >= candidate->unusable_at) {
            continue;
        }
        error_code error;
        tcp::socket& socket = candidate->stream.socket();
        socket.non_blocking(true, error);
        char byte = 0;
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        if (error == asio::error::would_block) {
            return candidate; // Still open and silent.
        }
    }
    return nullptr;
}

void http_client::state::keep(const std::string& address, connection_ptr used)
{
    auto& pool = kept[address];
    if (pool.size() < kept_per_address) {
        used->stream.expires_never();
        used->kept_at = monotonic_clock::now();
        pool.push_back(std::move(used));
    }
}

asio::awaitable<http_result<connection_ptr>> http_client::state::connect(std::string address,
                                                                         http_call_options options)
{
    if (!options.fresh_connection) {
        if (connection_ptr reused = take(address, options.max_idle)) {
            reused->stream.expires_after(options.timeout);
            co_return reused;
        }
    }
    std::string ip;
    std::uint16_t port = 0;
    error_code error;
    if (!split_address(address, ip, port)) {
        co_return http_failure{http_error::not_sent, "not ip:port: " + address};
    }
    const auto number = asio::ip::make_address(ip, error);
    if (error) {
        co_return http_failure{http_error::not_sent, "not an IP number: " + address};
    }
    auto made = std::make_unique<connection>(executor);
    if (!options.from_address.empty()) {
        const auto from = asio::ip::make_address(options.from_address, error);
        if (!error) {
            made->stream.socket().open(number.is_v4() ? tcp::v4() : tcp::v6(), error);
            made->stream.socket().bind({from, 0}, error);
        }
    }
    if (options.cancel) {
        options.cancel->set_close([opening = made.get()] { opening->stream.close(); });
    }
    made->stream.expires_after(std::min(options.timeout, options.connect_timeout));
    const auto [failed_to_connect] =
        co_await made->stream.async_connect(tcp::endpoint(number, port), as_tuple);
    if (options.cancel) {
        options.cancel->set_close(nullptr);
    }
    if (failed_to_connect) {
        kept.erase(address);
        co_return failed(failed_to_connect, http_error::not_sent, address);
    }
    made->stream.socket().set_option(tcp::no_delay(true), error);
    made->stream.expires_after(options.timeout);
    co_return made;
}

namespace {

/** \return the seconds for which the peer keeps an idle connection, less a margin. */
duration keep_alive_time(std::string_view value)
{
    constexpr std::string_view name = "timeout=";
    const std::size_t found = value.find(name);
    unsigned seconds = 0;
    if (found == std::string_view::npos) {
        return duration::max();
    }
    const char* begin = value.data() + found + name.size();
    const auto parsed = std::from_chars(begin, value.data() + value.size(), seconds);
    if (parsed.ec != std::errc()) {
        return duration::max();
    }
    return std::max<duration>(std::chrono::seconds(seconds) - 500ms, duration::zero());
}

class beast_stream : public http_stream {
  public:
    beast_stream(std::string address, connection_ptr used, std::shared_ptr<http_cancel> cancel,
                 std::function<void(connection_ptr)> keep)
        : address_(std::move(address)), connection_(std::move(used)), cancel_(std::move(cancel)),
          keep_(std::move(keep))
    {
        if (cancel_) {
            cancel_->set_close([open = connection_.get()] { open->stream.close(); });
        }
        begin_answer();
    }
    ~beast_stream() override { release_cancel(); }
    beast_stream(const beast_stream&) = delete;
    beast_stream& operator=(const beast_stream&) = delete;

    void begin_answer()
    {
        parser_.emplace();
        parser_->body_limit(max_body_bytes);
        parser_->header_limit(max_head_bytes);
    }

    asio::awaitable<error_code> read_head()
    {
        const auto [error, bytes] = co_await http::async_read_header(
            connection_->stream, connection_->buffer, *parser_, as_tuple);
        co_return error;
    }

    /** Reads the rest of an answer that is not wanted.
     * \param until when it must have ended.
     */
    asio::awaitable<bool> skip_answer(time_point until)
    {
        while (!parser_->is_done()) {
            const duration left = until - monotonic_clock::now();
            auto part = co_await read_part(std::max<duration>(left, 1ms));
            if (!part) {
                co_return false;
            }
            skipped_bytes_ += part->size();
            if (skipped_bytes_ > max_foreign_bytes) {
                co_return false;
            }
        }
        co_return parser_->keep_alive();
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

    asio::awaitable<http_result<std::string>> read_some(duration timeout) override
    {
        auto part = co_await read_part(timeout);
        const bool ended = part && parser_->is_done() && connection_;
        // Bytes behind the answer belong to no call; the next one must not read them.
        if (ended && parser_->keep_alive() && connection_->buffer.size() == 0) {
            release_cancel();
            const duration usable = keep_alive_time(header("keep-alive"));
            if (usable != duration::max()) {
                connection_->unusable_at = monotonic_clock::now() + usable;
            }
            keep_(std::move(connection_));
        }
        co_return part;
    }

  private:
    asio::awaitable<http_result<std::string>> read_part(duration timeout)
    {
        std::string part;
        while (part.empty() && !parser_->is_done()) {
            part.resize(body_part_bytes);
            parser_->get().body().data = part.data();
            parser_->get().body().size = part.size();
            parser_->get().body().more = true;
            connection_->stream.expires_after(timeout);
            auto [error, bytes] = co_await http::async_read_some(
                connection_->stream, connection_->buffer, *parser_, as_tuple);
            if (error && error != http::error::need_buffer) {
                co_return failed(error, http_error::broken, address_);
            }
            part.resize(part.size() - parser_->get().body().size);
        }
        co_return part;
    }

    void release_cancel()
    {
        if (cancel_) {
            cancel_->set_close(nullptr);
            cancel_ = nullptr;
        }
    }

    std::string address_;
    connection_ptr connection_;
    std::shared_ptr<http_cancel> cancel_;
    std::function<void(connection_ptr)> keep_;
    std::size_t skipped_bytes_ = 0;
    std::optional<http::response_parser<http::buffer_body>> parser_;
};

} // namespace

http_client::http_client(asio::any_io_executor executor, std::size_t kept_per_address)
    : state_(std::make_shared<state>())
{
    state_->executor = std::move(executor);
    state_->kept_per_address = kept_per_address;
}

http_client::~http_client() = default;

void http_client::forget(const std::string& address)
{
    state_->kept.erase(address);
}

asio::awaitable<http_result<std::shared_ptr<http_stream>>>
http_client::open(std::string address, http_request request, http_call_options options)
{
    const auto self = state_;
    const time_point until = monotonic_clock::now() + options.timeout;
    auto connected = co_await self->connect(address, options);
    if (!connected) {
        co_return connected.last_reason();
    }
    connection_ptr used = std::move(*connected);
    if (options.cancel && options.cancel->cancelled()) {
        co_return http_failure{http_error::not_sent, "the call was broken off"};
    }
    if (options.still_wanted && !options.still_wanted()) {
        self->keep(address, std::move(used));
        co_return http_failure{http_error::not_sent, "the caller has left"};
    }
    const auto message = to_message(address, std::move(request));
    if (options.cancel) {
        options.cancel->set_close([open = used.get()] { open->stream.close(); });
    }
    const auto [error, bytes] = co_await http::async_write(used->stream, message, as_tuple);
    if (options.cancel) {
        options.cancel->set_close(nullptr);
    }
    if (error) {
        self->forget_if_silent(address, error);
        co_return failed(error, bytes == 0 ? http_error::not_sent : http_error::unanswered,
                         address);
    }
    const auto keep = [self, address](connection_ptr done) {
        self->keep(address, std::move(done));
    };
    auto answer = std::make_shared<beast_stream>(address, std::move(used), options.cancel, keep);
    while (true) {
        if (const error_code unread = co_await answer->read_head()) {
            self->forget_if_silent(address, unread);
            co_return failed(unread, http_error::unanswered, address);
        }
        if (!options.belongs || options.belongs(answer->headers())) {
            co_return std::shared_ptr<http_stream>(std::move(answer));
        }
        if (!co_await answer->skip_answer(until)) {
            co_return http_failure{http_error::unanswered,
                                   address + ": only an answer to another call came"};
        }
        answer->begin_answer();
    }
}

asio::awaitable<http_result<http_reply>>
http_client::call(std::string address, http_request request, http_call_options options)
{
    const time_point end = monotonic_clock::now() + options.timeout;
    const std::size_t most = options.max_body_bytes;
    auto opened = co_await open(std::move(address), std::move(request), options);
    if (!opened) {
        co_return opened.last_reason();
    }
    http_stream& answer = **opened;
    http_reply reply;
    reply.status = answer.status();
    reply.content_type = answer.header("content-type");
    reply.headers = answer.headers();
    while (true) {
        const duration left = std::max<duration>(end - monotonic_clock::now(), 1ms);
        auto part = co_await answer.read_some(left);
        if (!part) {
            co_return part.last_reason();
        }
        if (part->empty()) {
            co_return reply;
        }
        reply.body += *part;
        if (reply.body.size() > most) {
            co_return http_failure{http_error::broken,
                                   "the answer is longer than " + std::to_string(most) + " bytes"};
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
