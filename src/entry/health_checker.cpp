/** \file
 * Implements health_checker.
 */
#include "entry/health_checker.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chervildyke {

namespace {

namespace asio = boost::asio;

constexpr duration check_interval = 1s;
constexpr duration report_timeout = 800ms;

/** The check of one replica. It counts from its start, so that no report in it is older. */
struct replica_check {
    std::uint64_t replica = 0;
    int members_pending = 0;
    time_point started_at{};
};

asio::awaitable<void> check_member(std::shared_ptr<replica_router> router, engine_client engines,
                                   std::string address, std::shared_ptr<replica_check> check)
{
    const auto report = co_await engines.report(std::move(address), report_timeout);
    if (!report || !is_ready_member(*report, check->replica)) {
        router->note_unhealthy(check->replica);
        co_return;
    }
    --check->members_pending;
    if (check->members_pending == 0) {
        router->note_healthy(check->replica, check->started_at);
    }
}

} // namespace

bool is_ready_member(const schema::engine_report& report, std::uint64_t replica)
{
    return report.replica_id() == replica && report.fencing() == replica &&
           report.condition() == schema::engine_ready && !report.leaving();
}

health_checker::health_checker(std::shared_ptr<replica_router> router, engine_client engines,
                               std::function<bool()> view_is_stale)
    : router_(std::move(router)), engines_(std::move(engines)),
      view_is_stale_(std::move(view_is_stale))
{
}

asio::awaitable<void> health_checker::check_replicas(routing_view_ptr view)
{
    const auto executor = co_await asio::this_coro::executor;
    for (const schema::replica_view& replica : view->replicas()) {
        if (!replica.serving()) {
            continue;
        }
        const auto check = std::make_shared<replica_check>();
        check->replica = replica.replica_id();
        check->members_pending = replica.members_size();
        check->started_at = monotonic_clock::now();
        for (const schema::member_view& member : replica.members()) {
            asio::co_spawn(executor, check_member(router_, engines_, member.address(), check),
                           asio::detached);
        }
    }
}

asio::awaitable<void> health_checker::run()
{
    while (true) {
        const routing_view_ptr view = current_view ? current_view() : nullptr;
        if (view && view_is_stale_()) {
            co_await check_replicas(view);
        }
        co_await sleep_for(check_interval);
    }
}

} // namespace chervildyke
