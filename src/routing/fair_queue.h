/** \file
 * Defines fair_queue, the bounded queue of calls that wait for a replica of one team.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "base/clock.h"

namespace chervildyke {

struct queued_call {
    std::uint64_t id = 0; // Given by the owner of the queue; unique.
    std::string tenant;
    std::uint32_t share = 1;
    std::uint32_t priority = 0; // A higher one goes first.
    time_point deadline{};

    bool operator==(const queued_call&) const = default;
};

/** Start-time fair queueing over tenants: each gets calls through in proportion to its share,
 * however many it has waiting. Priorities go before shares.
 */
class fair_queue {
  public:
    void push(const queued_call& call);

    /** \return the call that is next. */
    std::optional<queued_call> pop();

    /** \return false when it was not in the queue. */
    bool remove(std::uint64_t id);

    std::size_t size() const { return order_.size(); }
    std::size_t size_of(const std::string& tenant) const;

    /** \return how many calls would go before a new one of the tenant, by shares. */
    double calls_before(const std::string& tenant, std::uint32_t share) const;

    /** \return how many of the queue's places the tenant may hold.
     * \param places all places of the queue.
     */
    std::size_t places_of(const std::string& tenant, std::uint32_t share, std::size_t places) const;

  private:
    struct tenant_state {
        double finish_tag = 0;
        std::uint32_t share = 1;
        std::size_t waiting = 0;
    };
    // Lower priority last, then the start tag, then the order of arrival.
    using order_key = std::tuple<std::int64_t, double, std::uint64_t>;

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
