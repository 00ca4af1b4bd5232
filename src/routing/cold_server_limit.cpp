/** \file
 * Implements cold_server_limit.
 */
#include "routing/cold_server_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hash.h"
#include "base/milliseconds.h"

namespace chervildyke {

namespace {

// From the write of an entry until all nodes have read it: the leader's list is at most 0.7 s old,
// and its records take 0.5 s to reach 64 nodes.
constexpr duration max_list_delay = 1200ms;

// The longest time in which calls are counted; a rate of less than one call in it is raised to
// that.
constexpr double max_window_s = 10;

// The rounding of shares must not lose a whole call to the error of a division.
constexpr double rounding_error = 1e-9;

std::size_t rounded_down(double value)
{
    return value < 1 ? 0 : static_cast<std::size_t>(std::floor(value + rounding_error));
}

} // namespace

std::optional<time_point> cold_until(const listed_backend& listed, const cold_start_rule& rule,
                                     std::optional<time_point> evacuation_ended_at, time_point now,
                                     std::uint64_t wall_ms)
{
    std::optional<time_point> until;
    const auto extend = [&until](time_point end) { until = std::max(until.value_or(end), end); };
    const std::optional<duration>& remaining = listed.server.cold_remaining;
    if (remaining) {
        if (*remaining > duration::zero()) {
            extend(listed.last_seen_at + *remaining);
        }
    }
    else if (listed.appeared_at) {
        extend(*listed.appeared_at + rule.start_time);
    }
    else {
        // It was in the first list that this node read, so only the server's clock tells its age.
        // The server's clock may be a little ahead.
        const double age_ms =
            static_cast<double>(wall_ms) - static_cast<double>(listed.server.started_ms);
        const duration age = from_ms(age_ms);
        if (age > -rule.start_time && age < rule.start_time) {
            extend(now + (rule.start_time - age));
        }
    }
    if (evacuation_ended_at) {
        // An entry that was read soon afterwards may have been written before.
        const bool is_later =
            remaining && listed.last_seen_at >= *evacuation_ended_at + max_list_delay;
        if (!is_later) {
            extend(*evacuation_ended_at + rule.start_time);
        }
    }
    return until;
}

cold_server_limit::cold_server_limit(std::string self, cold_limit_settings settings)
    : self_(std::move(self)), settings_(settings), candidates_{self_}
{
}

void cold_server_limit::set_peers(cold_limit_peers peers, bool takes_calls, time_point now)
{
    if (!updated_at_ || now - *updated_at_ > settings_.max_update_gap) {
        settled_at_ = now + settings_.settle_time;
    }
    updated_at_ = now;
    if (!peak_began_at_ || now - *peak_began_at_ > settings_.peak_window) {
        earlier_peak_nodes_ = peak_began_at_ ? peak_nodes_ : 1;
        peak_nodes_ = 1;
        peak_began_at_ = now;
    }
    live_nodes_ = peers.live.size() + 1;
    peak_nodes_ = std::max(peak_nodes_, live_nodes_);
    known_addresses_ = peers.known_addresses;
    had_addresses_ = had_addresses_ || known_addresses_ > 0;
    std::vector<std::string> candidates(peers.available.begin(), peers.available.end());
    if (takes_calls) {
        candidates.push_back(self_);
    }
    const bool changed = candidates != candidates_;
    candidates_ = std::move(candidates);
    for (auto& [id, state] : servers_) {
        if (changed) {
            state.order.clear();
        }
        while (!state.calls.empty() &&
               now - state.calls.front().at >= std::chrono::duration<double>(max_window_s)) {
            state.calls.pop_front();
        }
    }
    std::erase_if(servers_, [](const auto& entry) { return entry.second.calls.empty(); });
}

/** \return how many nodes the fleet has, as far as this node can tell. */
std::size_t cold_server_limit::known_nodes() const
{
    return std::max({live_nodes_, peak_nodes_, earlier_peak_nodes_, known_addresses_ + 1});
}

cold_server_limit::share cold_server_limit::share_of(const cold_start_rule& rule,
                                                     bool in_ramp) const
{
    const double rate = rule.calls_per_s;
    share found;
    if (rate < 1) {
        const double window_s = rate > 0 ? std::min(1 / rate, max_window_s) : max_window_s;
        found.window =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(window_s));
    }
    const double calls_in_window = std::max(rate, 1.0);
    const std::size_t known = known_nodes();
    const std::size_t most =
        std::max<std::size_t>(1, rounded_down(calls_in_window / settings_.calls_of_node_per_s));
    // A node that knows addresses of others and hears none may not take it that it is alone.
    const bool is_cut_off = live_nodes_ == 1 && had_addresses_;
    const std::size_t sharing = is_cut_off ? most : std::min(most, known);
    found.calls = rounded_down(calls_in_window / static_cast<double>(sharing));
    if (known <= most) {
        found.nodes = known; // All nodes send, whichever of them hear each other.
        found.calls *= in_ramp ? settings_.ramp_factor : 1U;
        return found;
    }
    const double live_share = static_cast<double>(live_nodes_) / static_cast<double>(known);
    if (live_share < settings_.min_live_share) {
        return found;
    }
    const auto in_all = static_cast<double>(most * (in_ramp ? settings_.ramp_factor : 1U));
    found.nodes = static_cast<std::size_t>(std::lround(in_all * live_share));
    return found;
}

bool cold_server_limit::is_current(std::optional<duration> list_age, time_point now) const
{
    return updated_at_ && now - *updated_at_ <= settings_.max_update_gap && now >= settled_at_ &&
           list_age && *list_age <= settings_.max_list_age;
}

/** \param nodes how many nodes may send. */
bool cold_server_limit::is_chosen(const std::string& server, std::size_t nodes)
{
    if (nodes >= known_nodes()) {
        return std::find(candidates_.begin(), candidates_.end(), self_) != candidates_.end();
    }
    server_state& state = servers_[server];
    if (state.order.empty()) {
        state.order = rendezvous_order(server, candidates_, candidates_.size());
    }
    const auto end =
        state.order.begin() + static_cast<std::ptrdiff_t>(std::min(nodes, state.order.size()));
    return std::find(state.order.begin(), end, self_) != end;
}

bool cold_server_limit::may_send(const std::string& server, time_point until,
                                 const cold_start_rule& rule, std::optional<duration> list_age,
                                 time_point now)
{
    return next_send_at(server, until, rule, list_age, now) <= now;
}

time_point cold_server_limit::next_send_at(const std::string& server, time_point until,
                                           const cold_start_rule& rule,
                                           std::optional<duration> list_age, time_point now)
{
    const time_point warm_at = until + settings_.end_margin;
    const share own = share_of(rule, now >= warm_at);
    // Without a share of its own in the ramp, the node may send once the ramp is over.
    const time_point later = now < warm_at ? warm_at : limited_until(until);
    if (own.calls == 0 || !is_current(list_age, now) || !is_chosen(server, own.nodes)) {
        return later;
    }
    const std::deque<counted_call>& calls = servers_[server].calls;
    if (calls.size() < own.calls) {
        return now;
    }
    const time_point counted = calls[calls.size() - own.calls].at;
    return now - counted > own.window ? now : std::min(counted + own.window + 1ms, later);
}

void cold_server_limit::note_chosen(const std::string& server, time_point now)
{
    servers_[server].calls.push_back({now, false});
}

void cold_server_limit::note_sent(const std::string& server, time_point now)
{
    // Calls for which a server was chosen are sent in any order. The newest one is taken, since an
    // older one may never be sent.
    std::deque<counted_call>& calls = servers_[server].calls;
    const auto waiting =
        std::find_if(calls.rbegin(), calls.rend(), [](const auto& call) { return !call.sent; });
    if (waiting != calls.rend()) {
        calls.erase(std::next(waiting).base());
    }
    calls.push_back({now, true});
}

} // namespace chervildyke
