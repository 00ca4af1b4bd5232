/** \file
 * Implements crash_blame.
 */
#include "routing/crash_blame.h"

#include <algorithm>

namespace chervildyke {

namespace {

constexpr duration time_difference = 1s; // Between the times at which nodes see the same crash.

}

crash_blame::crash_blame(const std::map<std::string, part_history>& parts, crash_blame_rules rules)
    : rules_(rules)
{
    for (const auto& [id, history] : parts) {
        if (history.crashes.empty()) {
            continue;
        }
        part& subject = parts_[id];
        subject.answered = history.answered;
        subject.crashes = history.crashes.size();
        subject.first = time_point::max();
        for (const auto& [server, at] : history.crashes) {
            subject.first = std::min(subject.first, at);
            subject.last = std::max(subject.last, at);
            crash& seen = crashes_[server];
            seen.at = std::max(seen.at, at);
            seen.candidates.insert(id);
            if (!history.answered) {
                seen.suspects.insert(id);
            }
        }
    }
    add_possible_suspects(parts);
    remove_weak_suspects();
    for (auto& [server, seen] : crashes_) {
        seen.explained =
            std::any_of(seen.suspects.begin(), seen.suspects.end(),
                        [&](const std::string& id) { return is_repeated(parts_.at(id)); });
        if (seen.suspects.size() == 1) {
            ++parts_.at(*seen.suspects.begin()).sole_crashes;
        }
    }
    for (auto& [id, subject] : parts_) {
        for (const auto& [server, at] : parts.at(id).crashes) {
            subject.unexplained_crashes += crashes_.at(server).explained ? 0 : 1;
        }
    }
}

/** A part of many crashes, of which only the newest are known, may have been in the earlier ones of
 * the parts that it shares crashes with.
 */
void crash_blame::add_possible_suspects(const std::map<std::string, part_history>& parts)
{
    for (const auto& [id, history] : parts) {
        if (history.answered || !history.complete_from) {
            continue;
        }
        std::set<std::string> companions;
        for (const auto& [server, at] : history.crashes) {
            const std::set<std::string>& candidates = crashes_.at(server).candidates;
            companions.insert(candidates.begin(), candidates.end());
        }
        for (auto& [server, seen] : crashes_) {
            const bool has_companion = std::any_of(
                seen.candidates.begin(), seen.candidates.end(),
                [&](const std::string& candidate) { return companions.contains(candidate); });
            if (has_companion && seen.at <= *history.complete_from + time_difference) {
                seen.suspects.insert(id);
            }
        }
    }
}

/** \return true if the part was in all crashes of the other one and in further ones. */
bool crash_blame::explains_more(const std::string& subject, const std::string& other) const
{
    return parts_.at(subject).crashes > parts_.at(other).crashes &&
           std::all_of(crashes_.begin(), crashes_.end(), [&](const auto& entry) {
               const std::set<std::string>& suspects = entry.second.suspects;
               return !suspects.contains(other) || suspects.contains(subject);
           });
}

/** Removes parts of few crashes, each of which a part of more crashes explains. */
void crash_blame::remove_weak_suspects()
{
    std::vector<std::string> weak;
    for (const auto& [id, subject] : parts_) {
        if (subject.answered || is_repeated(subject)) {
            continue;
        }
        const bool is_weak =
            std::any_of(parts_.begin(), parts_.end(), [&, &of = id](const auto& other) {
                return is_repeated(other.second) && explains_more(other.first, of);
            });
        if (is_weak) {
            weak.push_back(id);
        }
    }
    for (auto& [server, seen] : crashes_) {
        for (const std::string& id : weak) {
            seen.suspects.erase(id);
        }
    }
}

bool crash_blame::is_repeated(const part& subject) const
{
    return !subject.answered && subject.crashes >= rules_.crashes_to_block;
}

/** \return true if prompts with the part are blocked, whatever else they have. */
bool crash_blame::is_proven(const part& subject) const
{
    return is_repeated(subject) && subject.sole_crashes >= rules_.sole_crashes_to_block;
}

bool crash_blame::is_doubtful(const part& subject) const
{
    return is_repeated(subject) ||
           (subject.answered && subject.unexplained_crashes >= rules_.crashes_to_doubt_answered);
}

/** \return when a part that was answered before is tried; the later, the longer it crashes. */
time_point crash_blame::next_trial_of(const part& subject) const
{
    const duration pause = rules_.trial_pause_factor * (subject.last - subject.first);
    return subject.last + std::clamp(pause, rules_.min_trial_pause, rules_.block_time);
}

prompt_verdict crash_blame::judge(const std::vector<std::string>& prompt, time_point now) const
{
    prompt_verdict verdict;
    bool doubtful = false;
    bool proven = false;
    time_point until{};
    std::vector<std::string> suspected;
    for (const std::string& id : prompt) {
        const auto known = parts_.find(id);
        if (known == parts_.end()) {
            continue;
        }
        const part& subject = known->second;
        if (is_doubtful(subject)) {
            doubtful = true;
            verdict.unproven.push_back(id);
        }
        else if (!subject.answered) {
            suspected.push_back(id);
        }
        if (is_proven(subject)) {
            proven = true;
            until = std::max(until, subject.last + rules_.block_time);
        }
        else if (subject.answered && is_doubtful(subject)) {
            until = std::max(until, next_trial_of(subject));
        }
        if (is_doubtful(subject) || !subject.answered) {
            verdict.crashes = std::max(verdict.crashes, subject.crashes);
        }
    }
    if (!doubtful && suspected.empty()) {
        return verdict;
    }
    const std::set<std::string> wanted(prompt.begin(), prompt.end());
    std::size_t explained = 0;
    time_point newest{};
    for (const auto& [server, seen] : crashes_) {
        const bool explains =
            !seen.suspects.empty() &&
            std::includes(wanted.begin(), wanted.end(), seen.suspects.begin(), seen.suspects.end());
        if (explains) {
            ++explained;
            newest = std::max(newest, seen.at);
        }
    }
    if (explained >= rules_.crashes_to_block) {
        until = std::max(until, newest + rules_.block_time);
    }
    verdict.may_retry = !doubtful && !proven && explained + 1 < rules_.crashes_to_block;
    verdict.until = until;
    if (until > now) {
        verdict.standing = prompt_standing::blocked;
    }
    else if (doubtful) {
        verdict.standing = prompt_standing::doubtful;
    }
    else {
        verdict.standing = prompt_standing::suspected;
    }
    if (!doubtful) {
        verdict.unproven = std::move(suspected);
    }
    return verdict;
}

bool crash_blame::is_blamed(const std::string& id) const
{
    const auto known = parts_.find(id);
    return known != parts_.end() && is_doubtful(known->second);
}

std::size_t crash_blame::blamed_parts() const
{
    return static_cast<std::size_t>(
        std::count_if(parts_.begin(), parts_.end(),
                      [this](const auto& entry) { return is_doubtful(entry.second); }));
}

} // namespace chervildyke
