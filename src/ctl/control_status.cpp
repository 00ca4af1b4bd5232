/** \file
 * Implements the status requests of chervilctl to control nodes.
 */
#include "ctl/control_status.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chervildyke {

namespace {

constexpr duration status_timeout = 2s;
constexpr duration completion_poll_interval = 5ms;

/** The results of concurrent requests, shared by the tasks that fill them in. */
struct pending_statuses {
    std::vector<control_status> statuses;
    std::size_t pending = 0; // Requests without a result.
};

boost::asio::awaitable<void> fetch_control_status(boost::asio::any_io_executor executor,
                                                  std::shared_ptr<pending_statuses> shared,
                                                  std::size_t index, bool with_replicas)
{
    control_client control(executor, shared->statuses[index].address);
    schema::status_request request;
    request.set_with_replicas(with_replicas);
    auto reply = co_await control.node_status(std::move(request), status_timeout);
    if (reply) {
        shared->statuses[index].reply = std::move(*reply);
    }
    else {
        shared->statuses[index].last_reason = reply.failure().reason;
    }
    --shared->pending;
}

} // namespace

boost::asio::awaitable<std::vector<control_status>>
fetch_control_statuses(boost::asio::any_io_executor executor, std::vector<std::string> addresses,
                       bool with_replicas)
{
    const auto shared = std::make_shared<pending_statuses>();
    for (const std::string& address : addresses) {
        shared->statuses.push_back({address, std::nullopt, ""});
    }
    shared->pending = addresses.size();
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        boost::asio::co_spawn(executor, fetch_control_status(executor, shared, i, with_replicas),
                              boost::asio::detached);
    }
    while (shared->pending > 0) {
        co_await sleep_for(completion_poll_interval);
    }
    co_return std::move(shared->statuses);
}

rollout_progress measure_rollout(const std::vector<control_status>& statuses, std::uint64_t version)
{
    rollout_progress progress;
    progress.total_controls = statuses.size();
    for (const control_status& status : statuses) {
        if (!status.reply) {
            continue;
        }
        ++progress.responding_controls;
        progress.updated_controls += status.reply->configuration_version() >= version ? 1U : 0U;
        progress.updated_entries +=
            status.reply->entry_configuration_version() >= version ? 1U : 0U;
    }
    return progress;
}

} // namespace chervildyke
