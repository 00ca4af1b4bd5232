/** \file
 * Implements crash_evidence.
 */
#include "routing/crash_evidence.h"

#include <algorithm>

namespace chervildyke {

namespace {

constexpr duration expiry_interval = 1s; // Between two removals of old entries.

// Times that nodes report differ by less. A newer entry replaces another one only if it is newer by
// this; otherwise two nodes could replace each other's entries forever.
constexpr duration time_difference = 1s;

std::int64_t offset_to_unix_time()
{
    const duration since_epoch = std::chrono::milliseconds(wall_clock_ms());
    return (since_epoch - monotonic_clock::now().time_since_epoch()).count();
}

} // namespace

crash_evidence::crash_evidence(crash_evidence_settings settings)
    : settings_(settings), clock_offset_(offset_to_unix_time())
{
}

/** \return true if the crash is new. */
bool crash_evidence::add_crash(part_state& state, const backend_incarnation& server, time_point at)
{
    const auto known = state.crashes.find(server);
    if (known != state.crashes.end()) {
        known->second = std::min(known->second, at); // Each node sees the same crash a bit later.
        return false;
    }
    if (state.crashes.size() >= settings_.max_crashes) {
        const auto oldest =
            std::min_element(state.crashes.begin(), state.crashes.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; });
        if (at <= oldest->second + time_difference) {
            return false;
        }
        state.crashes.erase(oldest);
    }
    state.crashes.emplace(server, at);
    return true;
}

/** Takes over an answer unless a newer one is known. Nodes repeat an answer with a slightly younger
 * age each time, so the stamp decides which of two answers is the newer one, and the time of one
 * answer never moves forward.
 * \return true if it was the first answer, or if other crashes count now.
 */
bool crash_evidence::add_answer(part_state& state, const answer& reported)
{
    if (!state.answered) {
        state.answered = reported;
        return true;
    }
    answer& known = *state.answered;
    const time_point before = known.at;
    const bool without_stamp = reported.stamp == 0 || known.stamp == 0;
    if (!without_stamp && reported.stamp == known.stamp) {
        known.at = std::min(known.at, reported.at);
    }
    else if (without_stamp ? reported.at > known.at + time_difference
                           : reported.stamp > known.stamp) {
        known = reported;
    }
    const auto [first, last] = std::minmax(before, known.at);
    return std::any_of(state.crashes.begin(), state.crashes.end(),
                       [from = first, to = last](const auto& crash) {
                           return crash.second > from && crash.second <= to;
                       });
}

void crash_evidence::expire(time_point now)
{
    if (now - expired_at_ < expiry_interval) {
        return;
    }
    expired_at_ = now;
    bool changed = false;
    for (auto& [part, state] : parts_) {
        changed |= std::erase_if(state.crashes, [&](const auto& crash) {
                       return now - crash.second >= settings_.retention;
                   }) > 0;
    }
    std::erase_if(parts_, [](const auto& entry) { return entry.second.crashes.empty(); });
    while (!answer_order_.empty() && now - answer_order_.begin()->first >= settings_.retention) {
        answered_.erase(answer_order_.begin()->second);
        answer_order_.erase(answer_order_.begin());
    }
    if (changed) {
        refresh(now);
    }
}

/** Judges the parts anew after the evidence has changed. */
void crash_evidence::refresh(time_point now)
{
    std::map<std::string, part_history> histories;
    for (const auto& [part, state] : parts_) {
        part_history& history = histories[part];
        history.answered = state.answered.has_value();
        time_point first = time_point::max();
        for (const auto& [server, at] : state.crashes) {
            const bool cleared = state.answered && state.answered->at >= at;
            if (!cleared && now - at < settings_.retention) {
                history.crashes.emplace(server, at);
            }
            first = std::min(first, at);
        }
        if (state.crashes.size() >= settings_.max_crashes) {
            history.complete_from = first;
        }
    }
    blame_ = crash_blame(histories, settings_.rules);
}

/** \return the crashes that no answer has cleared. */
std::size_t crash_evidence::crashes_since_answer(const part_state& state)
{
    return static_cast<std::size_t>(
        std::count_if(state.crashes.begin(), state.crashes.end(), [&](const auto& crash) {
            return !state.answered || state.answered->at < crash.second;
        }));
}

/** Removes the part with the least evidence if the table is full.
 * \param added the evidence of the part for which there must be room.
 * \return false if all parts have more.
 */
bool crash_evidence::make_room(const part_weight& added)
{
    if (parts_.size() < settings_.max_parts) {
        return true;
    }
    part_weight least = added;
    auto removed = parts_.end();
    for (auto entry = parts_.begin(); entry != parts_.end(); ++entry) {
        const part_weight weight = weight_of(entry->first, entry->second);
        if (weight < least) {
            least = weight;
            removed = entry;
        }
    }
    if (removed == parts_.end()) {
        return false;
    }
    parts_.erase(removed);
    return true;
}

crash_evidence::part_weight crash_evidence::weight_of(const std::string& part,
                                                      const part_state& state) const
{
    time_point newest{};
    for (const auto& [server, at] : state.crashes) {
        newest = std::max(newest, at);
    }
    return {blame_.is_blamed(part), crashes_since_answer(state), !state.answered, newest};
}

crash_evidence::part_state* crash_evidence::find_or_add(const std::string& part,
                                                        const part_weight& weight)
{
    const auto known = parts_.find(part);
    if (known != parts_.end()) {
        return &known->second;
    }
    if (!make_room(weight)) {
        return nullptr;
    }
    part_state& added = parts_[part];
    const auto found = answered_.find(part);
    if (found != answered_.end()) {
        added.answered = found->second;
    }
    return &added;
}

/** \return the evidence in another node's report. */
crash_evidence::part_weight crash_evidence::weight_of(const part_report& report,
                                                      time_point now) const
{
    std::size_t crashes = 0;
    duration youngest = settings_.retention;
    for (const auto& [server, age] : report.crashes) {
        const bool cleared = report.answered && report.answered->age <= age;
        crashes += cleared ? 0 : 1;
        youngest = std::min(youngest, age);
    }
    const bool never_answered = !report.answered && !answered_.contains(report.part);
    return {false, crashes, never_answered, now - youngest};
}

/** Tells of the parts that have begun to be blamed, and of those that no longer are. */
void crash_evidence::report_blamed(time_point now)
{
    std::vector<part_report> begun;
    std::vector<std::string> ended;
    for (auto& [part, state] : parts_) {
        const bool blamed = blame_.is_blamed(part);
        if (blamed && !state.reported_blamed) {
            begun.push_back(to_report(part, state, now));
        }
        else if (!blamed && state.reported_blamed) {
            ended.push_back(part);
        }
        state.reported_blamed = blamed;
    }
    for (const part_report& report : begun) {
        if (on_blamed) {
            on_blamed(report);
        }
    }
    for (const std::string& part : ended) {
        if (on_cleared) {
            on_cleared(part);
        }
    }
}

void crash_evidence::note_crash(const backend_incarnation& server,
                                const std::vector<std::string>& parts, time_point now)
{
    expire(now);
    for (const std::string& part : parts) {
        if (part_state* state = find_or_add(part, {false, 1, !answered_.contains(part), now})) {
            add_crash(*state, server, now);
        }
    }
    refresh(now);
    report_blamed(now);
}

void crash_evidence::note_answer(const std::vector<std::string>& parts, time_point now)
{
    expire(now);
    const answer received{
        now, static_cast<std::uint64_t>(now.time_since_epoch().count() + clock_offset_)};
    bool changed = false;
    for (const std::string& part : parts) {
        const auto known = answered_.find(part);
        if (known != answered_.end()) {
            answer_order_.erase({known->second.at, part});
        }
        else if (answered_.size() >= settings_.max_answered_parts) {
            answered_.erase(answer_order_.begin()->second);
            answer_order_.erase(answer_order_.begin());
        }
        answered_[part] = received;
        answer_order_.emplace(now, part);
        const auto suspected = parts_.find(part);
        if (suspected != parts_.end()) {
            // Newer than what is known, also if the clock of this node is slow.
            answer newest = received;
            if (suspected->second.answered) {
                newest.stamp = std::max(newest.stamp, suspected->second.answered->stamp + 1);
            }
            changed |= add_answer(suspected->second, newest);
        }
    }
    if (changed) {
        refresh(now);
        report_blamed(now);
    }
}

void crash_evidence::merge(const std::vector<part_report>& reports, time_point now)
{
    expire(now);
    bool changed = false;
    for (const part_report& report : reports) {
        const bool has_recent_crash =
            std::any_of(report.crashes.begin(), report.crashes.end(),
                        [&](const auto& crash) { return crash.second < settings_.retention; });
        part_state* state =
            has_recent_crash ? find_or_add(report.part, weight_of(report, now)) : nullptr;
        if (state == nullptr) {
            continue;
        }
        if (report.answered) {
            changed |= add_answer(*state, {now - report.answered->age, report.answered->stamp});
        }
        for (const auto& [server, age] : report.crashes) {
            changed |= age < settings_.retention &&
                       add_crash(*state, server, now - std::max(age, duration::zero()));
        }
    }
    if (changed) {
        refresh(now);
    }
    for (const part_report& report : reports) {
        if (report.recorded_era && blame_.is_blamed(report.part)) {
            mark_recorded(report.part, *report.recorded_era);
        }
    }
    if (changed) {
        report_blamed(now);
    }
}

void crash_evidence::begin_era(std::uint64_t era, time_point now)
{
    era_ = era;
    for (auto& [part, state] : parts_) {
        state.reported_blamed = state.reported_blamed && state.recorded_era >= era_;
    }
    report_blamed(now);
}

void crash_evidence::mark_recorded(const std::string& part, std::uint64_t era)
{
    const auto known = parts_.find(part);
    if (known != parts_.end()) {
        known->second.recorded_era = std::max(known->second.recorded_era, std::optional(era));
    }
}

void crash_evidence::forget_record(const std::string& part)
{
    const auto known = parts_.find(part);
    if (known != parts_.end()) {
        known->second.recorded_era.reset();
    }
}

prompt_verdict crash_evidence::judge(const std::vector<std::string>& parts, time_point now) const
{
    prompt_verdict verdict = blame_.judge(parts, now);
    if (verdict.standing != prompt_standing::sound) {
        return verdict;
    }
    for (const std::string& part : parts) {
        const auto known = parts_.find(part);
        const bool answered = answered_.contains(part) ||
                              (known != parts_.end() && known->second.answered.has_value());
        if (!answered) {
            verdict.standing = prompt_standing::untested;
            verdict.unproven.push_back(part);
        }
    }
    return verdict;
}

part_report crash_evidence::to_report(const std::string& part, const part_state& state,
                                      time_point now) const
{
    part_report report;
    report.part = part;
    for (const auto& [server, at] : state.crashes) {
        report.crashes.emplace(server, now - at);
    }
    if (state.answered) {
        report.answered = part_answer{now - state.answered->at, state.answered->stamp};
    }
    report.recorded_era = state.recorded_era;
    return report;
}

std::vector<part_report> crash_evidence::next_reports(std::size_t max_reports,
                                                      std::size_t max_crashes, time_point now)
{
    constexpr std::size_t never_answered = 0;
    constexpr std::size_t answered = 1;
    expire(now);
    const auto class_of = [](const part_state& state) {
        return state.answered ? answered : never_answered;
    };
    std::array<std::size_t, 2> left{}; // Parts of each class that are not in the reports.
    for (const auto& [part, state] : parts_) {
        ++left.at(class_of(state));
    }
    std::vector<part_report> reports;
    std::size_t crashes = 0;
    const auto add = [&](std::size_t of_class, std::size_t report_limit, std::size_t crash_limit) {
        std::string& last = last_reported_.at(of_class);
        auto next = parts_.upper_bound(last);
        while (left.at(of_class) > 0 && reports.size() < report_limit && crashes < crash_limit) {
            if (next == parts_.end()) {
                next = parts_.begin();
            }
            if (class_of(next->second) == of_class) {
                last = next->first;
                reports.push_back(to_report(next->first, next->second, now));
                crashes += next->second.crashes.size();
                --left.at(of_class);
            }
            ++next;
        }
    };
    add(never_answered, max_reports - max_reports / 4, max_crashes - max_crashes / 4);
    add(answered, max_reports, max_crashes);
    add(never_answered, max_reports, max_crashes);
    return reports;
}

std::vector<part_report> crash_evidence::unrecorded_reports(time_point now) const
{
    std::vector<part_report> reports;
    for (const auto& [part, state] : parts_) {
        if (blame_.is_blamed(part) && !(state.recorded_era >= era_)) {
            reports.push_back(to_report(part, state, now));
        }
    }
    return reports;
}

std::optional<part_report> crash_evidence::report_of(const std::string& part, time_point now) const
{
    const auto known = parts_.find(part);
    return known == parts_.end() ? std::nullopt
                                 : std::optional(to_report(part, known->second, now));
}

} // namespace chervildyke
