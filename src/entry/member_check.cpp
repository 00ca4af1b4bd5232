/** \file
 * Implements member_check.
 */
#include "entry/member_check.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chervildyke {

namespace {

namespace asio = boost::asio;

constexpr duration check_interval = 1s;
constexpr duration report_timeout = 800ms;

/** One replica's check: as old as its oldest answer. */
struct replica_check {
    std::uint64_t replica = 0;
    int missing = 0;
    time_point began_at{};
};

asio::awaitable<void> check_member(std::shared_ptr<replica_router> router, engine_client engines,
                                   std::string address, std::shared_ptr<replica_check> check)
{
    const auto report = co_await engines.report(std::move(address), report_timeout);
    if (!report || !holds_replica(*report, check->replica)) {
        router->note_unhealthy(check->replica);
        co_return;
    }
    --check->missing;
    if (check->missing == 0) {
        router->note_healthy(check->replica, check->began_at);
    }
}

} // namespace

bool holds_replica(const schema::engine_report& report, std::uint64_t replica)
{
    return report.replica_id() == replica && report.fencing() == replica &&
           report.condition() == schema::engine_ready && !report.leaving();
}

member_check::member_check(std::shared_ptr<replica_router> router, engine_client engines,
                           std::function<bool()> stale)
    : router_(std::move(router)), engines_(std::move(engines)), stale_(std::move(stale))
{
}

asio::awaitable<void> member_check::check_all(routing_view_ptr in_use)
{
    const auto executor = co_await asio::this_coro::executor;
    for (const schema::replica_view& replica : in_use->replicas()) {
        if (!replica.serving()) {
            continue;
        }
        const auto check = std::make_shared<replica_check>();
        check->replica = replica.replica_id();
        check->missing = replica.members_size();
        check->began_at = monotonic_clock::now();
        for (const schema::member_view& member : replica.members()) {
            asio::co_spawn(executor, check_member(router_, engines_, member.address(), check),
                           asio::detached);
        }
    }
}

asio::awaitable<void> member_check::run()
{
    while (true) {
        const routing_view_ptr in_use = view ? view() : nullptr;
        if (in_use && stale_()) {
            co_await check_all(in_use);
        }
        co_await sleep_for(check_interval);
    }
}

} // namespace chervildyke
