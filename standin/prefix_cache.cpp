/** \file
 * Implements the prefix cache of the engine stand-in.
 */
#include "standin/prefix_cache.h"

#include <algorithm>

namespace chervildyke::standin {

namespace {
constexpr std::size_t kept_events = 1024;
constexpr std::size_t most_reported = 256;
} // namespace

prefix_cache::prefix_cache(prefix_cache_settings settings, random_source random)
    : settings_(settings), random_(std::move(random))
{
}

std::size_t prefix_cache::use(const std::vector<std::uint64_t>& prefixes)
{
    std::size_t cached = 0;
    while (cached < prefixes.size() && places_.contains(prefixes[cached])) {
        ++cached;
    }
    // The shortest prefix is used last, since the longer ones are of no use without it.
    std::for_each(prefixes.rbegin(), prefixes.rend(),
                  [this](std::uint64_t prefix) { keep(prefix); });
    return cached;
}

void prefix_cache::keep(std::uint64_t prefix)
{
    if (settings_.entries == 0) {
        return;
    }
    const auto found = places_.find(prefix);
    if (found != places_.end()) {
        by_use_.splice(by_use_.begin(), by_use_, found->second);
        return;
    }
    by_use_.push_front(prefix);
    places_[prefix] = by_use_.begin();
    note(prefix, true);
    if (by_use_.size() > settings_.entries) {
        note(by_use_.back(), false);
        places_.erase(by_use_.back());
        by_use_.pop_back();
    }
}

void prefix_cache::note(std::uint64_t prefix, bool added)
{
    ++last_sequence_;
    if (random_fraction(random_) < settings_.event_loss) {
        return; // A gap in the sequence is all that readers see.
    }
    events_.push_back(
        {last_sequence_, prefix, added, monotonic_clock::now() + settings_.event_lag});
    if (events_.size() > kept_events) {
        reported();
        events_.pop_front();
    }
}

std::vector<std::uint64_t> prefix_cache::reported()
{
    const time_point now = monotonic_clock::now();
    for (const event& each : events_) {
        if (each.sequence <= reported_sequence_ || each.arrives > now) {
            continue;
        }
        reported_sequence_ = each.sequence;
        if (each.added) {
            reported_[each.prefix] = true;
        }
        else {
            reported_.erase(each.prefix);
        }
    }
    std::vector<std::uint64_t> prefixes;
    for (const auto& [prefix, known] : reported_) {
        if (prefixes.size() < most_reported) {
            prefixes.push_back(prefix);
        }
    }
    return prefixes;
}

std::string prefix_cache::events_after(std::uint64_t sequence) const
{
    std::string json = "[";
    const time_point now = monotonic_clock::now();
    for (const event& each : events_) {
        if (each.sequence <= sequence || each.arrives > now) {
            continue;
        }
        json += json.size() > 1 ? "," : "";
        json += "{\"sequence\":" + std::to_string(each.sequence) + ",\"prefix\":\"" +
                std::to_string(each.prefix) + "\",\"added\":" + (each.added ? "true" : "false") +
                "}";
    }
    return json + "]";
}

std::vector<std::uint64_t> prefix_cache::contents() const
{
    return {by_use_.begin(), by_use_.end()};
}

} // namespace chervildyke::standin
