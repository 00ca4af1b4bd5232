/** \file
 * Defines replica_balancer, which tracks the calls of all nodes at each replica and chooses a
 * replica for the next call.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "fleet/engine_profile.h"
#include "routing/backend_notices.h"
#include "routing/prediction_error.h"

namespace chervildyke {

/** A replica that takes calls. */
struct serving_replica {
    std::uint64_t epoch = 0; // Unique; identifies the replica between nodes.
    std::string name;
    std::string service;
    std::string model;
    std::string head_id;
    std::uint64_t head_started_ms = 0;
    std::string head_address;
    std::string failure_domain;

    bool operator==(const serving_replica&) const = default;
};

/** \return the incarnation of the replica's head. */
inline backend_incarnation head_incarnation(const serving_replica& replica)
{
    return {replica.head_id, replica.head_started_ms};
}

/** The calls that one node has at a replica. */
struct replica_usage {
    std::uint32_t running = 0;       // Calls that have not ended.
    std::uint32_t prompt_tokens = 0; // Of calls that have not received their first event.
    duration silent{}; // Since the last event or, before one, since the start; zero without calls.
    bool refuses = false; // Its head refuses calls although the replica has free slots.

    bool operator==(const replica_usage&) const = default;
};

/** A call for which a replica is to be chosen. */
struct replica_request {
    std::string service;
    std::string model;
    std::uint32_t prompt_tokens = 0;
    std::set<std::uint64_t> tried; // Epochs of replicas that this call has tried.
};

/** The replica chosen for a call, with the predicted latencies. */
struct selected_replica {
    serving_replica replica;
    duration first_event{};    // Predicted.
    duration event_gap{};      // Predicted.
    std::uint32_t running = 0; // Calls of all nodes there.
};

/** The result of choosing a replica, with counts that explain why none may be available. */
struct replica_selection {
    std::optional<selected_replica> selected; // Nothing if no replica is available.
    std::optional<time_point> paused_until;   // The earliest end of a pause of a replica's head.
    std::uint32_t serving = 0;                // Replicas of the model whose head accepts calls.
    std::uint32_t full = 0;                   // Of these, replicas without a free slot,
    std::uint32_t cold = 0;                   // full replicas whose head is cold,
    std::uint32_t stalled = 0;                // stalled replicas,
    std::uint32_t excluded = 0;   // and replicas excluded after a failure or tried by this call.
    std::uint32_t open_slots = 0; // Free slots of the replicas that may take the call.
};

/** Timeouts and limits of a replica_balancer. */
struct replica_balancer_settings {
    duration local_report_ttl = 2s; // After which a peer's usage expires: ten report intervals of a
                                    // node in the same failure domain.
    duration refusal_backoff = 250ms; // A full batch frees a slot sooner.
    duration max_refusal_backoff = 4s;
    // After a peer's report of refusals; its next reports renew it.
    duration reported_refusal_backoff = 500ms;
    // Share of slots in use above which a refusal only shows that the counts are outdated.
    double refusal_expected_fill = 0.5;
    duration remote_report_ttl = 6s; // Expiry for peers that report rarely, in other failure
                                     // domains of a large fleet: two report intervals.
    duration stall_limit = 400ms; // A replica with calls but no event for longer is stalled; four
                                  // times the longest event gap of a full batch.
    double remote_fill_limit = 0.75; // Share of slots used at replicas of another failure domain,
                                     // whose counts reach this node late.
    double remote_penalty = 1.2;     // Factor on the predicted time to first event there.
    // Random replicas compared for a call; with more, nodes that have the same outdated counts
    // would choose the same replica.
    std::uint32_t compared_replicas = 3;
};

/** Chooses the replica with the earliest predicted first event among a few random ones, from the
 * calls of this node and those that peers report.
 */
class replica_balancer {
  public:
    replica_balancer(random_source random, replica_balancer_settings settings = {});

    /** Sets the performance profile of a service's engines. */
    void set_profile(const std::string& service, const engine_profile& profile);

    /** Sets the replicas of all services that take calls now. */
    void set_serving(std::vector<serving_replica> replicas);
    const std::map<std::uint64_t, serving_replica>& serving() const { return serving_; }

    /** Returns the availability of a replica's head by its notices; may be empty. Replicas whose
     * head leaves or pauses get no calls.
     */
    std::function<backend_availability(const serving_replica&, time_point)> head_availability;

    /** Returns false if this node may not send a call to a replica's head now, since that is cold;
     * may be empty. Such a replica counts as full.
     */
    std::function<bool(const serving_replica&, time_point)> head_may_be_called;

    /** Called when a replica was chosen for a call that is sent next; may be empty. */
    std::function<void(const serving_replica&, time_point)> on_chosen;

    /** Prefers replicas of a failure domain, whose counts are the most recent at this node; empty
     * for no preference. */
    void prefer_domain(std::string failure_domain)
    {
        preferred_domain_ = std::move(failure_domain);
    }

    /** Removes the usage of peers that are not in the set. */
    void retain_peers(const std::set<std::string>& live);

    /** Replaces the usage that a peer reported before.
     * \param reports_rarely true for a node of another failure domain in a large fleet.
     */
    void note_peer_usage(const std::string& peer, std::map<std::uint64_t, replica_usage> uses,
                         time_point now, bool reports_rarely = false);

    /** Chooses the earliest predicted first event among a few random replicas with a free slot.
     * \param fill_limit the share of a replica's slots that may be in use before this call.
     * \return the replica, or the reasons why there is none.
     */
    replica_selection choose(const replica_request& request, double fill_limit, time_point now);

    /** Corrects later predictions by the time between sending a call and its first event. */
    void note_first_event(const selected_replica& selected, duration observed);

    /** \return the predicted time to first event at a replica with one free slot. */
    duration first_event_of_full_batch(const replica_request& request) const;

    /** Excludes a replica whose head refused a call. The backoff doubles with each refusal that the
     * calls counted at the replica don't explain, until the replica sends an event.
     */
    void note_refusal(const selected_replica& selected, time_point now);

    /** Ends the exclusions of all replicas of a service that failed attempts caused: the links of
     * this node have failed, not the replicas.
     */
    void forget_exclusions(const std::string& service);

    /** Excludes a replica until the given time, after it broke a connection, stalled or refused. */
    void exclude(std::uint64_t epoch, time_point until);

    /** Counts a call of this node at a replica until it is destroyed. */
    class call {
      public:
        call(replica_balancer& balancer, std::uint64_t epoch, std::uint32_t prompt_tokens,
             time_point now);
        ~call();
        call(const call&) = delete;
        call& operator=(const call&) = delete;

        /** Records an event of the call. */
        void note_event(time_point now);

      private:
        replica_balancer& balancer_;
        std::uint64_t epoch_;
        std::uint32_t pending_prompt_tokens_;
    };

    /** The usage of this node by epoch, to be reported to peers. */
    std::map<std::uint64_t, replica_usage> own_usage(time_point now) const;

    /** The usage of all nodes by epoch: of the serving replicas, and of others while calls run
     * there. The silence of a replica is the shortest that any node reports. */
    std::map<std::uint64_t, replica_usage> total_usage(time_point now) const;

    /** \return how long no node has received an event from the replica; zero if it has no calls. */
    duration silence_of(std::uint64_t epoch, time_point now) const;

    /** \return the calls of all nodes at replicas of the model. */
    std::uint32_t running_calls_of_model(const std::string& service, const std::string& model,
                                         time_point now) const;
    /** \return the batch slots of one replica of the service; zero if unknown. */
    std::uint32_t batch_slots(const std::string& service) const;
    /** \return the batch slots of all replicas of the model. */
    std::uint32_t slots_of_model(const std::string& service, const std::string& model) const;

  private:
    struct own_usage_state {
        std::uint32_t running = 0;
        std::uint32_t prompt_tokens = 0;
        time_point last_event{};
    };
    struct refusal_state {
        std::uint32_t unexpected_in_a_row = 0; // Not explained by the calls counted at the replica.
        time_point refused_until{};
    };
    struct peer_state {
        std::map<std::uint64_t, replica_usage> uses;
        time_point expires_at{};
    };
    /** The usage of a replica over all peers. It is updated with each report rather than summed for
     * each choice, since choices are far more frequent than reports.
     */
    struct peer_total {
        std::uint32_t running = 0;
        std::uint32_t prompt_tokens = 0;
        time_point last_event{}; // The latest that any peer received.
    };

    replica_usage usage_of(std::uint64_t epoch, time_point now) const;
    void subtract(const peer_state& peer);
    void remove_expired_peers(time_point now);
    struct candidate {
        const serving_replica* replica = nullptr;
        duration first_event{};
        std::uint32_t running = 0;
    };
    std::optional<candidate> best_of_sample(std::vector<candidate> open) const;

    random_source random_;
    replica_balancer_settings settings_;
    std::string preferred_domain_;
    std::map<std::string, engine_profile> profiles_;
    std::map<std::string, prediction_error> first_event_errors_; // By service and model.
    std::map<std::uint64_t, serving_replica> serving_;
    std::map<std::uint64_t, own_usage_state> own_usage_;
    std::map<std::uint64_t, refusal_state> refusals_;
    std::map<std::string, peer_state> peers_;
    std::map<std::uint64_t, peer_total> peer_totals_; // By epoch.
    time_point peers_expired_at_{};                   // When expired peers were last removed.
    std::map<std::uint64_t, time_point> excluded_until_;
};

} // namespace chervildyke
