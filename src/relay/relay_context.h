/** \file
 * Defines relay_context, what all calls of one node share.
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
#include "fleet/backend_table.h"
#include "fleet/published_configuration.h"
#include "relay/call_dialect.h"
#include "relay/call_gate.h"
#include "routing/backend_balancer.h"
#include "routing/backend_notices.h"
#include "routing/demand_meter.h"
#include "routing/replica_balancer.h"
#include "routing/retry_policy.h"

namespace chervildyke {

struct relay_limits {
    double retry_ratio = 0.2;    // Of this node's calls.
    double retry_reserve = 5;    // Of this node.
    duration key_staleness = 5s; // Keys are honoured while the configuration is younger.
    std::size_t max_answer_bytes = 4U << 20U; // Of an answer that is held until it is whole.
    duration max_lag = 400ms; // Of the event loop; a node further behind turns calls away. Most
                              // targets for a first event are not much longer.
};

/** Shared by all calls; outlives each of them. */
struct relay_context {
    boost::asio::any_io_executor executor;
    random_source random;
    call_dialect dialect;
    relay_limits limits;
    std::shared_ptr<http_client> http;
    std::shared_ptr<metrics_registry> metrics;
    std::shared_ptr<replica_balancer> board;
    std::shared_ptr<call_gate> gate;
    std::shared_ptr<backend_balancer> book;
    std::shared_ptr<backend_notices> notices;
    demand_meter demand;
    const backend_table* backends = nullptr;
    std::map<std::string, retry_budget> budgets; // By service.
    byte_budget gathered{32U << 20U}; // Answers held until they are whole; a fifth of the smallest
                                      // node's memory.
    bool leaving = false;
    loop_lag lag;

    /** The newest configuration; null before the first. */
    std::function<published_configuration_ptr()> services;

    /** Since the configuration was last confirmed as the newest. */
    std::function<std::optional<duration>()> configuration_age;

    retry_budget& budget_of(const std::string& service)
    {
        const auto found = budgets.try_emplace(service, limits.retry_ratio, limits.retry_reserve,
                                               limits.retry_reserve);
        found.first->second.set_cap(limits.retry_reserve);
        return found.first->second;
    }
};

} // namespace chervildyke
