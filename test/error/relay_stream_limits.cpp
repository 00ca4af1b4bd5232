/** \file
 * Tests over sockets when a node ends a stream: not before the time limit of its call, and not long
 * after it.
 */
#include "support/relay_fixture.h"

using namespace chervildyke;
using test::relay_fixture;
namespace asio = boost::asio;

namespace {

/** The head of a replica that streams events until its connection ends or its time is over. */
struct pacing_head {
    static constexpr duration longest_stream = 3s;

    explicit pacing_head(asio::io_context& context)
        : server(context.get_executor(),
                 [this](http_exchange& exchange) { return serve(exchange); })
    {
        REQUIRE(server.listen("127.0.0.1", 0));
    }

    asio::awaitable<void> serve(http_exchange& exchange)
    {
        http_reply head;
        head.content_type = "text/event-stream";
        head.headers = {{"X-Attempt-Id", std::string(exchange.request().header("X-Attempt-Id"))},
                        {"X-Response-Seal", "seal"}};
        co_await exchange.start_stream(head);
        const time_point end = monotonic_clock::now() + longest_stream;
        std::uint64_t id = 0;
        while (monotonic_clock::now() < end) {
            std::string bytes;
            for (int i = 0; i < events_per_write; ++i) {
                bytes += "id: " + std::to_string(++id) +
                         "\ndata: " + std::string(bytes_per_event, 'x') + "\n\n";
            }
            if (!co_await exchange.write_chunk(bytes)) {
                co_return;
            }
            if (pause > duration::zero()) {
                co_await sleep_for(pause);
            }
        }
        co_await exchange.end_stream();
        has_ended_stream = true;
    }

    int events_per_write = 1;
    std::size_t bytes_per_event = 1;
    duration pause{}; // Between two writes.
    bool has_ended_stream = false;
    http_server server;
};

/** A node in front of one head, with the times at which a call arrived and was over. */
struct limit_fixture : relay_fixture {
    limit_fixture() : relay_fixture(retry_rule::resumable)
    {
        serving_replica replica;
        replica.epoch = 1;
        replica.service = "pool";
        replica.model = "m";
        replica.head_id = "i1";
        replica.head_address = "127.0.0.1:" + std::to_string(head.server.port());
        node.replica_lb->set_serving({replica});
        REQUIRE(timed_front.listen("127.0.0.1", 0));
    }

    asio::awaitable<void> serve_timed(http_exchange& exchange)
    {
        arrived_at = monotonic_clock::now();
        co_await serve_call(node, exchange);
        over_at = monotonic_clock::now();
    }

    /** Sends a call and reads its answer to the end. */
    void call_with(duration time_left)
    {
        const std::string address = "127.0.0.1:" + std::to_string(timed_front.port());
        test::run_task(context, [&]() -> asio::awaitable<void> {
            http_request request;
            request.method = "POST";
            request.target = "/a/x";
            request.headers = {
                {"Host", "desk.example"},      {"X-Attempt-Id", "call1"},
                {"Authorization", "Token k1"}, {"X-Model", "m"},
                {"X-Token-Usage", "100,20"},   {"X-Deadline-Ms", std::to_string(time_left / 1ms)}};
            http_client client(context.get_executor());
            auto opened = co_await client.open(address, request);
            REQUIRE(opened);
            status = (*opened)->status();
            co_await sleep_for(reads_after);
            while (true) {
                auto part = co_await (*opened)->read_some(5s);
                is_complete = part.has_value();
                if (!part || part->empty()) {
                    break;
                }
                body += *part;
            }
            while (timed_front.requests_in_progress() > 0) {
                co_await sleep_for(1ms);
            }
        });
    }

    pacing_head head{context};
    duration reads_after{}; // The caller's pause before it reads the stream.
    time_point arrived_at{};
    time_point over_at{};
    http_server timed_front{context.get_executor(),
                            [this](http_exchange& exchange) { return serve_timed(exchange); }};
};

} // namespace

// Guards against a node that breaks off a stream before the time limit of its caller (LOST).
TEST_CASE("a stream that has begun is not ended before its time limit")
{
    constexpr duration time_left = 303ms;
    limit_fixture fixture;
    fixture.head.pause = 8ms;
    fixture.call_with(time_left);
    CHECK(fixture.status == 200);
    CHECK_FALSE(fixture.is_complete);
    CHECK_FALSE(fixture.head.has_ended_stream);
    const duration lasted = fixture.over_at - fixture.arrived_at;
    CHECK(lasted / 1us >= time_left / 1us);
}

// Guards against a stream that outlasts its time limit because bytes of it are always ready.
TEST_CASE("a stream whose events never pause is ended at its time limit")
{
    limit_fixture fixture;
    fixture.head.events_per_write = 200;
    fixture.call_with(300ms);
    CHECK(fixture.status == 200);
    CHECK_FALSE(fixture.is_complete);
    CHECK_FALSE(fixture.head.has_ended_stream);
    CHECK(fixture.over_at - fixture.arrived_at >= 300ms);
}

// Guards against a stream that outlasts its time limit because its caller reads slowly.
TEST_CASE("a stream whose caller reads nothing more is ended at its time limit")
{
    limit_fixture fixture;
    fixture.head.bytes_per_event = 256U << 10U; // More than the buffers of the sockets hold.
    fixture.reads_after = 2s;
    fixture.call_with(300ms);
    CHECK_FALSE(fixture.is_complete);
    CHECK_FALSE(fixture.head.has_ended_stream);
    CHECK(fixture.over_at - fixture.arrived_at < fixture.reads_after);
}
