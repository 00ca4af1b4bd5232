/** \file
 * Tests faulty backend servers that send an endless head or body, or a byte now and then: memory
 * stays bounded, the call ends, and no incomplete answer looks complete.
 */
#include "platform/engine_calls.h"
#include "relay/whole_body.h"
#include "support/relay_fixture.h"

using namespace chervildyke;
using test::relay_fixture;
using test::run_task;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** Answers each request with `beginning`, then repeats `piece`, after each a pause of `interval`,
 * until the peer closes the connection.
 */
struct endless_server {
    endless_server(asio::io_context& context, std::string begins, std::string repeats,
                   duration pause = {})
        : beginning(std::move(begins)), piece(std::move(repeats)), interval(pause),
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
            if (interval > duration::zero()) {
                co_await sleep_for(interval);
            }
        }
    }

    std::string beginning;
    std::string piece;
    duration interval;
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
        options.matches_request = [](const std::vector<http_header>& headers) {
            return find_header(headers, "X-Attempt-Id") == "call1";
        };
        got = co_await client.call(server.address(), request, options);
    });
    if (sent != nullptr) {
        *sent = server.sent;
    }
    return got;
}

const std::string interim_head = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string other_empty_reply =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n";

std::string repeated(const std::string& text, std::size_t count)
{
    std::string all;
    for (std::size_t i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

std::string chunk(const std::string& bytes)
{
    char line[24];
    std::snprintf(line, sizeof(line), "%zx\r\n", bytes.size());
    return line + bytes + "\r\n";
}

/** Bytes that go on without end and answer nothing. */
struct endless_bytes {
    std::string name;
    std::string beginning;
    std::string piece;
};

std::vector<endless_bytes> bytes_without_an_answer()
{
    const std::string chunked = sealed_head + "Transfer-Encoding: chunked\r\n\r\n";
    constexpr std::size_t many = 500;
    return {
        {"interim replies", "", repeated(interim_head, many)},
        {"empty replies to other calls", "", repeated(other_empty_reply, many)},
        {"replies to other calls", "", repeated(other_empty_reply + interim_head, many)},
        {"comment lines", chunked, repeated(chunk(":\n\n"), many)},
        {"empty events", chunked, repeated(chunk("\n\n"), many)},
        {"chunks of one byte", chunked, repeated(chunk("x"), many)},
        {"chunk extensions", chunked, "1;e=" + repeated("x", 15'000) + "\r\nx\r\n"},
        {"trailers", chunked + "0\r\n", repeated("X-Filler: abcdefgh\r\n", many)},
        {"a body until the end of the connection", sealed_head + "\r\n", repeated("x", 15'000)}};
}

/** A node whose only head and only plain backend server is an endless_server. */
struct endless_fixture : relay_fixture {
    endless_fixture(const std::string& beginning, const std::string& piece, duration pause = {},
                    duration call_timeout = 5s)
        : relay_fixture(retry_rule::never, call_timeout), server(context, beginning, piece, pause)
    {
        serving_replica replica;
        replica.epoch = 9;
        replica.service = "pool";
        replica.model = "m";
        replica.head_id = "i9";
        replica.head_address = server.address();
        node.replica_lb->set_serving({replica});
        backend plain;
        plain.id = "i8";
        plain.service = "desk";
        plain.address = server.address();
        plain.started_ms = 1;
        backends.apply(plain, monotonic_clock::now());
    }

    /** Calls a route.
     * \return how long the call took until its answer or its connection had ended.
     */
    duration time_to_end(const std::string& target)
    {
        const time_point begun = monotonic_clock::now();
        const std::string address = "127.0.0.1:" + std::to_string(front.port());
        run_task(context, [&]() -> asio::awaitable<void> {
            http_request request;
            request.method = "POST";
            request.target = target;
            request.headers = {{"Host", "desk.example"},      {"X-Attempt-Id", "call1"},
                               {"Authorization", "Token k1"}, {"X-Model", "m"},
                               {"X-Token-Usage", "100,20"},   {"X-Deadline-Ms", "5000"},
                               {"X-Prompt-Prefix", "own:60"}};
            http_client client(context.get_executor());
            http_call_options options;
            options.timeout = test::answer_timeout;
            const auto ended = co_await client.call(address, request, options);
            status = ended ? ended->status : 0;
        });
        return monotonic_clock::now() - begun;
    }

    endless_server server;
};

/** Of an answer after the timeout of its route, by the users' rule. */
constexpr duration late_answer = 500ms;

} // namespace

TEST_CASE("endless headers: the call fails, and may have been executed")
{
    const auto got = call_directly("HTTP/1.1 200 OK\r\n", "X-Filler: abcdefgh\r\n", 5s);
    REQUIRE_FALSE(got);
    CHECK(got.failure().code == http_error::unanswered);
}

TEST_CASE("an endless body is aborted at its size limit")
{
    std::size_t sent = 0;
    const auto got = call_directly(sealed_head + "Transfer-Encoding: chunked\r\n\r\n",
                                   "4000\r\n" + std::string(0x4000, 'x') + "\r\n", 20s, &sent);
    REQUIRE_FALSE(got);
    CHECK(got.failure().code == http_error::broken);
    CHECK(sent < 32U << 20U); // Including the socket buffers.
}

TEST_CASE("an endless answer to another call is aborted")
{
    const auto got = call_directly("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n",
                                   "4000\r\n" + std::string(0x4000, 'x') + "\r\n", 20s);
    REQUIRE_FALSE(got);
    CHECK(got.failure().code == http_error::unanswered);
}

TEST_CASE("an endless sequence of answers to other calls is aborted at the timeout")
{
    const auto got = call_directly("",
                                   "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
                                   "Content-Length: 2\r\n\r\nok",
                                   500ms);
    CHECK_FALSE(got);
}

// Guards against a deadline that no read reaches, because each one ends within a millisecond.
TEST_CASE("an endless body of small pieces is aborted at the timeout")
{
    const auto got =
        call_directly(sealed_head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 500ms);
    REQUIRE_FALSE(got);
    CHECK(got.failure().code == http_error::timed_out);
}

// Guards against a timeout that no read reaches: replies without a body are always ready.
TEST_CASE("endless replies without a body are aborted at the timeout")
{
    constexpr duration timeout = 5ms; // The limit of discarded bytes takes about 20 ms to reach.
    for (const std::string& reply : {interim_head, other_empty_reply}) {
        CAPTURE(reply);
        const time_point begun = monotonic_clock::now();
        const auto got = call_directly("", repeated(reply, 500), timeout);
        REQUIRE_FALSE(got);
        CHECK(got.failure().code == http_error::timed_out);
        CHECK(monotonic_clock::now() - begun < timeout + late_answer);
    }
}

// Guards against a limit of discarded bytes that counts bodies only.
TEST_CASE("endless replies without a body are aborted at the limit of discarded bytes")
{
    for (const std::string& reply : {interim_head, other_empty_reply}) {
        CAPTURE(reply);
        std::size_t sent = 0;
        const auto got = call_directly("", repeated(reply, 500), 20s, &sent);
        REQUIRE_FALSE(got);
        CHECK(got.failure().code == http_error::unanswered);
        CHECK(sent < 32U << 20U); // Including the socket buffers.
    }
}

// Guards against calls that are held past the timeout of their route, and against a loop that takes
// the event loop from all others.
TEST_CASE("endless bytes without an answer: the call ends in time, and other tasks go on")
{
    constexpr duration route_timeout = 300ms;
    for (const std::string target : {"/p/x", "/a/x"}) {
        for (const endless_bytes& bytes : bytes_without_an_answer()) {
            CAPTURE(target);
            CAPTURE(bytes.name);
            endless_fixture fixture(bytes.beginning, bytes.piece, {}, route_timeout);
            duration longest_wait{};
            asio::co_spawn(
                fixture.context,
                [&longest_wait]() -> asio::awaitable<void> {
                    while (true) {
                        const time_point slept_at = monotonic_clock::now();
                        co_await sleep_for(1ms);
                        longest_wait =
                            std::max<duration>(longest_wait, monotonic_clock::now() - slept_at);
                    }
                },
                asio::detached);
            CHECK(fixture.time_to_end(target) < route_timeout + late_answer);
            CHECK(longest_wait < late_answer);
            CHECK(fixture.server.requests == 1); // The routes allow one run.
            CHECK((fixture.status == 0 || fixture.status == 502 || fixture.status == 504));
            fixture.context.restart();
            fixture.context.run_for(std::chrono::milliseconds(100));
            CHECK(fixture.server.open == 0);
        }
    }
}

TEST_CASE("an endless event aborts the stream, which does not look complete")
{
    endless_fixture fixture(sealed_head + "Transfer-Encoding: chunked\r\n\r\n",
                            "4000\r\n" + std::string(0x4000, 'x') + "\r\n");
    fixture.call("k1");
    CHECK_FALSE((fixture.status == 200 && fixture.is_complete));
    fixture.context.restart();
    fixture.context.run_for(std::chrono::milliseconds(100));
    CHECK(fixture.server.open == 0);
    CHECK(fixture.server.requests == 1); // The route allows one run.
}

TEST_CASE("an error answer with an endless body is a failure with an unknown outcome")
{
    endless_fixture fixture("HTTP/1.1 500 Oops\r\nX-Attempt-Id: call1\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n",
                            "4000\r\n" + std::string(0x4000, 'x') + "\r\n");
    fixture.call("k1");
    CHECK(fixture.status == 502);
    CHECK(fixture.server.requests == 1);
}

TEST_CASE("single bytes that end no event do not keep a stalled stream open")
{
    endless_fixture fixture(sealed_head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 50ms);
    fixture.call("k1");
    CHECK_FALSE((fixture.status == 200 && fixture.is_complete));
    // Zero: the replica has no calls, so the attempt has ended.
    CHECK(fixture.node.replica_lb->silence_of(9, monotonic_clock::now()) == duration::zero());
}

// Guards against a plain call that outlives its deadline while its answer goes on.
TEST_CASE("an answer whose bytes are always ready fails at its deadline")
{
    struct endless_stream : http_stream {
        unsigned status() const override { return 200; }
        std::string header(std::string_view) const override { return {}; }
        std::vector<http_header> headers() const override { return {}; }
        bool is_on_reused_connection() const override { return false; }
        asio::awaitable<http_result<std::string>> read_some(duration) override
        {
            co_await sleep_for(100us);
            co_return std::string("x");
        }
    };
    asio::io_context context;
    manual_clock clock(context);
    endless_stream answer;
    byte_budget budget(32U << 20U);
    byte_budget::reservation held(budget);
    const time_point deadline = monotonic_clock::now() + 5s;
    std::optional<http_result<std::string>> got;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            got = co_await read_whole_body(answer, 4U << 20U, held, deadline);
        },
        asio::detached);
    clock.advance(4999ms);
    CHECK_FALSE(got);
    clock.advance(1ms);
    REQUIRE(got);
    REQUIRE_FALSE(*got);
    CHECK(got->failure().code == http_error::timed_out);
}

// The calls end by the limits of size, whose time depends on the machine; hence the long deadline.
TEST_CASE("fifty endless plain answers: each fails, and memory stays bounded")
{
    endless_fixture fixture("HTTP/1.1 200 OK\r\nX-Attempt-Id: call1\r\nX-Response-Seal: s\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n",
                            "4000\r\n" + std::string(0x4000, 'x') + "\r\n", {}, 60s);
    std::size_t least_left = fixture.node.buffered.available_bytes();
    int failed = 0;
    int ended = 0;
    constexpr int calls = 50;
    const std::string address = "127.0.0.1:" + std::to_string(fixture.front.port());
    http_client client(fixture.context.get_executor(), 0);
    for (int i = 0; i < calls; ++i) {
        asio::co_spawn(
            fixture.context,
            [&]() -> asio::awaitable<void> {
                http_request request;
                request.method = "POST";
                request.target = "/p/x";
                request.headers = {{"Host", "desk.example"},
                                   {"X-Attempt-Id", "call1"},
                                   {"Authorization", "Token k1"},
                                   {"X-Deadline-Ms", "60000"}};
                http_call_options options;
                options.timeout = 60s;
                auto reply = co_await client.call(address, request, options);
                failed += reply && reply->status == 502 ? 1 : 0;
                if (++ended == calls) {
                    fixture.context.stop();
                }
            },
            asio::detached);
    }
    asio::co_spawn(
        fixture.context,
        [&]() -> asio::awaitable<void> {
            while (true) {
                least_left = std::min(least_left, fixture.node.buffered.available_bytes());
                co_await sleep_for(1ms);
            }
        },
        asio::detached);
    fixture.context.run_for(std::chrono::seconds(60));
    CHECK(failed == calls);
    CHECK(least_left < 32U << 20U);
    CHECK(fixture.node.buffered.available_bytes() == 32U << 20U);
    CHECK(fixture.server.requests == calls); // Each ran once.
}

// Guards against a node that keeps the bodies of liveness checks and commands, which nothing reads.
TEST_CASE("liveness checks and commands read little of an answer without end")
{
    constexpr int checks = 21;
    constexpr std::size_t max_sent_per_check = 1U << 20U; // Socket buffers included.
    asio::io_context context;
    endless_server server(context,
                          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n",
                          "4000\r\n" + std::string(0x4000, 'x') + "\r\n");
    server.acceptor.set_option(asio::socket_base::send_buffer_size(64 << 10));
    const auto http = std::make_shared<http_client>(context.get_executor());
    const engine_calls calls = platform::make_engine_calls(http, {});
    backend vm;
    vm.id = "i-1";
    vm.address = server.address();
    int ended = 0;
    for (int i = 0; i < checks; ++i) {
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                CHECK(co_await calls.probe(vm) != probe_outcome::answered);
                CHECK(co_await calls.send(vm, engine_command()) == command_outcome::unclear);
                if (++ended == checks) {
                    context.stop();
                }
            },
            asio::detached);
    }
    context.run_for(std::chrono::seconds(10));
    CHECK(ended == checks);
    CHECK(server.sent < max_sent_per_check * checks * 2);
}

// Guards against a node that runs out of descriptors: each report and command to a server that
// sends interim replies without end would keep its connection.
TEST_CASE("liveness checks, reports and commands end though interim replies never do")
{
    constexpr int checks = 8;
    asio::io_context context;
    endless_server server(context, "", repeated(interim_head, 500));
    const auto http = std::make_shared<http_client>(context.get_executor());
    const engine_calls calls = platform::make_engine_calls(http, {});
    backend vm;
    vm.id = "i-1";
    vm.address = server.address();
    int ended = 0;
    const time_point begun = monotonic_clock::now();
    for (int i = 0; i < checks; ++i) {
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                CHECK(co_await calls.probe(vm) == probe_outcome::silent);
                CHECK_FALSE(co_await calls.read_state(vm));
                CHECK(co_await calls.send(vm, engine_command()) == command_outcome::unclear);
                if (++ended == checks) {
                    context.stop();
                }
            },
            asio::detached);
    }
    context.run_for(std::chrono::seconds(10));
    CHECK(ended == checks);
    CHECK(monotonic_clock::now() - begun < 2s); // Their timeouts are 350, 350 and 500 ms.
    context.restart();
    context.run_for(std::chrono::milliseconds(100));
    CHECK(server.open == 0);
}
