/** \file
 * Defines admission, which decides at once whether a call is let in, waits or is refused.
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

/** What a call asks for when it comes in. */
struct admission_request {
    std::string team;
    std::string tenant;
    std::uint32_t share = 1;
    std::uint32_t priority = 0;
    std::uint32_t max_concurrent_calls = 0; // Of the tenant, here; zero: no limit.
    std::uint32_t max_calls_per_second = 0; // Of the tenant, here; zero: no limit.
    std::uint32_t max_queued_calls = 0;     // Of the team, here; zero: the default.
    time_point deadline{};

    bool operator==(const admission_request&) const = default;
};

enum class admission_error {
    none,
    tenant_rate,        // The tenant calls faster than it may.
    tenant_concurrency, // The tenant has as many calls as it may.
    queue_full,         // The tenant's part of the team's queue is full.
    too_late,           // The call would not be answered by its deadline.
    no_capacity,        // The team has no replica now.
};

/** Why a call was refused and when it may come back. */
struct admission_refusal {
    admission_error code = admission_error::none;
    std::string reason;
    duration retry_after{};
};

/** A place at the team's replicas, given back when the ticket goes. */
class admission_ticket;
using admission_ticket_ptr = std::unique_ptr<admission_ticket>;

/** Either a ticket or a refusal. */
struct admission_verdict {
    admission_ticket_ptr ticket;
    admission_refusal refusal;
    duration waited{};
    bool within_share = true; // The tenant had no other call waiting for the team.
};

/** Limits tenants, shares each team's capacity between them, and refuses early what can't be
 * answered in time. A call that is given up is refused at once.
 */
class admission {
  public:
    /** Says how many calls of this entry a team's replicas may carry now. */
    using capacity_hook = std::function<std::uint32_t(const std::string& team)>;

    admission(boost::asio::any_io_executor executor, capacity_hook capacity);
    ~admission();
    admission(const admission&) = delete;
    admission& operator=(const admission&) = delete;

    boost::asio::awaitable<admission_verdict> enter(admission_request request);

    /** Lets waiting calls in after a team's capacity has grown. */
    void capacity_changed();

    std::size_t waiting() const;
    std::size_t admitted() const;

    /** \return the mean time that a ticket of the team is held. */
    duration mean_hold(const std::string& team) const;

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
    time_point began_;
};

} // namespace chervildyke
