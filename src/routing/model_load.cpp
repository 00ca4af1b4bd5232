/** \file
 * Implements model_load and peer_waiting_calls.
 */
#include "routing/model_load.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chervildyke {

namespace {

constexpr duration rate_window = 2s;    // Time constant of the admissions, as in replica_queue.
constexpr duration arrival_memory = 2s; // A node with one call a second sees most ranks in it.
constexpr double held_smoothing = 0.05;

// Six reports of a node in the same failure domain. Calls that are in time wait no longer.
constexpr duration report_ttl = 600ms;
constexpr duration peer_ttl = 6s; // As of the usage that rarely reporting nodes state.

double decayed(double weight, duration passed)
{
    return weight * std::exp(-std::chrono::duration<double>(passed).count() /
                             std::chrono::duration<double>(rate_window).count());
}

} // namespace

void model_load::note_arrival(const call_rank& rank, time_point now)
{
    arrivals_[rank] = now;
}

void model_load::note_admission(const call_rank& rank, time_point now)
{
    rate& held = admissions_[rank];
    held.weight = decayed(held.weight, now - held.at) + 1;
    held.at = now;
}

void model_load::note_held(duration held)
{
    ++ended_;
    const double gain = std::max(held_smoothing, 1.0 / static_cast<double>(ended_));
    mean_held_ += std::chrono::duration_cast<duration>((held - mean_held_) * gain);
}

double model_load::share_from(const call_rank& rank, time_point now) const
{
    double all = 0;
    double from = 0;
    for (const auto& [other, held] : admissions_) {
        const double weight = decayed(held.weight, now - held.at);
        all += weight;
        from += other < rank ? 0 : weight;
    }
    return all > 0 ? from / all : 1;
}

bool model_load::earlier_arrived(const call_rank& rank, time_point now) const
{
    for (const auto& [other, last] : arrivals_) {
        if (other < rank && now - last < arrival_memory) {
            return true;
        }
    }
    return false;
}

void peer_waiting_calls::note(const std::string& peer, waiting_counts waiting, time_point now)
{
    reports_[peer] = {std::move(waiting), now};
    std::erase_if(reports_, [now](const auto& entry) { return now - entry.second.at > peer_ttl; });
}

template <typename Predicate>
double peer_waiting_calls::sum(const std::string& model, time_point now, Predicate counts) const
{
    double total = 0;
    double recent = 0;
    double peers = 0;
    for (const auto& [peer, state] : reports_) {
        peers += now - state.at <= peer_ttl ? 1 : 0;
        if (now - state.at > report_ttl) {
            continue;
        }
        ++recent;
        const auto found = state.waiting.find(model);
        if (found == state.waiting.end()) {
            continue;
        }
        for (const auto& [rank, calls] : found->second) {
            total += counts(rank) ? calls : 0;
        }
    }
    return recent > 0 ? total * peers / recent : 0;
}

double peer_waiting_calls::before(const std::string& model, const call_rank& rank,
                                  time_point now) const
{
    return sum(model, now, [&rank](const call_rank& other) { return other < rank; });
}

double peer_waiting_calls::at(const std::string& model, const call_rank& rank, time_point now) const
{
    return sum(model, now, [&rank](const call_rank& other) { return other == rank; });
}

} // namespace chervildyke
