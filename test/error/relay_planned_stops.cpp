/** \file
 * Tests over sockets what becomes of calls that arrive at a node while it stops: a node takes none
 * that it could not finish, and cuts off none that it has taken.
 */
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "platform/call_headers.h"
#include "platform/published_documents.h"
#include "relay/relay_node.h"

using namespace chervildyke;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** A log in memory that holds a configuration and one backend server. */
shared_log make_log(std::map<std::string, std::vector<keyed_record>> topics)
{
    const auto all = [topics = std::move(topics)](const std::string& topic) {
        keyed_records found;
        const auto records = topics.find(topic);
        if (records != topics.end()) {
            found.records = records->second;
        }
        found.next_offset = found.records.size();
        return found;
    };
    shared_log log;
    log.read_latest =
        [all](std::string topic) -> asio::awaitable<shared_log_result<keyed_records>> {
        co_return all(topic);
    };
    log.read = [all](std::string topic, std::uint64_t from,
                     duration wait) -> asio::awaitable<shared_log_result<topic_read>> {
        topic_read read{all(topic), 0};
        read.topic_end = read.records.next_offset;
        if (from >= read.topic_end) {
            co_await sleep_for(wait);
            read.records.records.clear();
        }
        co_return read;
    };
    log.append = [](std::string, log_position at,
                    std::vector<keyed_record>) -> asio::awaitable<shared_log_result<log_position>> {
        co_return at;
    };
    log.put = [](std::string,
                 std::vector<keyed_record>) -> asio::awaitable<shared_log_result<log_position>> {
        const log_position end{0, 1};
        co_return end;
    };
    return log;
}

std::uint16_t free_port(asio::io_context& context)
{
    const tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

/** A node with a plain route "/once/", whose calls may run once, and a plain route "/again/", whose
 * calls may run again. Both have the timeout of the fixture and lead to one server.
 */
struct stop_fixture {
    stop_fixture(duration grace, duration timeout)
    {
        REQUIRE(server.listen("127.0.0.1", 0));
        const std::string local = "127.0.0.1:";
        schema::relay_settings settings;
        settings.set_name("n-1");
        settings.set_address("127.0.0.1");
        settings.set_failure_domain("a");
        settings.set_call_address(local + std::to_string(port));
        settings.set_ready_address(local + "0");
        settings.set_directory_address(local + "0");
        settings.set_stop_grace_s(std::chrono::duration<double>(grace).count());
        settings.set_backend_drain_ms(2000);
        settings.set_retry_ratio(0.2);
        settings.set_retry_slack(100);
        settings.set_key_staleness_ms(60'000);
        node.emplace(context.get_executor(), settings, make_hooks(timeout),
                     std::make_shared<http_client>(context.get_executor()), seeded_random(1));
        REQUIRE_MESSAGE(node->start(), node->last_reason());
        clock.advance(2s); // Alone, it serves no calls for the first 1.2 s.
    }

    relay_hooks make_hooks(duration timeout) const
    {
        keyed_record listed;
        listed.key = "i-1";
        listed.value = "server";
        keyed_record published;
        published.key = "config";
        published.value = "configuration";
        relay_hooks hooks;
        hooks.log = make_log({{"servers", {listed}}, {"op", {published}}});
        hooks.calls = platform::make_call_codec();
        hooks.fleet = platform::make_fleet_codec();
        hooks.notices = std::make_shared<backend_notices>();
        backend_service desk;
        desk.name = "desk";
        call_route once;
        once.name = "once";
        once.host = "desk.example";
        once.path_prefix = "/once/";
        once.services = {{"desk", 1}};
        once.timeout = timeout;
        once.latency_target = timeout;
        call_route again = once;
        again.name = "again";
        again.path_prefix = "/again/";
        again.retry = retry_rule::idempotent;
        again.max_attempts = 2;
        published_configuration::builder builder;
        const published_configuration_ptr configuration =
            builder.version(1).route(once).route(again).service(desk).build();
        hooks.fleet.read_configuration =
            [configuration](const std::string&) -> decoded<published_configuration_ptr> {
            return configuration;
        };
        backend one;
        one.id = "i-1";
        one.service = "desk";
        one.failure_domain = "a";
        one.address = "127.0.0.1:" + std::to_string(server.port());
        one.started_ms = 1;
        hooks.fleet.read_backend = [one](const std::string&,
                                         const std::string&) -> decoded<backend> { return one; };
        return hooks;
    }

    asio::awaitable<void> serve(http_exchange& exchange)
    {
        ++runs;
        given_ms = std::stod(std::string(exchange.request().header("X-Deadline-Ms")));
        http_reply reply;
        reply.headers = {{"X-Attempt-Id", std::string(exchange.request().header("X-Attempt-Id"))},
                         {"X-Response-Seal", "seal"}};
        reply.body = "done";
        co_await sleep_for(work);
        co_await exchange.respond(reply);
    }

    void stop()
    {
        asio::co_spawn(
            context,
            [this]() -> asio::awaitable<void> {
                co_await node->drain();
                has_stopped = true;
            },
            asio::detached);
        clock.advance(1ms);
    }

    /** Advances the time until the node has stopped, which cuts off the calls in progress.
     * \return the time for which the node drained.
     */
    duration advance_to_end()
    {
        const time_point begin = monotonic_clock::now();
        while (!has_stopped && monotonic_clock::now() - begin < 60s) {
            clock.advance(1ms);
        }
        return monotonic_clock::now() - begin;
    }

    asio::io_context context;
    manual_clock clock{context};
    std::uint16_t port = free_port(context);
    duration work{};
    int runs = 0;
    double given_ms = 0; // The time that the server was given for the last call.
    bool has_stopped = false;
    http_server server{context.get_executor(),
                       [this](http_exchange& exchange) { return serve(exchange); }};
    std::optional<relay_node> node;
};

/** A caller's connection. */
struct caller {
    explicit caller(const stop_fixture& fixture)
    {
        socket.connect({asio::ip::make_address("127.0.0.1"), fixture.port});
        socket.non_blocking(true);
    }

    void send(const std::string& path, const std::string& time_left)
    {
        asio::write(socket,
                    asio::buffer("POST " + path +
                                 " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: call1\r\n"
                                 "X-Deadline-Ms: " +
                                 time_left + "\r\nContent-Length: 0\r\n\r\n"));
    }

    /** \return the bytes that have arrived since the last call. */
    std::string read()
    {
        std::string text;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(text), error);
        return text;
    }

    asio::io_context context;
    tcp::socket socket{context};
};

bool is_refusal(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 503") && answer.find("Retry-After") != std::string::npos;
}

} // namespace

// Guards against cutting off a call that may run once, which the caller then can't repeat.
TEST_CASE("a call that may run once and outlast the grace time is refused while the node stops")
{
    stop_fixture fixture(4s, 5s);
    fixture.work = 3s;
    caller kept(fixture);
    fixture.clock.advance(10ms);
    fixture.stop();
    fixture.clock.advance(2s);
    caller late(fixture);
    late.send("/once/x", "4500");
    kept.send("/once/x", "4500");
    fixture.clock.advance(50ms);
    CHECK(is_refusal(late.read()));
    CHECK(is_refusal(kept.read()));
    fixture.advance_to_end();
    CHECK(fixture.runs == 0);
}

// Guards against refusing calls that a stopping node can finish.
TEST_CASE("a call that ends within the grace time is taken while the node stops")
{
    for (const std::string path : {"/once/x", "/again/x"}) {
        CAPTURE(path);
        stop_fixture fixture(4s, 5s);
        fixture.work = 900ms;
        fixture.stop();
        fixture.clock.advance(2s);
        caller late(fixture);
        late.send(path, "1000");
        fixture.advance_to_end();
        CHECK(late.read().starts_with("HTTP/1.1 200"));
        CHECK(fixture.runs == 1);
    }
}

// Guards against handing a server more time than the node can wait for its answer.
TEST_CASE("a call that may run again has until the end of the grace time while the node stops")
{
    stop_fixture fixture(4s, 5s);
    fixture.work = 4500ms;
    fixture.stop();
    fixture.clock.advance(1s);
    caller late(fixture);
    late.send("/again/x", "4500");
    fixture.clock.advance(50ms);
    CHECK(fixture.given_ms > 2000);
    CHECK(fixture.given_ms < 3000);
}

// Guards against cutting off calls earlier than the process is killed.
TEST_CASE("a call in progress has nearly the whole grace time")
{
    stop_fixture fixture(4s, 8s);
    fixture.work = 3700ms;
    caller early(fixture);
    early.send("/once/x", "8000");
    fixture.clock.advance(10ms);
    REQUIRE(fixture.runs == 1);
    fixture.stop();
    fixture.advance_to_end();
    CHECK(early.read().starts_with("HTTP/1.1 200"));
}

// Guards against a caller that gets neither an answer nor a refusal, since its call outlasts the
// grace time of a node that stops.
TEST_CASE("a call that outlasts the grace time gets an answer before the process ends")
{
    for (const std::string path : {"/once/x", "/again/x"}) {
        CAPTURE(path);
        stop_fixture fixture(2s, 9s);
        fixture.work = 8s;
        caller early(fixture);
        early.send(path, "9000");
        fixture.clock.advance(10ms);
        REQUIRE(fixture.runs == 1);
        fixture.stop();
        CHECK(fixture.advance_to_end() < 2s);
        CHECK(early.read().starts_with("HTTP/1.1 502")); // It may have run.
    }
}

// Guards against a process that still accepts calls when it is killed.
TEST_CASE("a node with a short grace time stops within it")
{
    stop_fixture fixture(1500ms, 5s);
    fixture.work = 8s;
    caller early(fixture);
    early.send("/once/x", "4500");
    fixture.clock.advance(10ms);
    fixture.stop();
    CHECK(fixture.advance_to_end() < 1500ms);
}
