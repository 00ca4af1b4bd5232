/** \file
 * Implements prefix_cache.
 */
#include "standin/prefix_cache.h"

#include <algorithm>

namespace chervildyke::standin {

namespace {
constexpr std::size_t max_stored_events = 1024;
constexpr std::size_t max_reported_prefixes = 256;
} // namespace

prefix_cache::prefix_cache(prefix_cache_settings settings, random_source random)
    : settings_(settings), random_(std::move(random))
{
}

std::size_t prefix_cache::look_up_and_insert(const std::vector<std::uint64_t>& prefixes)
{
    std::size_t cached = 0;
    while (cached < prefixes.size() && positions_.contains(prefixes[cached])) {
        ++cached;
    }
    // The shortest prefix becomes the most recently used, and is evicted last, because the longer
    // ones are useless without it.
    std::for_each(prefixes.rbegin(), prefixes.rend(),
                  [this](std::uint64_t prefix) { insert_or_refresh(prefix); });
    return cached;
}

void prefix_cache::insert_or_refresh(std::uint64_t prefix)
{
    if (settings_.max_entries == 0) {
        return;
    }
    const auto found = positions_.find(prefix);
    if (found != positions_.end()) {
        by_recency_.splice(by_recency_.begin(), by_recency_, found->second);
        return;
    }
    by_recency_.push_front(prefix);
    positions_[prefix] = by_recency_.begin();
    record_event(prefix, true);
    if (by_recency_.size() > settings_.max_entries) {
        record_event(by_recency_.back(), false);
        positions_.erase(by_recency_.back());
        by_recency_.pop_back();
    }
}

void prefix_cache::record_event(std::uint64_t prefix, bool added)
{
    ++last_sequence_;
    if (random_fraction(random_) < settings_.event_loss_probability) {
        return; // Readers see only a gap in the sequence.
    }
    events_.push_back(
        {last_sequence_, prefix, added, monotonic_clock::now() + settings_.event_lag});
    if (events_.size() > max_stored_events) {
        reported_prefixes(); // Applies the visible events before the oldest is dropped.
        events_.pop_front();
    }
}

std::vector<std::uint64_t> prefix_cache::reported_prefixes()
{
    const time_point now = monotonic_clock::now();
    for (const event& each : events_) {
        if (each.sequence <= reported_sequence_ || each.visible_at > now) {
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
    for (const auto& [prefix, present] : reported_) {
        if (prefixes.size() < max_reported_prefixes) {
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
        if (each.sequence <= sequence || each.visible_at > now) {
            continue;
        }
        json += json.size() > 1 ? "," : "";
        json += "{\"sequence\":" + std::to_string(each.sequence) + ",\"prefix\":\"" +
                std::to_string(each.prefix) + "\",\"added\":" + (each.added ? "true" : "false") +
                "}";
    }
    return json + "]";
}

std::vector<std::uint64_t> prefix_cache::cached_prefixes() const
{
    return {by_recency_.begin(), by_recency_.end()};
}

} // namespace chervildyke::standin
