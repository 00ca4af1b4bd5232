/** \file
 * Defines replica_router, which keeps what routing knows of the replicas and picks one for a call.
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
#include "routing/latency_book.h"
#include "routing/prefix_memory.h"
#include "routing/replica_choice.h"

namespace chervildyke {

/** A replica picked for one attempt. */
struct chosen_replica {
    std::uint64_t replica = 0; // Also the fencing number.
    std::string address;       // ip:port of the member that takes calls.

    bool operator==(const chosen_replica&) const = default;
};

struct routing_question {
    std::string team;
    std::string adapter;                 // Empty: none.
    std::vector<std::uint64_t> prefixes; // See prefix_blocks().
    std::vector<std::uint64_t> avoid;    // Replicas that failed this call already.

    bool operator==(const routing_question&) const = default;
};

/** Counts own calls exactly, measures replicas and chooses among those that are whole. A replica
 * counts as whole while the reports of all its members are fresh, or while own checks say so.
 */
class replica_router {
  public:
    /** \param own_domain the entry's failure domain.
     * \param report_freshness the oldest report that still counts.
     */
    replica_router(std::string own_domain, duration report_freshness, random_source random);

    /** Takes over a new view. */
    void use_view(std::shared_ptr<const schema::routing_view> view, time_point arrived_at);

    /** Notes that the entry itself found all members of a replica whole. */
    void note_checked(std::uint64_t replica, time_point at);

    /** Forgets own checks of a replica, since a member dissents or is gone. */
    void note_incomplete(std::uint64_t replica);

    /** \return true when the replica may be sent calls. */
    bool usable(std::uint64_t replica, time_point now) const;

    /** \return nothing when no replica of the team is whole and has room. */
    std::optional<chosen_replica> choose(const routing_question& question, time_point now);

    /** \return how many calls of this entry the team's whole replicas may carry. */
    std::uint32_t capacity(const std::string& team, time_point now) const;

    /** \return false when no whole replica of the team has the adapter loaded. */
    bool has_adapter(const std::string& team, const std::string& adapter, time_point now) const;

    // What happens to an attempt; sent() and ended() come in pairs.
    void sent(std::uint64_t replica, const std::vector<std::uint64_t>& prefixes);
    void first_token(std::uint64_t replica, duration time, time_point now);
    void token(std::uint64_t replica, duration time);
    void failed(std::uint64_t replica, time_point now);
    void refused(std::uint64_t replica, time_point now);
    void ended(std::uint64_t replica);

    std::uint32_t own_calls(std::uint64_t replica) const;

    /** \return the replicas that have calls or may get some, for own checks. */
    std::vector<const schema::replica_view*> replicas() const;

  private:
    struct replica_state {
        const schema::replica_view* view = nullptr; // Null once the view lacks it.
        std::uint32_t own_calls = 0;
        std::uint32_t own_calls_at_view = 0;
        time_point checked_at{};
        concurrency_limit limit;
        prefix_memory prefixes;
    };

    bool whole(const replica_state& of, time_point now) const;
    replica_candidate candidate(const replica_state& of, const routing_question& question,
                                const replica_standing& standing) const;
    void set_limit(replica_state& of, bool is_new) const;

    std::string own_domain_;
    duration report_freshness_;
    random_source random_;
    choice_policy policy_;
    std::shared_ptr<const schema::routing_view> view_;
    time_point arrived_at_{};
    std::unordered_map<std::uint64_t, replica_state> replicas_;
    std::unordered_map<std::string, std::vector<std::uint64_t>> by_team_;
    latency_book latencies_;
};

} // namespace chervildyke
