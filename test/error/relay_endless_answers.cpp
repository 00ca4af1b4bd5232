/** \file
 * Tests backend servers in trouble that send bytes without end, in a head or a body, or a byte now
 * and then: memory stays bounded, the call ends, and nothing incomplete looks complete.
 */
#include "support/relay_bench.h"

using namespace chervildyke;
using test::relay_bench;
using test::run_task;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** Answers each request with a beginning, then with a piece again and again until the peer closes.
 */
struct endless_server {
    endless_server(asio::io_context& context, std::string begins, std::string repeats,
                   duration pause = {})
        : beginning(std::move(begins)), piece(std::move(repeats)), between(pause),
          acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    asio::awaitable<void> accept()
    {
        while (true) {
            tcp::socket peer = co_await acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(acceptor.get_executor(), serve(std::move(peer)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket peer)
    {
        ++open;
        const scope_guard closed([this] { --open; });
        std::string request;
        const auto as_tuple = asio::as_tuple(asio::use_awaitable);
        co_await asio::async_read_until(peer, asio::dynamic_buffer(request), "\r\n\r\n", as_tuple);
        ++requests;
        co_await asio::async_write(peer, asio::buffer(beginning), as_tuple);
        while (true) {
            const auto [error, bytes] =
                co_await asio::async_write(peer, asio::buffer(piece), as_tuple);
            if (error) {
                co_return;
            }
            sent += bytes;
            if (between > duration::zero()) {
                co_await sleep_for(between);
            }
        }
    }

    std::string beginning;
    std::string piece;
    duration between;
    int open = 0;
    int requests = 0;
    std::size_t sent = 0;
    tcp::acceptor acceptor;
};

const std::string sealed_head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: call1\r\n"
                                "X-Response-Seal: s\r\nContent-Type: text/event-stream\r\n";

http_result<http_reply> call_directly(const std::string& beginning, const std::string& piece,
                                      duration timeout, std::size_t* sent = nullptr)
{
    asio::io_context context;
    endless_server server(context, beginning, piece);
    http_client client(context.get_executor());
    http_result<http_reply> got = http_failure{};
    run_task(context, [&]() -> asio::awaitable<void> {
        http_request request;
        http_call_options options;
        options.timeout = timeout;
        options.max_body_bytes = 1U << 20U;
        options.belongs = [](const std::vector<http_header>& headers) {
            return find_header(headers, "X-Attempt-Id") == "call1";
        };
        got = co_await client.call(server.address(), request, options);
    });
    if (sent != nullptr) {
        *sent = server.sent;
    }
    return got;
}

/** Calls through a node whose first head, or plain backend server, is the one given. */
struct endless_bench : relay_bench {
    endless_bench(const std::string& beginning, const std::string& piece, duration pause = {})
        : relay_bench(retry_rule::never), server(context, beginning, piece, pause)
    {
        serving_replica replica;
        replica.epoch = 9;
        replica.service = "pool";
        replica.model = "m";
        replica.head_id = "i9";
        replica.head_address = server.address();
        node.board->set_serving({replica});
        backend plain;
        plain.id = "i8";
        plain.service = "desk";
        plain.address = server.address();
        plain.started_ms = 1;
        backends.apply(plain, monotonic_clock::now());
    }

    endless_server server;
};

} // namespace

TEST_CASE("a head without end: the call fails, and its server may have run it")
{
    const auto got = call_directly("HTTP/1.1 200 OK\r\n", "X-Filler: abcdefgh\r\n", 5s);
    REQUIRE_FALSE(got);
    CHECK(got.last_reason().code == http_error::unanswered);
}

TEST_CASE("a body without end is given up at its bound")
{
    std::size_t sent = 0;
    const auto got = call_directly(sealed_head + "Transfer-Encoding: chunked\r\n\r\n",
                                   "4000\r\n" + std::string(0x4000, 'x') + "\r\n", 20s, &sent);
    REQUIRE_FALSE(got);
    CHECK(got.last_reason().code == http_error::broken);
    CHECK(sent < 32U << 20U); // What the sockets hold included.
}

TEST_CASE("an answer to another call that does not end is given up")
{
    const auto got = call_directly("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n",
                                   "4000\r\n" + std::string(0x4000, 'x') + "\r\n", 20s);
    REQUIRE_FALSE(got);
    CHECK(got.last_reason().code == http_error::unanswered);
}

TEST_CASE("answers to other calls without end are given up in time")
{
    const auto got = call_directly("",
                                   "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
                                   "Content-Length: 2\r\n\r\nok",
                                   500ms);
    CHECK_FALSE(got);
}

TEST_CASE("an event without end breaks the stream off, and it does not look complete")
{
    endless_bench bench(sealed_head + "Transfer-Encoding: chunked\r\n\r\n",
                        "4000\r\n" + std::string(0x4000, 'x') + "\r\n");
    bench.call("k1");
    CHECK_FALSE((bench.status == 200 && bench.whole));
    bench.context.restart();
    bench.context.run_for(std::chrono::milliseconds(100));
    CHECK(bench.server.open == 0);
    CHECK(bench.server.requests == 1); // It may run once.
}

TEST_CASE("an error whose body does not end is a failure of unknown effect")
{
    endless_bench bench("HTTP/1.1 500 Oops\r\nX-Attempt-Id: call1\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n",
                        "4000\r\n" + std::string(0x4000, 'x') + "\r\n");
    bench.call("k1");
    CHECK(bench.status == 502);
    CHECK(bench.server.requests == 1);
}

TEST_CASE("a byte now and then ends no event and does not keep a stalled stream alive")
{
    endless_bench bench(sealed_head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 50ms);
    bench.call("k1");
    CHECK_FALSE((bench.status == 200 && bench.whole));
    CHECK(bench.node.board->silence_of(9, monotonic_clock::now()) == duration::zero()); // Ended.
}

TEST_CASE("fifty plain answers without end: each fails, and memory stays bounded")
{
    endless_bench bench("HTTP/1.1 200 OK\r\nX-Attempt-Id: call1\r\nX-Response-Seal: s\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n",
                        "4000\r\n" + std::string(0x4000, 'x') + "\r\n");
    std::size_t least_left = bench.node.gathered.left();
    int failed = 0;
    int ended = 0;
    constexpr int calls = 50;
    const std::string address = "127.0.0.1:" + std::to_string(bench.front.port());
    http_client client(bench.context.get_executor(), 0);
    for (int i = 0; i < calls; ++i) {
        asio::co_spawn(
            bench.context,
            [&]() -> asio::awaitable<void> {
                http_request request;
                request.method = "POST";
                request.target = "/p/x";
                request.headers = {{"Host", "desk.example"},
                                   {"X-Attempt-Id", "call1"},
                                   {"Authorization", "Token k1"},
                                   {"X-Deadline-Ms", "5000"}};
                http_call_options options;
                options.timeout = 8s;
                auto reply = co_await client.call(address, request, options);
                failed += reply && reply->status == 502 ? 1 : 0;
                if (++ended == calls) {
                    bench.context.stop();
                }
            },
            asio::detached);
    }
    asio::co_spawn(
        bench.context,
        [&]() -> asio::awaitable<void> {
            while (true) {
                least_left = std::min(least_left, bench.node.gathered.left());
                co_await sleep_for(1ms);
            }
        },
        asio::detached);
    bench.context.run_for(std::chrono::seconds(30));
    CHECK(failed == calls);
    CHECK(least_left < 32U << 20U);
    CHECK(bench.node.gathered.left() == 32U << 20U);
    CHECK(bench.server.requests == calls); // Each ran once.
}
