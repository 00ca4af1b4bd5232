/** \file
 * Implements the table of members.
 */
#include "members/member_table.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace chervildyke {

namespace {

constexpr std::size_t kept_for_turn = 1;   // Places in a message that changes never take.
constexpr unsigned sends_per_doubling = 3; // Of the fleet's size; enough to reach nearly all.

bool is_up(const schema::member_news& news)
{
    return news.condition() == schema::alive || news.condition() == schema::suspect;
}

/** Whether only load and offsets differ. */
bool same_standing(const schema::member_news& left, const schema::member_news& right)
{
    return left.condition() == right.condition() && left.incarnation() == right.incarnation() &&
           left.address() == right.address() && left.entry().draining() == right.entry().draining();
}

bool supersedes(const schema::member_news& next, const schema::member_news& known)
{
    return std::make_tuple(next.sequence(), next.condition()) >
           std::make_tuple(known.sequence(), known.condition());
}

} // namespace

member_table::member_table(schema::member_news self, member_options options)
    : options_(options), self_(std::move(self)), refreshed_at_(monotonic_clock::now())
{
    self_.set_condition(schema::alive);
    self_.set_sequence(wall_clock_ms()); // Above those of earlier processes on this VM.
}

void member_table::spread_change(member& changed) const
{
    changed.sends_left =
        sends_per_doubling * static_cast<unsigned>(std::bit_width(others_.size() + 1));
}

bool member_table::take(const schema::member_news& news, bool passes_on)
{
    if (news.vm().empty()) {
        return false;
    }
    if (news.vm() == self_.vm()) {
        const bool wrong = supersedes(news, self_);
        if (wrong && self_.condition() != schema::left) {
            self_.set_sequence(news.sequence() + 1);
        }
        return wrong;
    }
    const auto known = others_.find(news.vm());
    const bool is_new = known == others_.end();
    if (is_new ? !is_up(news) : !supersedes(news, known->second.news)) {
        return false;
    }
    member& entry = others_[news.vm()];
    if (is_new || entry.news.condition() != news.condition()) {
        entry.condition_since = monotonic_clock::now();
    }
    const bool changed = is_new || !same_standing(entry.news, news);
    entry.news = news;
    if (changed && passes_on) {
        spread_change(entry);
    }
    return true;
}

void member_table::note_contact(const std::string& vm, log_offset offset)
{
    const auto known = others_.find(vm);
    if (known != others_.end()) {
        known->second.heard_at = monotonic_clock::now();
        known->second.heard_offset = offset;
    }
}

void member_table::suspect(const std::string& vm)
{
    const auto known = others_.find(vm);
    if (known != others_.end() && known->second.news.condition() == schema::alive) {
        known->second.news.set_condition(schema::suspect);
        known->second.condition_since = monotonic_clock::now();
        spread_change(known->second);
    }
}

void member_table::pass_time()
{
    const time_point now = monotonic_clock::now();
    for (auto item = others_.begin(); item != others_.end();) {
        member& entry = item->second;
        const duration age = now - entry.condition_since;
        if (entry.news.condition() == schema::suspect && age >= options_.suspicion_timeout) {
            entry.news.set_condition(schema::down);
            entry.condition_since = now;
            spread_change(entry);
        }
        const bool forgotten = !is_up(entry.news) && age >= options_.forget_after;
        item = forgotten ? others_.erase(item) : std::next(item);
    }
}

void member_table::restart_waits()
{
    for (auto& [vm, entry] : others_) {
        entry.condition_since = monotonic_clock::now();
    }
}

void member_table::update_self(const schema::entry_load& load, log_offset offset,
                               std::uint64_t entry_view_version)
{
    const bool urgent = load.draining() != self_.entry().draining();
    const bool due = monotonic_clock::now() - refreshed_at_ >= options_.refresh_interval;
    if (!urgent && !due) {
        return;
    }
    refreshed_at_ = monotonic_clock::now();
    *self_.mutable_entry() = load;
    self_.set_highest_offset(offset);
    self_.set_entry_view_version(entry_view_version);
    self_.set_sequence(self_.sequence() + 1);
}

void member_table::leave()
{
    self_.set_condition(schema::left);
    self_.set_sequence(self_.sequence() + 1);
}

std::vector<schema::member_news> member_table::pick_news(const std::string& peer, bool wants_all)
{
    const std::size_t limit = wants_all ? options_.news_in_bulk : options_.news_per_message;
    std::vector<schema::member_news> picked{self_};
    const auto about_peer = others_.find(peer);
    if (about_peer != others_.end() && about_peer->second.news.condition() != schema::alive) {
        picked.push_back(about_peer->second.news);
    }
    pick_changes(peer, options_.news_per_message - kept_for_turn, picked);
    pick_in_turn(peer, limit, picked);
    return picked;
}

void member_table::pick_changes(const std::string& peer, std::size_t limit,
                                std::vector<schema::member_news>& picked)
{
    std::vector<member*> waiting;
    for (auto& [vm, entry] : others_) {
        if (entry.sends_left > 0 && vm != peer) {
            waiting.push_back(&entry);
        }
    }
    const std::size_t count = std::min(limit - picked.size(), waiting.size());
    const auto goes_first = [](const member* left, const member* right) {
        return left->sends_left > right->sends_left;
    };
    std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(count),
                      waiting.end(), goes_first);
    for (std::size_t i = 0; i < count; ++i) {
        --waiting[i]->sends_left;
        picked.push_back(waiting[i]->news);
    }
}

void member_table::pick_in_turn(const std::string& peer, std::size_t limit,
                                std::vector<schema::member_news>& picked)
{
    for (std::size_t i = 0; i < others_.size() && picked.size() < limit; ++i) {
        auto next = others_.upper_bound(turn_);
        next = next == others_.end() ? others_.begin() : next;
        turn_ = next->first;
        const auto same = [&](const schema::member_news& news) { return news.vm() == turn_; };
        if (turn_ != peer && std::none_of(picked.begin(), picked.end(), same)) {
            picked.push_back(next->second.news);
        }
    }
}

std::vector<std::string> member_table::alive_members() const
{
    std::vector<std::string> names;
    if (is_up(self_)) {
        names.push_back(self_.vm());
    }
    for (const auto& [vm, entry] : others_) {
        if (is_up(entry.news)) {
            names.push_back(vm);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

const member* member_table::most_advanced() const
{
    const time_point now = monotonic_clock::now();
    const member* best = nullptr;
    for (const auto& [vm, entry] : others_) {
        const bool lately = entry.heard_at && now - *entry.heard_at < options_.heard_lately;
        if (lately && (best == nullptr || entry.heard_offset > best->heard_offset)) {
            best = &entry;
        }
    }
    return best;
}

std::optional<log_offset> member_table::highest_heard() const
{
    const member* best = most_advanced();
    return best == nullptr ? std::nullopt : std::optional<log_offset>(best->heard_offset);
}

std::optional<std::string> member_table::most_advanced_address() const
{
    const member* best = most_advanced();
    return best == nullptr ? std::nullopt : std::optional<std::string>(best->news.address());
}

} // namespace chervildyke
