/** \file
 * Implements backend_table.
 */
#include "fleet/backend_table.h"

#include <utility>

#include <algorithm>

namespace chervildyke {

namespace {

// Copies of the log are younger; older removals are forgotten.
constexpr duration removal_retention = 120s;

// More than a server replaces within the age of a copy.
constexpr std::size_t max_replaced_entries = 8;

} // namespace

backend_table::backend_table(duration return_time) : return_time_(return_time) {}

bool backend_table::list_is_stable(time_point now) const
{
    return !outage_at_ || now - *outage_at_ > return_time_;
}

void backend_table::apply(const backend& entry, time_point now)
{
    listed_backend& listed = backends_[entry.id];
    backend known = listed.server;
    known.loaded_model = entry.loaded_model;
    known.cold_remaining = entry.cold_remaining;
    backend published = entry;
    published.cold_remaining.reset();
    if (known != entry || listed.expires_at) {
        ++version_;
    }
    const std::optional<time_point> leaving_since =
        listed.leaving_since && listed.server.started_ms == entry.started_ms ? listed.leaving_since
                                                                             : std::optional(now);
    // An entry names a loaded model only while its server is a member of a replica; the
    // accelerators still hold the model afterwards.
    const bool same_incarnation = listed.server.started_ms == entry.started_ms;
    std::string loaded = entry.loaded_model.empty() && same_incarnation ? listed.server.loaded_model
                                                                        : entry.loaded_model;
    if (same_incarnation && listed.published != published) {
        std::deque<backend>& earlier = replaced_[entry.id];
        earlier.push_back(listed.published);
        if (earlier.size() > max_replaced_entries) {
            earlier.pop_front();
        }
    }
    else if (!same_incarnation) {
        replaced_.erase(entry.id);
    }
    const bool is_known = same_incarnation && !listed.server.id.empty();
    const std::optional<time_point> appeared_at = is_known       ? listed.appeared_at
                                                  : is_complete_ ? std::optional(now)
                                                                 : std::nullopt;
    listed = {entry,     now,        std::nullopt, entry.leaving ? leaving_since : std::nullopt,
              published, appeared_at};
    listed.server.loaded_model = std::move(loaded);
}

std::vector<std::string> backend_table::restore(const std::vector<backend>& entries, time_point now)
{
    note_outage(now, now);
    std::vector<std::string> ids;
    std::vector<std::string> ignored;
    for (const backend& entry : entries) {
        ids.push_back(entry.id);
        const listed_backend* known = find(entry.id);
        const bool is_older = known != nullptr && known->server.started_ms > entry.started_ms;
        if (is_older || was_replaced(entry) || removed_at_.contains(incarnation_of(entry))) {
            ignored.push_back(entry.id);
            continue;
        }
        const bool was_leaving = known != nullptr && known->server.leaving &&
                                 known->server.started_ms == entry.started_ms;
        backend merged = entry;
        merged.leaving = entry.leaving || was_leaving;
        apply(merged, now);
    }
    retain(ids, now);
    return ignored;
}

bool backend_table::was_replaced(const backend& entry) const
{
    const listed_backend* known = find(entry.id);
    const auto earlier = replaced_.find(entry.id);
    backend published = entry;
    published.cold_remaining.reset();
    if (known == nullptr || known->published == published || earlier == replaced_.end()) {
        return false;
    }
    return std::find(earlier->second.begin(), earlier->second.end(), published) !=
           earlier->second.end();
}

void backend_table::remove(const std::string& id, time_point now)
{
    const auto found = backends_.find(id);
    if (found == backends_.end()) {
        return;
    }
    ++version_;
    if (list_is_stable(now)) {
        removed_at_[incarnation_of(found->second.server)] = now;
        backends_.erase(found);
        replaced_.erase(id);
        return;
    }
    if (!found->second.expires_at) {
        found->second.expires_at = *outage_at_ + return_time_;
    }
}

void backend_table::retain(const std::vector<std::string>& ids, time_point now)
{
    is_complete_ = true;
    std::vector<std::string> missing;
    for (const auto& [id, listed] : backends_) {
        if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
            missing.push_back(id);
        }
    }
    for (const std::string& id : missing) {
        remove(id, now);
    }
}

void backend_table::note_outage(time_point at, time_point now)
{
    outage_at_ = outage_at_ ? std::max(*outage_at_, at) : at;
    for (auto& [id, listed] : backends_) {
        if (listed.expires_at && !listed.has_expired(now)) {
            listed.expires_at = *outage_at_ + return_time_;
        }
    }
}

std::vector<std::string> backend_table::remove_expired(time_point now)
{
    std::erase_if(removed_at_,
                  [now](const auto& removal) { return now - removal.second > removal_retention; });
    std::vector<std::string> dropped;
    for (const auto& [id, listed] : backends_) {
        if (listed.has_expired(now)) {
            dropped.push_back(id);
        }
    }
    for (const std::string& id : dropped) {
        removed_at_[incarnation_of(find(id)->server)] = now;
        backends_.erase(id);
        replaced_.erase(id);
        ++version_;
    }
    return dropped;
}

const listed_backend* backend_table::find(const std::string& id) const
{
    const auto found = backends_.find(id);
    return found == backends_.end() ? nullptr : &found->second;
}

} // namespace chervildyke
