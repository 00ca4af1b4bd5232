/** \file
 * Defines wait_estimate, which bounds the time that a call waits in a team's fair_queue.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/clock.h"
#include "routing/fair_queue.h"

namespace chervildyke {

/** Measures the service times of a team's calls and the rates at which its tenants send them, and
 * bounds from them the wait of a call that is to be queued. The bound allows for calls that arrive
 * later and leave the queue earlier, and for the variance of service times.
 */
class wait_estimate {
  public:
    /** The time in which calls are served. */
    struct capacity {
        std::uint32_t slots = 1;  // Calls that are served at the same time; at least one.
        std::uint32_t in_use = 0; // May exceed the slots after the capacity has decreased.

        bool operator==(const capacity&) const = default;
    };

    /** Adds the service time of a call that has ended. */
    void note_service_time(duration held);

    /** Adds a call that was admitted or queued. */
    void note_arrival(const std::string& tenant, std::uint32_t priority, time_point now);

    /** \return the mean service time, or 500 ms before any call has ended. */
    duration service_time() const;

    /** \return a service time that few calls exceed. */
    duration max_service_time() const;

    /** \return the expected wait of a new call, without calls that arrive later. */
    duration mean_wait(const fair_queue& queue, const queued_call& call, capacity available) const;

    /** \return a wait that few calls exceed.
     * \param horizon the longest wait that is of use; calls that arrive within it may overtake the
     * new one.
     */
    duration max_wait(const fair_queue& queue, const queued_call& call, capacity available,
                      duration horizon, time_point now) const;

  private:
    struct arrival_rate {
        double per_s = 0;
        time_point at{};
    };
    // The priority and the tenant.
    using sender = std::pair<std::uint32_t, std::string>;
    struct calls {
        double mean = 0;
        double variance = 0;
    };

    static double decayed(const arrival_rate& rate, time_point now);
    calls overtaking(const fair_queue& queue, const queued_call& call, duration horizon,
                     time_point now) const;

    std::uint64_t ended_ = 0;
    double mean_ns_ = 0;
    double variance_ns2_ = 0;
    std::map<sender, arrival_rate> arrivals_;
};

} // namespace chervildyke
