/** \file
 * Defines replica_queue, in which calls to models wait for a replica with a free slot. Calls that
 * can't be admitted in time are refused immediately.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "routing/fair_queue.h"
#include "routing/replica_balancer.h"

namespace chervildyke {

struct replica_queue_request {
    replica_request wanted;
    std::string team;
    std::uint32_t urgency = 0; // Higher values go first, unlike the priority of call_route.
    time_point wait_until{};   // Refused afterwards.
    double fill_limit = 1;     // Fraction of a replica's slots that may be used before the call.
    bool is_failover = false;  // It was sent before; it is not refused before wait_until.
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
};

struct replica_queue_settings {
    std::uint32_t max_waiting = 200; // Calls of one model; as many as arrive in 1 s at the peak.
    duration rate_window = 2s;       // Time constant of the average admission rate.
};

/** One fair queue per model. */
class replica_queue {
  public:
    replica_queue(boost::asio::any_io_executor executor, replica_balancer& balancer,
                  replica_queue_settings settings = {});

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

    /** Refuses the waiting calls and all later ones, since the process ends. */
    void close();

    /** \return the number of waiting calls of all models. */
    std::size_t waiting() const;

  private:
    struct waiter;
    struct model_queue { // The waiting calls of one model.
        fair_queue order;
        std::map<std::uint64_t, std::shared_ptr<waiter>> waiters;
        double admissions_per_s = 0;
        time_point rate_at{};
    };

    std::optional<replica_queue_result> try_admit(const replica_queue_request& request);
    bool must_refuse(const model_queue& queue, const replica_queue_request& request,
                     time_point now) const;
    void record_admission(model_queue& queue, time_point now);

    boost::asio::any_io_executor executor_;
    replica_balancer& balancer_;
    replica_queue_settings settings_;
    std::map<std::string, model_queue> model_queues_; // By "service/model".
    std::uint64_t next_id_ = 0;
    bool admitting_ = false;
    bool closed_ = false;
};

} // namespace chervildyke
