/** \file
 * Defines relay_context, the state that all calls of one node share.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "base/byte_budget.h"
#include "base/http_client.h"
#include "base/loop_lag.h"
#include "base/metrics.h"
#include "base/random.h"
#include "detour/server_links.h"
#include "fleet/backend_table.h"
#include "fleet/published_configuration.h"
#include "relay/call_codec.h"
#include "relay/cold_servers.h"
#include "relay/replica_queue.h"
#include "relay/stop_grace.h"
#include "routing/backend_balancer.h"
#include "routing/backend_notices.h"
#include "routing/crash_evidence.h"
#include "routing/demand_meter.h"
#include "routing/prompt_turns.h"
#include "routing/replica_balancer.h"
#include "routing/retry_policy.h"

namespace chervildyke {

struct relay_limits {
    double retry_ratio = 0.2;    // Retries per call of this node.
    double retry_reserve = 5;    // Retries of this node beyond the ratio.
    duration key_staleness = 5s; // Maximum age of the configuration by which keys are accepted.
    std::size_t max_answer_bytes = 4U << 20U; // Of one buffered answer.
    duration max_lag = 400ms; // Of the event loop; with a longer lag the node refuses calls. Most
                              // latency targets for a first event are not much longer.
};

/** State shared by all calls; it outlives each of them. */
struct relay_context {
    boost::asio::any_io_executor executor;
    random_source random;
    call_codec codec;
    relay_limits limits;
    std::shared_ptr<http_client> http;
    std::shared_ptr<metrics_registry> metrics;
    std::shared_ptr<replica_balancer> replica_lb;
    std::shared_ptr<replica_queue> queue;
    std::shared_ptr<backend_balancer> backend_lb;
    std::shared_ptr<backend_notices> notices;
    std::shared_ptr<crash_evidence> crashes = std::make_shared<crash_evidence>();
    std::shared_ptr<prompt_turns> turns = std::make_shared<prompt_turns>(system_random());
    demand_meter demand;
    std::shared_ptr<cold_servers> cold;  // Null if no server is limited.
    std::shared_ptr<server_links> links; // Null: requests are always sent directly.
    const backend_table* backends = nullptr;
    std::map<std::string, retry_budget> budgets; // By service.
    byte_budget buffered{32U << 20U}; // Answers and events, buffered until they are whole; a fifth
                                      // of the memory of the smallest node.
    bool leaving = false;
    stop_grace stopping; // Begins when the node leaves.

    /** Called when each call must end, since the process does; by call. Shared, since a call that
     * is cut off when the process ends removes its own after the context is gone.
     */
    std::shared_ptr<std::map<const void*, std::function<void()>>> end_hooks =
        std::make_shared<std::map<const void*, std::function<void()>>>();

    /** Ends the calls in progress, which then send their answers, and refuses those that wait. */
    void end_calls() const
    {
        queue->close();
        const auto hooks = *end_hooks; // A call that ends removes its own.
        for (const auto& [call, end] : hooks) {
            end();
        }
    }

    loop_lag lag;

    /** \return the current configuration; null before the first one is read. */
    std::function<published_configuration_ptr()> configuration;

    /** \return the time since the configuration was last confirmed as the newest; nullopt before.
     */
    std::function<std::optional<duration>()> configuration_age;

    /** \return true if no call may be sent to servers of the failure domain. */
    std::function<bool(const std::string& domain)> is_evacuated = [](const std::string&) {
        return false;
    };

    /** \return whether the server may be called, by its notices and by its entry in the list: one
     * that has expired, or whose failure domain is evacuated, counts as leaving.
     */
    backend_availability availability(const backend_incarnation& server, time_point now) const
    {
        backend_availability current = notices->availability(server, now);
        const listed_backend* listed = backends->find(server.id);
        const bool is_out_of_use =
            listed != nullptr &&
            (listed->has_expired(now) || is_evacuated(listed->server.failure_domain));
        current.leaving = current.leaving || is_out_of_use;
        return current;
    }

    retry_budget& budget_of(const std::string& service)
    {
        const auto found = budgets.try_emplace(service, limits.retry_ratio, limits.retry_reserve,
                                               limits.retry_reserve);
        found.first->second.set_cap(limits.retry_reserve);
        return found.first->second;
    }
};

} // namespace chervildyke
