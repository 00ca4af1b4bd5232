/** \file
 * Implements the list of entries for callers.
 */
#include "entry/entry_list.h"

#include <algorithm>
#include <vector>

#include <nlohmann/json.hpp>

namespace chervildyke {

namespace {

constexpr std::size_t max_entries = 8; // Enough for several failovers of the caller.

std::vector<schema::entry_load> usable_entries(const schema::routing_view* view,
                                               const schema::entry_load& own)
{
    std::vector<schema::entry_load> usable;
    if (!own.draining()) {
        usable.push_back(own);
    }
    if (view == nullptr) {
        return usable;
    }
    for (const schema::entry_view& other : view->entries()) {
        if (other.address() != own.address() && !other.draining()) {
            schema::entry_load& load = usable.emplace_back();
            load.set_address(other.address());
            load.set_failure_domain(other.failure_domain());
            load.set_calls_in_flight(other.calls_in_flight());
        }
    }
    return usable;
}

/** Removes the better of two random entries and returns it: one in another failure domain than the
 * last is better, then one with less load.
 */
schema::entry_load take_better_of_two(std::vector<schema::entry_load>& candidates,
                                      const std::string& last_domain, const random_source& random)
{
    std::size_t best = random_below(random, candidates.size());
    const std::size_t other = random_below(random, candidates.size());
    const auto cost = [&](const schema::entry_load& entry) {
        return std::make_pair(entry.failure_domain() == last_domain, entry.calls_in_flight());
    };
    if (cost(candidates[other]) < cost(candidates[best])) {
        best = other;
    }
    std::swap(candidates[best], candidates.back());
    schema::entry_load taken = std::move(candidates.back());
    candidates.pop_back();
    return taken;
}

} // namespace

std::string entry_list_json(const schema::routing_view* view, const schema::entry_load& own,
                            duration validity, const random_source& random)
{
    std::vector<schema::entry_load> usable = usable_entries(view, own);
    nlohmann::json entries = nlohmann::json::array();
    std::string last_domain;
    while (!usable.empty() && entries.size() < max_entries) {
        const schema::entry_load taken = take_better_of_two(usable, last_domain, random);
        last_domain = taken.failure_domain();
        entries.push_back({{"address", taken.address()}, {"failure_domain", last_domain}});
    }
    const auto valid_for = std::chrono::duration_cast<std::chrono::milliseconds>(validity).count();
    const nlohmann::json document = {{"entries", entries}, {"valid_for_ms", valid_for}};
    return document.dump();
}

} // namespace chervildyke
