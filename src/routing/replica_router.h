/** \file
 * Defines replica_router, which tracks the state of replicas and chooses one for a call.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "control_api.pb.h"
#include "routing/concurrency_limit.h"
#include "routing/outlier_detector.h"
#include "routing/prefix_cache_estimate.h"
#include "routing/replica_choice.h"

namespace chervildyke {

/** A replica chosen for one attempt. */
struct chosen_replica {
    std::uint64_t replica = 0; // Also the fencing token.
    std::string address;       // ip:port of the member that takes calls.

    bool operator==(const chosen_replica&) const = default;
};

/** A call for which a replica is to be chosen. */
struct routing_request {
    std::string team;
    std::string adapter;                 // Empty for none.
    std::vector<std::uint64_t> prefixes; // See prefix_block_hashes().
    std::vector<std::uint64_t> avoid;    // Replicas at which this call has failed.

    bool operator==(const routing_request&) const = default;
};

/** Counts this node's calls exactly, measures the replicas and chooses among the healthy ones. A
 * replica is healthy while the reports of all its members are fresh, or while this node's own
 * health check is.
 */
class replica_router {
  public:
    /** \param own_domain this node's failure domain.
     * \param report_freshness the maximum age of a report or health check.
     */
    replica_router(std::string own_domain, duration report_freshness, random_source random);

    /** Replaces the routing view.
     * \param arrived_at when this node received it. */
    void use_view(std::shared_ptr<const schema::routing_view> view, time_point arrived_at);

    /** Records that this node's own check found all members of a replica healthy. */
    void note_healthy(std::uint64_t replica, time_point at);

    /** Discards own checks of a replica, since a member disagrees or is gone. */
    void note_unhealthy(std::uint64_t replica);

    /** \return true if the replica may be sent calls. */
    bool usable(std::uint64_t replica, time_point now) const;

    /** \return nothing if no healthy replica of the team is below its limit. */
    std::optional<chosen_replica> choose(const routing_request& request, time_point now);

    /** \return how many calls of this node the team's healthy replicas may carry. */
    std::uint32_t capacity(const std::string& team, time_point now) const;

    /** \return true if a healthy replica of the team has the adapter loaded. */
    bool has_adapter(const std::string& team, const std::string& adapter, time_point now) const;

    // Events of an attempt; each sent() is followed by one ended().
    void sent(std::uint64_t replica, const std::vector<std::uint64_t>& prefixes);
    void first_token(std::uint64_t replica, duration time, time_point now);
    void token(std::uint64_t replica, duration time);
    void failed(std::uint64_t replica, time_point now);
    void refused(std::uint64_t replica, time_point now);
    void ended(std::uint64_t replica);

    std::uint32_t own_calls(std::uint64_t replica) const;

    /** \return the replicas of the routing view, for own health checks. */
    std::vector<const schema::replica_view*> replicas() const;

  private:
    struct replica_state {
        // Null if the routing view no longer contains the replica.
        const schema::replica_view* view = nullptr;
        std::uint32_t own_calls = 0;
        std::uint32_t own_calls_at_view = 0;
        time_point healthy_at{};
        concurrency_limit limit;
        prefix_cache_estimate prefixes;
    };

    bool is_healthy(const replica_state& of, time_point now) const;
    replica_candidate candidate(const replica_state& of, const routing_request& request,
                                const ejection_state& ejection) const;
    void set_limit(replica_state& of, bool is_new) const;

    std::string own_domain_;
    duration report_freshness_;
    random_source random_;
    choice_policy policy_;
    std::shared_ptr<const schema::routing_view> view_;
    time_point arrived_at_{};
    std::unordered_map<std::uint64_t, replica_state> replicas_;
    std::unordered_map<std::string, std::vector<std::uint64_t>> by_team_;
    outlier_detector outliers_;
};

} // namespace chervildyke
