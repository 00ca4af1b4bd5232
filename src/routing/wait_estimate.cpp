/** \file
 * Implements wait_estimate.
 */
#include "routing/wait_estimate.h"

#include <algorithm>
#include <cmath>

namespace chervildyke {

namespace {

constexpr duration default_service_time = 500ms; // Assumed until calls have ended.
constexpr double service_time_smoothing = 0.05;
// Variance of an exponential moving mean over that of its samples.
constexpr double service_mean_variance = service_time_smoothing / (2 - service_time_smoothing);
constexpr duration arrival_window = 2s; // Time constant of the rates of arrival.
constexpr double max_wait_deviations = 4;
constexpr double max_service_deviations = 2;
constexpr std::size_t max_senders = 1024;
constexpr double idle_rate_per_s = 0.01; // A sender with a lower rate may be forgotten.

double in_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

duration from_ns(double ns)
{
    return duration(static_cast<std::int64_t>(ns));
}

double calls_before(const fair_queue& queue, const queued_call& call,
                    wait_estimate::capacity available)
{
    const std::uint32_t excess = available.in_use - std::min(available.in_use, available.slots);
    return static_cast<double>(queue.calls_ahead(call) + excess) + 1.0;
}

} // namespace

void wait_estimate::note_service_time(duration held)
{
    ++ended_;
    // The first samples replace the assumed time; later ones decay.
    const double gain = std::max(service_time_smoothing, 1.0 / static_cast<double>(ended_));
    const double difference = static_cast<double>(held.count()) - mean_ns_;
    mean_ns_ += gain * difference;
    variance_ns2_ = (1 - gain) * (variance_ns2_ + gain * difference * difference);
}

double wait_estimate::decayed(const arrival_rate& rate, time_point now)
{
    return rate.per_s * std::exp(-in_seconds(now - rate.at) / in_seconds(arrival_window));
}

void wait_estimate::note_arrival(const std::string& tenant, std::uint32_t priority, time_point now)
{
    arrival_rate& rate = arrivals_[{priority, tenant}];
    rate.per_s = decayed(rate, now) + 1 / in_seconds(arrival_window);
    rate.at = now;
    if (arrivals_.size() > max_senders) {
        std::erase_if(arrivals_, [&](const auto& item) {
            return decayed(item.second, now) < idle_rate_per_s;
        });
    }
}

duration wait_estimate::service_time() const
{
    return ended_ == 0 ? default_service_time : from_ns(mean_ns_);
}

duration wait_estimate::max_service_time() const
{
    return service_time() + from_ns(max_service_deviations * std::sqrt(variance_ns2_));
}

duration wait_estimate::mean_wait(const fair_queue& queue, const queued_call& call,
                                  capacity available) const
{
    return from_ns(calls_before(queue, call, available) *
                   static_cast<double>(service_time().count()) / available.slots);
}

wait_estimate::calls wait_estimate::overtaking(const fair_queue& queue, const queued_call& call,
                                               duration horizon, time_point now) const
{
    calls sum;
    const double span = std::max(in_seconds(horizon), 0.0);
    for (const auto& [from, rate] : arrivals_) {
        const auto& [priority, tenant] = from;
        if (priority < call.priority || (priority == call.priority && tenant == call.tenant)) {
            continue;
        }
        const double expected = decayed(rate, now) * span;
        if (priority == call.priority) {
            const double most = queue.max_overtaking(call, tenant);
            if (most <= expected) {
                sum.mean += most;
                continue;
            }
        }
        sum.mean += expected;
        // Of a Poisson process, and of its measured rate.
        sum.variance += expected * (1 + span / (2 * in_seconds(arrival_window)));
    }
    return sum;
}

duration wait_estimate::max_wait(const fair_queue& queue, const queued_call& call,
                                 capacity available, duration horizon, time_point now) const
{
    const calls later = overtaking(queue, call, horizon, now);
    const double before = calls_before(queue, call, available) + later.mean;
    const double service_ns = static_cast<double>(service_time().count());
    const double relative_variance =
        service_ns > 0 ? variance_ns2_ / (service_ns * service_ns) : 0.0;
    const double mean_variance = std::max(
        service_mean_variance, 1.0 / static_cast<double>(std::max<std::uint64_t>(ended_, 1)));
    // All in calls: those that overtake, the sum of the service times, the measured mean of these,
    // and the number of calls that end within a given time when each slot is at a random point of
    // its call.
    const double variance = later.variance + before * relative_variance +
                            before * before * relative_variance * mean_variance +
                            (available.slots - 1) / 4.0;
    return from_ns((before + max_wait_deviations * std::sqrt(variance)) * service_ns /
                   available.slots);
}

} // namespace chervildyke
