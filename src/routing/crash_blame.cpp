/** \file
 * Implements crash_blame.
 */
#include "routing/crash_blame.h"

#include <algorithm>
#include <set>

namespace chervildyke {

namespace {

constexpr duration time_difference = 1s; // Between the times at which nodes see the same crash.

}

crash_blame::crash_blame(const std::map<std::string, part_history>& parts, crash_blame_rules rules)
    : rules_(rules)
{
    add_parts(parts);
    add_possible_suspects(parts);
    remove_weak_suspects();
    count_suspects();
}

void crash_blame::add_parts(const std::map<std::string, part_history>& histories)
{
    std::map<backend_incarnation, std::size_t> indexes;
    for (const auto& [id, history] : histories) {
        for (const auto& [server, at] : history.crashes) {
            const std::size_t index = indexes.try_emplace(server, crashes_.size()).first->second;
            if (index == crashes_.size()) {
                crashes_.emplace_back();
            }
            crashes_[index].at = std::max(crashes_[index].at, at);
        }
    }
    for (const auto& [id, history] : histories) {
        if (history.crashes.empty()) {
            continue;
        }
        part& subject = parts_[id];
        subject.answered = history.answered;
        subject.crashes = history.crashes.size();
        subject.first = time_point::max();
        subject.candidate_of.resize(crashes_.size());
        for (const auto& [server, at] : history.crashes) {
            subject.first = std::min(subject.first, at);
            subject.last = std::max(subject.last, at);
            subject.candidate_of.set(indexes.at(server));
        }
        subject.suspect_of =
            history.answered ? crash_set(crashes_.size()) : crash_set(subject.candidate_of);
    }
}

/** A part of many crashes, of which only the newest are known, may have been in the earlier ones of
 * the parts that it shares crashes with.
 */
void crash_blame::add_possible_suspects(const std::map<std::string, part_history>& histories)
{
    for (const auto& [id, history] : histories) {
        const auto known = parts_.find(id);
        if (known == parts_.end() || history.answered || !history.complete_from) {
            continue;
        }
        part& subject = known->second;
        crash_set related(crashes_.size());
        for (const auto& [other, companion] : parts_) {
            if (companion.candidate_of.intersects(subject.candidate_of)) {
                related |= companion.candidate_of;
            }
        }
        for (std::size_t i = related.find_first(); i != crash_set::npos; i = related.find_next(i)) {
            if (crashes_[i].at <= *history.complete_from + time_difference) {
                subject.suspect_of.set(i);
            }
        }
    }
}

/** \return true if the part was in all crashes of the other one and in further ones. */
bool crash_blame::explains_more(const part& subject, const part& other)
{
    return subject.crashes > other.crashes && other.suspect_of.is_subset_of(subject.suspect_of);
}

/** Removes parts of few crashes, each of which a part of more crashes explains. */
void crash_blame::remove_weak_suspects()
{
    std::vector<const part*> repeated;
    for (const auto& [id, subject] : parts_) {
        if (is_repeated(subject)) {
            repeated.push_back(&subject);
        }
    }
    // Repeated parts are never weak, so the order in which others are removed does not matter.
    for (auto& [id, subject] : parts_) {
        if (subject.answered || is_repeated(subject)) {
            continue;
        }
        const bool is_weak =
            std::any_of(repeated.begin(), repeated.end(),
                        [&of = subject](const part* other) { return explains_more(*other, of); });
        if (is_weak) {
            subject.suspect_of.reset();
        }
    }
}

void crash_blame::count_suspects()
{
    for (const auto& [id, subject] : parts_) {
        const crash_set& set = subject.suspect_of;
        for (std::size_t i = set.find_first(); i != crash_set::npos; i = set.find_next(i)) {
            ++crashes_[i].suspects;
            crashes_[i].explained = crashes_[i].explained || is_repeated(subject);
        }
    }
    for (auto& [id, subject] : parts_) {
        const crash_set& suspect = subject.suspect_of;
        for (std::size_t i = suspect.find_first(); i != crash_set::npos; i = suspect.find_next(i)) {
            subject.sole_crashes += crashes_[i].suspects == 1 ? 1 : 0;
        }
        const crash_set& candidate = subject.candidate_of;
        for (std::size_t i = candidate.find_first(); i != crash_set::npos;
             i = candidate.find_next(i)) {
            subject.unexplained_crashes += crashes_[i].explained ? 0 : 1;
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
    std::set<const part*> found;
    for (const std::string& id : prompt) {
        const auto known = parts_.find(id);
        if (known == parts_.end()) {
            continue;
        }
        const part& subject = known->second;
        found.insert(&subject);
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
    std::vector<std::size_t> suspects(crashes_.size()); // Of each crash, those in the prompt.
    for (const part* subject : found) {
        const crash_set& set = subject->suspect_of;
        for (std::size_t i = set.find_first(); i != crash_set::npos; i = set.find_next(i)) {
            ++suspects[i];
        }
    }
    std::size_t explained = 0;
    time_point newest{};
    for (std::size_t i = 0; i < crashes_.size(); ++i) {
        if (suspects[i] > 0 && suspects[i] == crashes_[i].suspects) {
            ++explained;
            newest = std::max(newest, crashes_[i].at);
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
