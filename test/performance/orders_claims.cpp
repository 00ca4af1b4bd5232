/** \file
 * Tests the throughput of claims, and their latency, with a log of 300 appends per second.
 */
#include <algorithm>

#include <doctest/doctest.h>

#include "support/order_fixture.h"

using namespace chervildyke;
using namespace chervildyke::test;
namespace asio = boost::asio;

namespace {

constexpr std::uint64_t appends_per_second = 300;

/** Makes the log refuse appends above the rate as overloaded, like the log service. */
log_client limit_appends(log_client log, std::shared_ptr<std::vector<time_point>> append_times)
{
    log_client limited = log;
    limited.append =
        [log, append_times](std::string stream,
                            std::string payload) -> asio::awaitable<external_result<log_offset>> {
        const time_point second_ago = monotonic_clock::now() - 1s;
        std::erase_if(*append_times, [second_ago](time_point at) { return at <= second_ago; });
        if (append_times->size() >= appends_per_second) {
            co_return external_failure{external_error::overloaded, "too many appends"};
        }
        append_times->push_back(monotonic_clock::now());
        const auto offset = co_await log.append(std::move(stream), std::move(payload));
        co_return offset;
    };
    return limited;
}

struct load_counts {
    std::size_t won = 0;
    std::size_t settled = 0;
    std::vector<duration> claim_latencies;
    std::vector<duration> order_latencies; // Claim and settlement.
};

asio::awaitable<void> claim_and_settle(std::shared_ptr<order_stream> stream, std::string key,
                                       std::shared_ptr<load_counts> counts)
{
    const time_point started = monotonic_clock::now();
    const schema::order_claim claim = claim_of(key, key);
    const auto verdict = co_await stream->claim(claim, 3s);
    counts->claim_latencies.push_back(monotonic_clock::now() - started);
    if (verdict.result() == schema::claim_won) {
        ++counts->won;
        const auto settlement = settlement_of(key, key, schema::order_complete, "yes");
        const auto reply = co_await stream->settle(settlement, 3s);
        counts->settled += reply.kept() ? 1 : 0;
        counts->order_latencies.push_back(monotonic_clock::now() - started);
    }
}

duration percentile(const std::vector<duration>& sorted, std::size_t percent)
{
    return sorted.empty() ? duration(1h) : sorted[sorted.size() * percent / 100];
}

/** Claims and settles keys at a constant rate.
 * \return the counts, with the latencies sorted.
 */
load_counts run_load(std::size_t per_second, duration span, duration latency)
{
    asio::io_context context;
    manual_clock clock(context);
    memory_log log;
    log.set_latency(latency);
    const auto append_times = std::make_shared<std::vector<time_point>>();
    const auto counts = std::make_shared<load_counts>();
    std::vector<std::shared_ptr<order_stream>> streams;
    for (std::uint32_t i = 0; i < default_order_streams; ++i) {
        order_stream_settings settings;
        settings.stream = "orders-" + std::to_string(i);
        streams.push_back(std::make_shared<order_stream>(
            context.get_executor(), settings, limit_appends(log.client("one"), append_times),
            seeded_random(i)));
        streams.back()->start();
    }
    clock.advance(1s);
    std::size_t made = 0;
    const auto steps = static_cast<std::size_t>(span / 1ms);
    for (std::size_t step = 1; step <= steps; ++step) {
        for (; made < per_second * step / 1000; ++made) {
            const std::string key = "key-" + std::to_string(made);
            const std::string name = order_stream_of("tenant", key, default_order_streams);
            asio::co_spawn(context,
                           claim_and_settle(streams[std::stoul(name.substr(7))], key, counts),
                           asio::detached);
        }
        clock.advance(1ms);
    }
    clock.advance(4s);
    MESSAGE(per_second << " orders/s, log round trip " << latency / 1ms << " ms: won "
                       << counts->won << ", settled " << counts->settled << ", appends a second "
                       << log.appends() * 1000 / steps);
    for (const auto& stream : streams) {
        stream->stop();
    }
    log.set_outage(true);
    clock.advance(4s);
    std::sort(counts->claim_latencies.begin(), counts->claim_latencies.end());
    std::sort(counts->order_latencies.begin(), counts->order_latencies.end());
    return *counts;
}

void print_percentiles(const char* what, const std::vector<duration>& latencies)
{
    MESSAGE(std::string(what) << " p50 " << percentile(latencies, 50) / 1ms << " ms, p95 "
                              << percentile(latencies, 95) / 1ms << " ms, p99 "
                              << percentile(latencies, 99) / 1ms << " ms");
}

} // namespace

TEST_CASE("300 appends per second suffice for 2,000 claims per second and their settlements")
{
    const load_counts counts = run_load(2000, 10s, 10ms);
    print_percentiles("claim", counts.claim_latencies);
    print_percentiles("claim and settlement", counts.order_latencies);
    CHECK(counts.won == 20'000);
    CHECK(counts.settled == 20'000);
}

TEST_CASE("claim and settlement take at most two log round trips and 20 ms at the 95th percentile")
{
    for (const duration latency : {duration(2ms), duration(10ms), duration(40ms)}) {
        const load_counts counts = run_load(500, 5s, latency);
        print_percentiles("claim", counts.claim_latencies);
        print_percentiles("claim and settlement", counts.order_latencies);
        CHECK(counts.settled == 2'500);
        CHECK(percentile(counts.order_latencies, 95) <= 2 * latency + 20ms);
    }
}
