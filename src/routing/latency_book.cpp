/** \file
 * Implements latency_book with moving means.
 */
#include "routing/latency_book.h"

#include <algorithm>

namespace chervildyke {

namespace {

constexpr double new_sample_share = 0.1;
constexpr double lowest_return_weight = 0.1;
constexpr std::uint32_t max_doublings = 6;

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

latency_book::latency_book(ejection_policy policy) : policy_(policy) {}

void latency_book::measure::note(duration time)
{
    const double us = static_cast<double>(time.count()) / 1000.0;
    const double share = std::max(new_sample_share, 1.0 / (1.0 + samples));
    mean_us += share * (us - mean_us);
    ++samples;
}

void latency_book::note_first_token(std::uint64_t replica, duration time)
{
    entries_[replica].first_token.note(time);
}

void latency_book::note_token(std::uint64_t replica, duration time)
{
    entries_[replica].token.note(time);
}

void latency_book::note_failure(std::uint64_t replica, time_point now)
{
    entry& of = entries_[replica];
    const std::uint32_t doublings = std::min(of.failures, max_doublings);
    ++of.failures;
    const duration span = policy_.failure_ejection * (std::int64_t{1} << doublings);
    of.ejected_until = std::max(of.ejected_until, now + std::min(span, policy_.longest_ejection));
}

void latency_book::note_success(std::uint64_t replica)
{
    entries_[replica].failures = 0;
}

double latency_book::slowness(const entry& of, const std::vector<std::uint64_t>& peers) const
{
    double worst = 0;
    for (const auto which : {&entry::first_token, &entry::token}) {
        if ((of.*which).samples < policy_.min_samples) {
            continue;
        }
        std::vector<double> means;
        for (const std::uint64_t peer : peers) {
            const auto found = entries_.find(peer);
            if (found != entries_.end() && (found->second.*which).samples >= policy_.min_samples) {
                means.push_back((found->second.*which).mean_us);
            }
        }
        if (means.size() >= 2) {
            worst = std::max(worst, (of.*which).mean_us / std::max(median(means), 1.0));
        }
    }
    return worst;
}

void latency_book::eject(entry& of, duration span, time_point now) const
{
    of.ejected_until = now + std::min(span, policy_.longest_ejection);
    of.first_token = {};
    of.token = {}; // Judged afresh when it comes back.
}

replica_standing latency_book::standing(const entry& of, time_point now) const
{
    if (now < of.ejected_until) {
        return {true, lowest_return_weight};
    }
    if (of.ejected_until == time_point{}) {
        return {};
    }
    const double back = static_cast<double>((now - of.ejected_until).count()) /
                        static_cast<double>(policy_.slow_return.count());
    return {false, std::clamp(back, lowest_return_weight, 1.0)};
}

std::vector<replica_standing> latency_book::judge(const std::vector<std::uint64_t>& peers,
                                                  time_point now)
{
    std::size_t ejected = 0;
    for (const std::uint64_t peer : peers) {
        ejected += now < entries_[peer].ejected_until ? 1U : 0U;
    }
    const auto allowed =
        static_cast<std::size_t>(policy_.max_ejected_share * static_cast<double>(peers.size()));
    std::vector<replica_standing> standings;
    standings.reserve(peers.size());
    for (const std::uint64_t peer : peers) {
        entry& of = entries_[peer];
        if (now >= of.ejected_until && ejected < allowed &&
            slowness(of, peers) > policy_.slow_factor) {
            const std::uint32_t doublings = std::min(of.ejections, max_doublings);
            ++of.ejections;
            eject(of, policy_.first_ejection * (std::int64_t{1} << doublings), now);
            ++ejected;
        }
        standings.push_back(standing(of, now));
    }
    return standings;
}

void latency_book::keep_only(const std::vector<std::uint64_t>& replicas)
{
    std::erase_if(entries_, [&](const auto& item) {
        return std::find(replicas.begin(), replicas.end(), item.first) == replicas.end();
    });
}

} // namespace chervildyke
