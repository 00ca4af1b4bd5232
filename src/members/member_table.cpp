/** \file
 * Implements member_table.
 */
#include "members/member_table.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace chervildyke {

namespace {

// Places in a message that changes never take, so that round-robin updates always have room.
constexpr std::size_t reserved_for_round_robin = 1;

// How often a change is sent first, for each doubling of the fleet's size; this reaches nearly all
// members, and the round-robin updates reach the others.
constexpr unsigned sends_per_doubling = 3;

bool is_up(const schema::member_news& state)
{
    return state.condition() == schema::alive || state.condition() == schema::suspect;
}

/** Whether two states of a member differ at most in load, offsets and versions, which do not need
 * to be sent first.
 */
bool differ_in_load_only(const schema::member_news& left, const schema::member_news& right)
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
    self_.set_sequence(wall_clock_ms()); // Above the numbers of earlier processes on this VM.
}

void member_table::schedule_dissemination(member& changed) const
{
    changed.sends_left =
        sends_per_doubling * static_cast<unsigned>(std::bit_width(others_.size() + 1));
}

bool member_table::apply(const schema::member_news& update, bool disseminate)
{
    if (update.vm().empty()) {
        return false;
    }
    if (update.vm() == self_.vm()) {
        const bool supersedes_own = supersedes(update, self_);
        if (supersedes_own && self_.condition() != schema::left) {
            self_.set_sequence(update.sequence() + 1);
        }
        return supersedes_own;
    }
    const auto known = others_.find(update.vm());
    const bool is_new = known == others_.end();
    if (is_new ? !is_up(update) : !supersedes(update, known->second.state)) {
        return false;
    }
    member& entry = others_[update.vm()];
    if (is_new || entry.state.condition() != update.condition()) {
        entry.condition_since = monotonic_clock::now();
    }
    const bool changed = is_new || !differ_in_load_only(entry.state, update);
    entry.state = update;
    if (changed && disseminate) {
        schedule_dissemination(entry);
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

void member_table::mark_suspect(const std::string& vm)
{
    const auto known = others_.find(vm);
    if (known != others_.end() && known->second.state.condition() == schema::alive) {
        known->second.state.set_condition(schema::suspect);
        known->second.condition_since = monotonic_clock::now();
        schedule_dissemination(known->second);
    }
}

void member_table::apply_timeouts()
{
    const time_point now = monotonic_clock::now();
    for (auto item = others_.begin(); item != others_.end();) {
        member& entry = item->second;
        const duration age = now - entry.condition_since;
        if (entry.state.condition() == schema::suspect && age >= options_.suspicion_timeout) {
            entry.state.set_condition(schema::down);
            entry.condition_since = now;
            schedule_dissemination(entry);
        }
        const bool expired = !is_up(entry.state) && age >= options_.forget_after;
        item = expired ? others_.erase(item) : std::next(item);
    }
}

void member_table::restart_timeouts()
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

std::vector<schema::member_news> member_table::select_updates(const std::string& peer,
                                                              bool wants_all)
{
    const std::size_t limit =
        wants_all ? options_.updates_per_full_sync : options_.updates_per_message;
    std::vector<schema::member_news> selected{self_};
    const auto peer_entry = others_.find(peer);
    if (peer_entry != others_.end() && peer_entry->second.state.condition() != schema::alive) {
        selected.push_back(peer_entry->second.state);
    }
    select_changes(peer, options_.updates_per_message - reserved_for_round_robin, selected);
    select_round_robin(peer, limit, selected);
    return selected;
}

void member_table::select_changes(const std::string& peer, std::size_t limit,
                                  std::vector<schema::member_news>& selected)
{
    std::vector<member*> changed;
    for (auto& [vm, entry] : others_) {
        if (entry.sends_left > 0 && vm != peer) {
            changed.push_back(&entry);
        }
    }
    const std::size_t count = std::min(limit - selected.size(), changed.size());
    const auto more_sends_left = [](const member* left, const member* right) {
        return left->sends_left > right->sends_left;
    };
    std::partial_sort(changed.begin(), changed.begin() + static_cast<std::ptrdiff_t>(count),
                      changed.end(), more_sends_left);
    for (std::size_t i = 0; i < count; ++i) {
        --changed[i]->sends_left;
        selected.push_back(changed[i]->state);
    }
}

void member_table::select_round_robin(const std::string& peer, std::size_t limit,
                                      std::vector<schema::member_news>& selected)
{
    for (std::size_t i = 0; i < others_.size() && selected.size() < limit; ++i) {
        auto next = others_.upper_bound(last_round_robin_);
        next = next == others_.end() ? others_.begin() : next;
        last_round_robin_ = next->first;
        const auto same = [&](const schema::member_news& update) {
            return update.vm() == last_round_robin_;
        };
        if (last_round_robin_ != peer && std::none_of(selected.begin(), selected.end(), same)) {
            selected.push_back(next->second.state);
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
        if (is_up(entry.state)) {
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
        const bool recent =
            entry.heard_at && now - *entry.heard_at < options_.recent_contact_window;
        if (recent && (best == nullptr || entry.heard_offset > best->heard_offset)) {
            best = &entry;
        }
    }
    return best;
}

std::optional<log_offset> member_table::highest_heard_offset() const
{
    const member* best = most_advanced();
    return best == nullptr ? std::nullopt : std::optional<log_offset>(best->heard_offset);
}

std::optional<std::string> member_table::most_advanced_address() const
{
    const member* best = most_advanced();
    return best == nullptr ? std::nullopt : std::optional<std::string>(best->state.address());
}

} // namespace chervildyke
