/** \file
 * Implements poison_check.
 */
#include "soak/poison_check.h"

#include <algorithm>

namespace chervildyke::soak {

namespace {

constexpr std::size_t crashes_until_known = 5;           // By then nodes must know the part.
constexpr std::uint64_t max_late_arrivals = 3;           // Calls that may reach servers after that.
constexpr duration late_after = fault_settle_time;       // From the fifth crash.
constexpr duration served_after = 2 * fault_settle_time; // From the fifth crash.
constexpr std::uint64_t min_sound_calls = 20;            // Fewer calls give no share.
constexpr double min_share_of_baseline = 0.5;            // Of the sound calls that begin.

} // namespace

bool has_part(const std::string& prompt, const std::string& id)
{
    return ("," + prompt).find("," + id + ":") != std::string::npos;
}

void poison_check::record_arrival(const std::string& id, time_point now)
{
    const auto sent = node_by_call_.find(id);
    if (sent == node_by_call_.end() || crashes_.size() < crashes_until_known) {
        return;
    }
    const bool late = now - crashes_[crashes_until_known - 1] > late_after;
    if (late && tracker_.node_undisturbed_since(sent->second, now)) {
        ++late_arrivals_;
    }
}

void poison_check::record_sound_call(std::size_t node, time_point sent_at, bool began)
{
    if (!baseline_started_) {
        return;
    }
    if (active_ && tracker_.node_undisturbed_since(node, sent_at)) {
        calls_while_active_.push_back({sent_at, began});
    }
    else if (!active_ && tracker_.fault_free_since(sent_at)) {
        baseline_.add(began);
    }
}

void poison_check::check_final_state(invariant_checker& checker) const
{
    if (crashes_.empty()) {
        return;
    }
    if (late_arrivals_ > max_late_arrivals) {
        checker.add_finding("budget", std::to_string(late_arrivals_) +
                                          " calls with a prompt part under which five servers had "
                                          "crashed reached servers later; " +
                                          std::to_string(crashes_.size()) + " crashed in all");
    }
    const time_point known = crashes_[std::min(crashes_.size(), crashes_until_known) - 1];
    sound_counts after;
    for (const sound_call& call : calls_while_active_) {
        if (call.sent_at - known > served_after) {
            after.add(call.began);
        }
    }
    if (baseline_.sent < min_sound_calls || after.sent < min_sound_calls) {
        return;
    }
    if (after.share() < min_share_of_baseline * baseline_.share()) {
        checker.add_finding("lost", "a share of " + std::to_string(after.share()) +
                                        " of the sound calls with the key or first part of prompts "
                                        "that crash servers began, and " +
                                        std::to_string(baseline_.share()) + " at other times");
    }
}

} // namespace chervildyke::soak
