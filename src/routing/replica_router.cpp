/** \file
 * Implements replica_router.
 */
#include "routing/replica_router.h"

#include <algorithm>

namespace chervildyke {

namespace {

// Ceiling of own calls at a replica, as a multiple of its batch limit.
constexpr double queue_ceiling_factor = 2.0;
constexpr double default_batch_limit = 32; // If the replica reports none.

std::vector<std::uint64_t> sorted_prefixes(const schema::replica_view& view)
{
    return {view.cached_prefixes().begin(), view.cached_prefixes().end()};
}

bool has_loaded(const schema::replica_view& view, const std::string& adapter)
{
    const auto& loaded = view.loaded_adapters();
    return adapter.empty() || std::find(loaded.begin(), loaded.end(), adapter) != loaded.end();
}

} // namespace

replica_router::replica_router(std::string own_domain, duration report_freshness,
                               random_source random)
    : own_domain_(std::move(own_domain)), report_freshness_(report_freshness),
      random_(std::move(random))
{
}

void replica_router::set_limit(replica_state& of, bool is_new) const
{
    const double batch = of.view->batch_limit() > 0 ? of.view->batch_limit() : default_batch_limit;
    if (is_new) {
        concurrency_policy policy;
        policy.initial = std::max(4.0, batch / std::max(1, view_->entries_size()));
        policy.ceiling = queue_ceiling_factor * batch;
        of.limit = concurrency_limit(policy);
    }
    of.limit.set_ceiling(queue_ceiling_factor * batch);
}

void replica_router::use_view(std::shared_ptr<const schema::routing_view> view,
                              time_point arrived_at)
{
    for (auto& [id, state] : replicas_) {
        state.view = nullptr;
    }
    view_ = std::move(view);
    arrived_at_ = arrived_at;
    by_team_.clear();
    std::vector<std::uint64_t> present;
    for (const schema::replica_view& replica : view_->replicas()) {
        const auto [found, is_new] = replicas_.try_emplace(replica.replica_id());
        replica_state& state = found->second;
        state.view = &replica;
        state.own_calls_at_view = state.own_calls;
        state.prefixes.set_reported(sorted_prefixes(replica));
        set_limit(state, is_new);
        by_team_[replica.team()].push_back(replica.replica_id());
        present.push_back(replica.replica_id());
    }
    std::erase_if(replicas_, [](const auto& item) {
        return item.second.view == nullptr && item.second.own_calls == 0;
    });
    outliers_.retain(present);
}

bool replica_router::is_healthy(const replica_state& of, time_point now) const
{
    if (of.view == nullptr || !of.view->serving() || of.view->members().empty()) {
        return false;
    }
    const duration age =
        std::chrono::milliseconds(of.view->oldest_report_age_ms()) + (now - arrived_at_);
    const bool checked = of.healthy_at != time_point{} && now - of.healthy_at <= report_freshness_;
    return age <= report_freshness_ || checked;
}

void replica_router::note_healthy(std::uint64_t replica, time_point at)
{
    if (const auto found = replicas_.find(replica); found != replicas_.end()) {
        found->second.healthy_at = at;
    }
}

void replica_router::note_unhealthy(std::uint64_t replica)
{
    note_healthy(replica, time_point{});
}

bool replica_router::usable(std::uint64_t replica, time_point now) const
{
    const auto found = replicas_.find(replica);
    return found != replicas_.end() && is_healthy(found->second, now);
}

replica_candidate replica_router::candidate(const replica_state& of, const routing_request& request,
                                            const ejection_state& ejection) const
{
    const std::uint32_t reported = of.view->running() + of.view->queued();
    replica_candidate made;
    made.replica = of.view->replica_id();
    made.own_calls = of.own_calls;
    made.other_calls = reported - std::min(reported, of.own_calls_at_view);
    made.limit = of.limit.limit();
    made.matched_blocks = static_cast<std::uint32_t>(of.prefixes.matched_blocks(request.prefixes));
    made.weight = ejection.weight;
    made.ejected = ejection.ejected;
    made.same_domain = of.view->members(0).failure_domain() == own_domain_;
    return made;
}

std::optional<chosen_replica> replica_router::choose(const routing_request& request, time_point now)
{
    const auto team = by_team_.find(request.team);
    if (team == by_team_.end()) {
        return std::nullopt;
    }
    const std::vector<ejection_state> ejections = outliers_.evaluate(team->second, now);
    std::vector<replica_candidate> candidates;
    for (std::size_t i = 0; i < team->second.size(); ++i) {
        const std::uint64_t id = team->second[i];
        const replica_state& state = replicas_.at(id);
        const bool avoided =
            std::find(request.avoid.begin(), request.avoid.end(), id) != request.avoid.end();
        if (!avoided && is_healthy(state, now) && has_loaded(*state.view, request.adapter)) {
            candidates.push_back(candidate(state, request, ejections[i]));
        }
    }
    const std::uint64_t prefix_hash = request.prefixes.empty() ? 0 : request.prefixes.front();
    const auto chosen = choose_replica(candidates, prefix_hash, policy_, random_);
    if (!chosen) {
        return std::nullopt;
    }
    const std::uint64_t id = candidates[*chosen].replica;
    return chosen_replica{id, replicas_.at(id).view->members(0).address()};
}

std::uint32_t replica_router::capacity(const std::string& team, time_point now) const
{
    const auto found = by_team_.find(team);
    if (found == by_team_.end()) {
        return 0;
    }
    std::uint32_t sum = 0;
    for (const std::uint64_t id : found->second) {
        const replica_state& state = replicas_.at(id);
        sum += is_healthy(state, now) ? state.limit.limit() : 0;
    }
    return sum;
}

bool replica_router::has_adapter(const std::string& team, const std::string& adapter,
                                 time_point now) const
{
    const auto found = by_team_.find(team);
    return found != by_team_.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](std::uint64_t id) {
               const replica_state& state = replicas_.at(id);
               return is_healthy(state, now) && has_loaded(*state.view, adapter);
           });
}

void replica_router::sent(std::uint64_t replica, const std::vector<std::uint64_t>& prefixes)
{
    replica_state& state = replicas_[replica];
    ++state.own_calls;
    state.prefixes.note_sent(prefixes);
}

void replica_router::first_token(std::uint64_t replica, duration time, time_point now)
{
    if (const auto found = replicas_.find(replica); found != replicas_.end()) {
        found->second.limit.note(time, found->second.own_calls, now);
        outliers_.note_first_token(replica, time);
        outliers_.note_success(replica);
    }
}

void replica_router::token(std::uint64_t replica, duration time)
{
    outliers_.note_token(replica, time);
}

void replica_router::failed(std::uint64_t replica, time_point now)
{
    outliers_.note_failure(replica, now);
}

void replica_router::refused(std::uint64_t replica, time_point now)
{
    if (const auto found = replicas_.find(replica); found != replicas_.end()) {
        found->second.limit.note_overload(now);
    }
}

void replica_router::ended(std::uint64_t replica)
{
    const auto found = replicas_.find(replica);
    if (found == replicas_.end()) {
        return;
    }
    --found->second.own_calls;
    if (found->second.own_calls == 0 && found->second.view == nullptr) {
        replicas_.erase(found);
    }
}

std::uint32_t replica_router::own_calls(std::uint64_t replica) const
{
    const auto found = replicas_.find(replica);
    return found == replicas_.end() ? 0 : found->second.own_calls;
}

std::vector<const schema::replica_view*> replica_router::replicas() const
{
    std::vector<const schema::replica_view*> all;
    if (view_) {
        for (const schema::replica_view& replica : view_->replicas()) {
            all.push_back(&replica);
        }
    }
    return all;
}

} // namespace chervildyke
