/** \file
 * Defines fair_queue, the weighted fair queue of calls that wait for a replica of one team.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"

namespace chervildyke {

/** A call in the queue. */
struct queued_call {
    std::uint64_t id = 0; // Unique; assigned by the owner of the queue.
    std::string tenant;
    std::uint32_t share = 1;
    std::uint32_t priority = 0; // Higher values go first, unlike those of call_route.
    time_point deadline{};
    double delay = 0; // Moves it back among calls of its priority, in calls of one team.

    bool operator==(const queued_call&) const = default;
};

/** Start-time fair queueing over tenants: calls of each tenant leave the queue in proportion to its
 * share, however many it has queued. Calls of a higher priority go before all others.
 */
class fair_queue {
  public:
    void push(const queued_call& call);

    /** Removes the next call.
     * \return the call, or nothing if the queue is empty. */
    std::optional<queued_call> pop();

    /** Removes a call.
     * \return false if it was not in the queue. */
    bool remove(std::uint64_t id);

    /** Changes the priority of a call; its tenant is not charged again.
     * \return false if it was not in the queue. */
    bool set_priority(std::uint64_t id, std::uint32_t priority);

    /** \return the ids of the queued calls in the order in which they leave. */
    std::vector<std::uint64_t> ids() const;

    std::size_t size() const { return order_.size(); }
    std::size_t size_of(const std::string& tenant) const;

    /** \return an estimate, by shares, of how many calls leave the queue before a new one of the
     * tenant. */
    double expected_calls_ahead(const std::string& tenant, std::uint32_t share) const;

    /** \return how many queued calls would leave before a new one. */
    std::size_t calls_ahead(const queued_call& call) const;

    /** \return at most how many later calls of another tenant, with the priority of a new call,
     * would leave before it. */
    double max_overtaking(const queued_call& call, const std::string& other) const;

    /** \return how many calls the tenant may have in the queue; at least one.
     * \param max_queued the capacity of the whole queue.
     */
    std::size_t max_queued_of(const std::string& tenant, std::uint32_t share,
                              std::size_t max_queued) const;

  private:
    struct tenant_state {
        double finish_tag = 0;
        std::uint32_t share = 1;
        std::size_t waiting = 0;
    };
    // The negated priority, the start tag with the delay, and the order of arrival.
    using order_key = std::tuple<std::int64_t, double, std::uint64_t>;

    double next_start_tag(const std::string& tenant) const;
    double active_shares(const std::string& except) const;
    void forget_idle();
    void drop_one(const std::string& tenant);

    std::map<order_key, queued_call> order_;
    std::map<std::uint64_t, order_key> by_id_;
    std::map<std::string, tenant_state> tenants_;
    double virtual_time_ = 0;
    std::uint64_t arrivals_ = 0;
};

} // namespace chervildyke
