/** \file
 * Implements evacuated_domains.
 */
#include "fleet/evacuated_domains.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace chervildyke {

namespace {

// Much longer than servers are cold after their domain has returned.
constexpr duration ended_retention = 10min;

} // namespace

evacuated_domains::evacuated_domains(std::string key_prefix, duration rewrite_time)
    : key_prefix_(std::move(key_prefix)), rewrite_time_(rewrite_time)
{
}

std::optional<std::string> evacuated_domains::domain_of(const std::string& key) const
{
    const bool is_evacuation =
        !key_prefix_.empty() && key.size() > key_prefix_.size() && key.starts_with(key_prefix_);
    return is_evacuation ? std::optional(key.substr(key_prefix_.size())) : std::nullopt;
}

void evacuated_domains::begin(const std::string& domain)
{
    domains_.insert(domain);
    unwritten_.erase(domain);
    ended_.erase(domain);
}

void evacuated_domains::end(const std::string& domain, time_point now)
{
    unwritten_.erase(domain);
    if (domains_.erase(domain) > 0) {
        std::erase_if(ended_,
                      [now](const auto& entry) { return now - entry.second > ended_retention; });
        ended_[domain] = now;
    }
}

evacuation_changes evacuated_domains::changes_since(const std::set<std::string>& before) const
{
    evacuation_changes changes;
    std::set_difference(domains_.begin(), domains_.end(), before.begin(), before.end(),
                        std::back_inserter(changes.evacuated));
    std::set_difference(before.begin(), before.end(), domains_.begin(), domains_.end(),
                        std::back_inserter(changes.returned));
    return changes;
}

evacuation_changes evacuated_domains::replace(const keyed_records& newest, time_point now)
{
    const std::set<std::string> before = domains_;
    std::set<std::string> written;
    for (const keyed_record& record : newest.records) {
        const auto domain = domain_of(record.key);
        if (domain && record.value) {
            written.insert(*domain);
        }
    }
    if (era_ && newest.era > *era_) {
        unwritten_ = before;
        rewritten_by_ = now + rewrite_time_;
    }
    era_ = newest.era;
    for (const std::string& domain : before) {
        if (!written.contains(domain) && !unwritten_.contains(domain)) {
            end(domain, now);
        }
    }
    for (const std::string& domain : written) {
        begin(domain);
    }
    return changes_since(before);
}

evacuation_changes evacuated_domains::apply(const keyed_records& records, time_point now)
{
    const std::set<std::string> before = domains_;
    for (const keyed_record& record : records.records) {
        const auto domain = domain_of(record.key);
        if (!domain) {
            continue;
        }
        if (record.value) {
            begin(*domain);
        }
        else {
            end(*domain, now);
        }
    }
    return changes_since(before);
}

evacuation_changes evacuated_domains::end_unwritten(time_point confirmed_at, time_point now)
{
    if (unwritten_.empty() || confirmed_at < rewritten_by_) {
        return {};
    }
    const std::set<std::string> before = domains_;
    for (const std::string& domain : std::exchange(unwritten_, {})) {
        end(domain, now);
    }
    return changes_since(before);
}

std::optional<time_point> evacuated_domains::ended_at(const std::string& domain) const
{
    const auto found = ended_.find(domain);
    return found == ended_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace chervildyke
