/** \file
 * Implements crash_evidence.
 */
#include "routing/crash_evidence.h"

#include <algorithm>

namespace chervildyke {

namespace {

constexpr duration expiry_interval = 1s; // Between two removals of old entries.

}

crash_evidence::crash_evidence(crash_evidence_settings settings) : settings_(settings) {}

std::size_t crash_evidence::crashes_since_answer(const part_state& state, time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(state.crashes.begin(), state.crashes.end(), [&](const auto& crash) {
            const bool cleared = state.answered_at && *state.answered_at >= crash.second;
            return !cleared && now - crash.second < settings_.retention;
        }));
}

/** \return the number of crashes that blocks the part. */
std::size_t crash_evidence::limit_of(const part_state& state, time_point now) const
{
    const bool answered = state.answered_at && now - *state.answered_at < settings_.retention;
    return answered ? settings_.crashes_to_block_answered : settings_.crashes_to_block;
}

std::optional<time_point> crash_evidence::blocked_until(const part_state& state,
                                                        time_point now) const
{
    if (crashes_since_answer(state, now) < limit_of(state, now)) {
        return std::nullopt;
    }
    time_point newest{};
    for (const auto& [server, at] : state.crashes) {
        newest = std::max(newest, at);
    }
    const time_point until = newest + settings_.block_time;
    return until > now ? std::optional(until) : std::nullopt;
}

void crash_evidence::add_crash(part_state& state, const backend_incarnation& server, time_point at)
{
    const auto known = state.crashes.find(server);
    if (known != state.crashes.end()) {
        known->second = std::min(known->second, at); // Each node sees the same crash a bit later.
        return;
    }
    if (state.crashes.size() >= settings_.max_crashes) {
        const auto oldest =
            std::min_element(state.crashes.begin(), state.crashes.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; });
        if (oldest->second >= at) {
            return;
        }
        state.crashes.erase(oldest);
    }
    state.crashes.emplace(server, at);
}

void crash_evidence::expire(time_point now)
{
    if (now - expired_at_ < expiry_interval) {
        return;
    }
    expired_at_ = now;
    for (auto& [part, state] : parts_) {
        std::erase_if(state.crashes,
                      [&](const auto& crash) { return now - crash.second >= settings_.retention; });
    }
    std::erase_if(parts_, [](const auto& entry) { return entry.second.crashes.empty(); });
    while (!answer_order_.empty() && now - answer_order_.begin()->first >= settings_.retention) {
        answered_.erase(answer_order_.begin()->second);
        answer_order_.erase(answer_order_.begin());
    }
}

/** Removes the part with the fewest crashes if the table is full.
 * \return false if all parts are blocked, so that none may be removed.
 */
bool crash_evidence::make_room(time_point now)
{
    if (parts_.size() < settings_.max_parts) {
        return true;
    }
    const auto weight = [&](const auto& entry) {
        return std::pair(blocked_until(entry.second, now).has_value(),
                         crashes_since_answer(entry.second, now));
    };
    const auto least =
        std::min_element(parts_.begin(), parts_.end(),
                         [&](const auto& a, const auto& b) { return weight(a) < weight(b); });
    if (weight(*least).first) {
        return false;
    }
    parts_.erase(least);
    return true;
}

crash_evidence::part_state* crash_evidence::find_or_add(const prompt_part& part, time_point now)
{
    const auto known = parts_.find(part);
    if (known != parts_.end()) {
        return &known->second;
    }
    return make_room(now) ? &parts_[part] : nullptr;
}

/** Takes over what this node knows of answers with the part. */
void crash_evidence::apply_answer(part_state& state, const prompt_part& part) const
{
    const auto found = answered_.find(part);
    if (found != answered_.end()) {
        state.answered_at = std::max(state.answered_at.value_or(found->second), found->second);
    }
}

void crash_evidence::check_blocked(const prompt_part& part, part_state& state, time_point now)
{
    const bool blocked = blocked_until(state, now).has_value();
    const bool newly_blocked = blocked && !state.reported_blocked;
    state.reported_blocked = blocked;
    if (newly_blocked && on_blocked) {
        on_blocked(to_report(part, state, now));
    }
}

void crash_evidence::note_crash(const backend_incarnation& server,
                                const std::vector<prompt_part>& parts, time_point now)
{
    expire(now);
    for (const prompt_part& part : parts) {
        if (part_state* state = find_or_add(part, now)) {
            apply_answer(*state, part);
            add_crash(*state, server, now);
            check_blocked(part, *state, now);
        }
    }
}

void crash_evidence::note_answer(const std::vector<prompt_part>& parts, time_point now)
{
    expire(now);
    for (const prompt_part& part : parts) {
        const auto known = answered_.find(part);
        if (known != answered_.end()) {
            answer_order_.erase(known->second);
        }
        else if (answered_.size() >= settings_.max_answered_parts) {
            answered_.erase(answer_order_.begin()->second);
            answer_order_.erase(answer_order_.begin());
        }
        time_point at = now;
        while (answer_order_.contains(at)) {
            at += duration(1); // Parts of one call are answered at the same time.
        }
        answered_[part] = at;
        answer_order_.emplace(at, part);
        const auto suspected = parts_.find(part);
        if (suspected != parts_.end()) {
            suspected->second.answered_at = at;
            suspected->second.reported_blocked = false;
        }
    }
}

void crash_evidence::merge(const std::vector<part_report>& reports, time_point now)
{
    expire(now);
    for (const part_report& report : reports) {
        const bool has_recent_crash =
            std::any_of(report.crashes.begin(), report.crashes.end(),
                        [&](const auto& crash) { return crash.second < settings_.retention; });
        part_state* state = has_recent_crash ? find_or_add(report.part, now) : nullptr;
        if (state == nullptr) {
            continue;
        }
        apply_answer(*state, report.part);
        if (report.answered) {
            const time_point at = now - *report.answered;
            state->answered_at = std::max(state->answered_at.value_or(at), at);
        }
        for (const auto& [server, age] : report.crashes) {
            add_crash(*state, server, now - std::max(age, duration::zero()));
        }
        const bool blocked = blocked_until(*state, now).has_value();
        if (blocked) {
            state->recorded_era = std::max(state->recorded_era, report.recorded_era);
        }
        check_blocked(report.part, *state, now);
    }
}

void crash_evidence::begin_era(std::uint64_t era, time_point now)
{
    era_ = era;
    for (auto& [part, state] : parts_) {
        state.reported_blocked = state.reported_blocked && state.recorded_era >= era_;
        check_blocked(part, state, now);
    }
}

void crash_evidence::mark_recorded(const prompt_part& part, std::uint64_t era)
{
    const auto known = parts_.find(part);
    if (known != parts_.end()) {
        known->second.recorded_era = std::max(known->second.recorded_era, std::optional(era));
    }
}

std::optional<blocked_part> crash_evidence::find_blocked(const std::vector<prompt_part>& parts,
                                                         time_point now) const
{
    for (const prompt_part& part : parts) {
        const auto known = parts_.find(part);
        if (known == parts_.end()) {
            continue;
        }
        if (const auto until = blocked_until(known->second, now)) {
            return blocked_part{part, crashes_since_answer(known->second, now), *until};
        }
    }
    return std::nullopt;
}

bool crash_evidence::is_suspect(const std::vector<prompt_part>& parts, time_point now) const
{
    return std::any_of(parts.begin(), parts.end(), [&](const prompt_part& part) {
        const auto known = parts_.find(part);
        return known != parts_.end() &&
               crashes_since_answer(known->second, now) + 1 >= limit_of(known->second, now);
    });
}

part_report crash_evidence::to_report(const prompt_part& part, const part_state& state,
                                      time_point now) const
{
    part_report report;
    report.part = part;
    for (const auto& [server, at] : state.crashes) {
        report.crashes.emplace(server, now - at);
    }
    if (state.answered_at) {
        report.answered = now - *state.answered_at;
    }
    report.recorded_era = state.recorded_era;
    return report;
}

std::vector<part_report> crash_evidence::next_reports(std::size_t max_reports, time_point now)
{
    expire(now);
    std::vector<part_report> reports;
    auto next = parts_.upper_bound(last_reported_);
    for (std::size_t i = 0; i < std::min(max_reports, parts_.size()); ++i) {
        if (next == parts_.end()) {
            next = parts_.begin();
        }
        last_reported_ = next->first;
        reports.push_back(to_report(next->first, next->second, now));
        ++next;
    }
    return reports;
}

std::optional<part_report> crash_evidence::report_of(const prompt_part& part, time_point now) const
{
    const auto known = parts_.find(part);
    return known == parts_.end() ? std::nullopt
                                 : std::optional(to_report(part, known->second, now));
}

std::size_t crash_evidence::blocked_parts(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(parts_.begin(), parts_.end(), [&](const auto& entry) {
            return blocked_until(entry.second, now).has_value();
        }));
}

} // namespace chervildyke
