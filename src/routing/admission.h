/** \file
 * Defines admission, the admission control of a node: each call is admitted, queued or refused on
 * arrival.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "base/result.h"
#include "routing/fair_queue.h"

namespace chervildyke {

/** The properties of a call on which its admission depends. */
struct admission_request {
    std::string team;
    std::string tenant;
    std::uint32_t share = 1;                // Weight of the tenant in fair queueing.
    std::uint32_t priority = 0;             // Higher values go first, unlike those of call_route.
    std::uint32_t max_concurrent_calls = 0; // Of the tenant at this node; zero for no limit.
    std::uint32_t max_calls_per_second = 0; // Of the tenant at this node; zero for no limit.
    std::uint32_t max_queued_calls = 0;     // Of the team at this node; zero for the default.
    time_point deadline{};

    bool operator==(const admission_request&) const = default;
};

enum class admission_error {
    none,
    tenant_rate,          // The tenant exceeds its rate of calls.
    tenant_concurrency,   // The tenant has reached its limit of concurrent calls.
    queue_full,           // The tenant's share of the team's queue is full.
    deadline_unreachable, // The call is not expected to be answered by its deadline.
    no_capacity,          // The team has no serving replica.
};

/** Why a call is refused, and after what time it may be retried. */
struct admission_refusal {
    admission_error code = admission_error::none;
    std::string reason;
    duration retry_after{};
};

/** Holds one unit of the team's capacity and releases it when destroyed. */
class admission_ticket;
using admission_ticket_ptr = std::unique_ptr<admission_ticket>;

/** Either a ticket or a refusal. */
struct admission_decision {
    admission_ticket_ptr ticket;
    admission_refusal refusal;
    duration waited{};        // Time in the queue.
    bool within_share = true; // The tenant had no other call queued for the team.
};

/** Enforces the limits of tenants, divides each team's capacity between them by weighted fair
 * queueing, and refuses a call as soon as it is not expected to be answered by its deadline.
 */
class admission {
  public:
    /** Returns how many calls of this node a team's replicas may carry now. */
    using capacity_hook = std::function<std::uint32_t(const std::string& team)>;

    admission(boost::asio::any_io_executor executor, capacity_hook capacity);
    ~admission();
    admission(const admission&) = delete;
    admission& operator=(const admission&) = delete;

    /** Admits or refuses a call; waits in the team's queue if necessary. */
    boost::asio::awaitable<admission_decision> admit(admission_request request);

    /** Admits queued calls after a team's capacity has increased. */
    void capacity_changed();

    /** \return the number of queued calls. */
    std::size_t waiting() const;
    /** \return the number of tickets held. */
    std::size_t admitted() const;

    /** \return the mean time for which a ticket of the team is held, or 500 ms before any was
     * released. */
    duration mean_service_time(const std::string& team) const;

  private:
    friend class admission_ticket;
    struct state;
    std::shared_ptr<state> state_;
};

class admission_ticket {
  public:
    admission_ticket(std::shared_ptr<admission::state> owner, std::string team, std::string tenant);
    ~admission_ticket();
    admission_ticket(const admission_ticket&) = delete;
    admission_ticket& operator=(const admission_ticket&) = delete;

  private:
    std::shared_ptr<admission::state> owner_;
    std::string team_;
    std::string tenant_;
    time_point admitted_at_;
};

} // namespace chervildyke
