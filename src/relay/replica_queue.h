/** \file
 * Defines replica_queue, in which calls to models wait for a replica with a free slot. Calls that
 * can't be admitted in time are refused immediately.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "base/random.h"
#include "routing/fair_queue.h"
#include "routing/model_load.h"
#include "routing/overload_policy.h"
#include "routing/replica_balancer.h"

namespace chervildyke {

struct replica_queue_request {
    replica_request wanted;
    std::string team;
    std::uint32_t urgency = 0; // Higher values go first, unlike the priority of call_route.
    time_point wait_until{};   // Refused afterwards.
    double fill_limit = 1;     // Fraction of a replica's slots that may be used before the call.
    bool is_failover = false;  // It was sent before; it is not refused before wait_until.
    // Where calls differ in urgency: replaces urgency, wait_until and fill_limit.
    std::optional<overload_terms> overload;
};

enum class replica_queue_outcome { admitted, no_replica, too_many_waiting, waited_too_long };

/** \return the outcome as it appears in logs and answers. */
const char* to_text(replica_queue_outcome outcome);

struct replica_queue_result {
    replica_queue_outcome outcome = replica_queue_outcome::no_replica;
    std::optional<selected_replica> selected;
    std::unique_ptr<replica_balancer::call> slot; // Occupies a slot of the replica while it exists.
    std::optional<time_point> paused_until; // All replicas have asked for no calls until then.
    std::string replica_summary;            // State of the model's replicas, for the log.
    // Set if the request has overload terms: the rank at the end of the wait,
    std::optional<call_rank> rank;
    std::optional<duration> retry_after; // and of a refusal.
};

struct replica_queue_settings {
    std::uint32_t max_waiting = 200; // Calls of one model; as many as arrive in 1 s at the peak.
    duration rate_window = 2s;       // Time constant of the average admission rate.
};

/** One fair queue per model. */
class replica_queue {
  public:
    replica_queue(boost::asio::any_io_executor executor, replica_balancer& balancer,
                  replica_queue_settings settings = {}, random_source random = system_random());

    /** Waits until a replica has a free slot, request.wait_until has passed, or the call is
     * refused.
     */
    boost::asio::awaitable<replica_queue_result> admit(replica_queue_request request);

    /** \return a slot for a call that fails over, or nullopt if no replica has a free one now. The
     * queue is not consulted.
     */
    std::optional<replica_queue_result> admit_now(const replica_queue_request& request);

    /** Admits waiting calls to free slots. Must be called whenever a call ends, the replicas change
     * or a peer reports its usage of replicas.
     */
    void admit_waiting();

    /** Reports what becomes of calls with overload terms: "started", "waiting", "refused" or, of
     * one that has waited, "given_up". May be empty.
     */
    std::function<void(const char* decision, const call_rank& rank)> on_decision;

    /** Adds the time for which a call has occupied a slot of the model. */
    void note_held(const std::string& service, const std::string& model, duration held);

    /** Replaces what a peer has reported of the calls that wait there. */
    void note_peer_waiting(const std::string& peer, waiting_counts waiting)
    {
        peers_.note(peer, std::move(waiting), monotonic_clock::now());
    }

    /** \return the waiting calls with overload terms, to be reported to peers. */
    waiting_counts own_waiting() const;

    /** Refuses the waiting calls and all later ones, since the process ends. */
    void close();

    /** \return the number of waiting calls of all models. */
    std::size_t waiting() const;

  private:
    struct waiter;
    using waiter_map = std::map<std::uint64_t, std::shared_ptr<waiter>>;
    struct model_queue { // The waiting calls of one model.
        fair_queue order;
        waiter_map waiters;
        double admissions_per_s = 0;
        time_point rate_at{};
        model_load load;
        time_point reviewed_at{};
    };

    std::optional<replica_queue_result> try_admit(const replica_queue_request& request);
    boost::asio::awaitable<replica_queue_result> admit_by_rank(replica_queue_request request);
    std::optional<duration> wait_of(const std::string& name, const model_queue& queue,
                                    const call_rank& rank, double local_ahead,
                                    time_point now) const;
    replica_queue_result refusal(const replica_queue_request& request,
                                 replica_queue_outcome outcome, std::optional<duration> wait,
                                 time_point now);
    void review_waiting(const std::string& name, model_queue& queue, time_point now);
    static rank_counts counts_of(const waiter_map& waiters);
    void report(const char* decision, const call_rank& rank) const;
    bool must_refuse(const model_queue& queue, const replica_queue_request& request,
                     time_point now) const;
    void record_admission(model_queue& queue, time_point now);

    boost::asio::any_io_executor executor_;
    replica_balancer& balancer_;
    replica_queue_settings settings_;
    random_source random_;
    std::map<std::string, model_queue> model_queues_; // By "service/model".
    peer_waiting_calls peers_;
    std::uint64_t next_id_ = 0;
    bool admitting_ = false;
    bool closed_ = false;
};

} // namespace chervildyke
