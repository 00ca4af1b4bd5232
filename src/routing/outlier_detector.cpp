/** \file
 * Implements outlier_detector with moving means.
 */
#include "routing/outlier_detector.h"

#include <algorithm>

namespace chervildyke {

namespace {

constexpr double smoothing_factor = 0.1; // Weight of a new sample in the moving mean.
constexpr double min_slow_start_weight = 0.1;
constexpr std::uint32_t max_doublings = 6; // Of an ejection time.

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

outlier_detector::outlier_detector(ejection_policy policy) : policy_(policy) {}

void outlier_detector::moving_mean::note(duration time)
{
    const double us = static_cast<double>(time.count()) / 1000.0;
    const double share = std::max(smoothing_factor, 1.0 / (1.0 + samples));
    mean_us += share * (us - mean_us);
    ++samples;
}

void outlier_detector::note_first_token(std::uint64_t replica, duration time)
{
    replicas_[replica].first_token.note(time);
}

void outlier_detector::note_token(std::uint64_t replica, duration time)
{
    replicas_[replica].token.note(time);
}

void outlier_detector::note_failure(std::uint64_t replica, time_point now)
{
    replica_stats& of = replicas_[replica];
    const std::uint32_t doublings = std::min(of.failures, max_doublings);
    ++of.failures;
    const duration span = policy_.failure_ejection_time * (std::int64_t{1} << doublings);
    of.ejected_until = std::max(of.ejected_until, now + std::min(span, policy_.max_ejection_time));
}

void outlier_detector::note_success(std::uint64_t replica)
{
    replicas_[replica].failures = 0;
}

double outlier_detector::latency_ratio(const replica_stats& of,
                                       const std::vector<std::uint64_t>& peers) const
{
    double worst = 0;
    for (const auto which : {&replica_stats::first_token, &replica_stats::token}) {
        if ((of.*which).samples < policy_.min_samples) {
            continue;
        }
        std::vector<double> means;
        for (const std::uint64_t peer : peers) {
            const auto found = replicas_.find(peer);
            if (found != replicas_.end() && (found->second.*which).samples >= policy_.min_samples) {
                means.push_back((found->second.*which).mean_us);
            }
        }
        if (means.size() >= 2) {
            worst = std::max(worst, (of.*which).mean_us / std::max(median(means), 1.0));
        }
    }
    return worst;
}

void outlier_detector::eject(replica_stats& of, duration span, time_point now) const
{
    of.ejected_until = now + std::min(span, policy_.max_ejection_time);
    of.first_token = {};
    of.token = {}; // Measured anew when it returns.
}

ejection_state outlier_detector::state_of(const replica_stats& of, time_point now) const
{
    if (now < of.ejected_until) {
        return {true, min_slow_start_weight};
    }
    if (of.ejected_until == time_point{}) {
        return {};
    }
    const double back = static_cast<double>((now - of.ejected_until).count()) /
                        static_cast<double>(policy_.slow_start_window.count());
    return {false, std::clamp(back, min_slow_start_weight, 1.0)};
}

std::vector<ejection_state> outlier_detector::evaluate(const std::vector<std::uint64_t>& peers,
                                                       time_point now)
{
    std::size_t ejected = 0;
    for (const std::uint64_t peer : peers) {
        ejected += now < replicas_[peer].ejected_until ? 1U : 0U;
    }
    const auto allowed =
        static_cast<std::size_t>(policy_.max_ejected_share * static_cast<double>(peers.size()));
    std::vector<ejection_state> states;
    states.reserve(peers.size());
    for (const std::uint64_t peer : peers) {
        replica_stats& of = replicas_[peer];
        if (now >= of.ejected_until && ejected < allowed &&
            latency_ratio(of, peers) > policy_.max_latency_ratio) {
            const std::uint32_t doublings = std::min(of.ejections, max_doublings);
            ++of.ejections;
            eject(of, policy_.base_ejection_time * (std::int64_t{1} << doublings), now);
            ++ejected;
        }
        states.push_back(state_of(of, now));
    }
    return states;
}

void outlier_detector::retain(const std::vector<std::uint64_t>& replicas)
{
    std::erase_if(replicas_, [&](const auto& item) {
        return std::find(replicas.begin(), replicas.end(), item.first) == replicas.end();
    });
}

} // namespace chervildyke
