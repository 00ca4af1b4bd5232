/** \file
 * Implements replica_balancer.
 */
#include "routing/replica_balancer.h"

#include <algorithm>
#include <utility>

#include "routing/replica_latency_model.h"

namespace chervildyke {

namespace {

// Consecutive refusals before peers are informed.
constexpr std::uint32_t min_reported_refusals = 2;

std::string key_of(const std::string& service, const std::string& model)
{
    return service + "/" + model;
}

} // namespace

replica_balancer::replica_balancer(random_source random, replica_balancer_settings settings)
    : random_(std::move(random)), settings_(settings)
{
}

void replica_balancer::set_profile(const std::string& service, const engine_profile& profile)
{
    profiles_[service] = profile;
}

void replica_balancer::set_serving(std::vector<serving_replica> replicas)
{
    serving_.clear();
    for (serving_replica& replica : replicas) {
        const std::uint64_t epoch = replica.epoch;
        serving_.emplace(epoch, std::move(replica));
    }
    std::erase_if(excluded_until_,
                  [this](const auto& entry) { return !serving_.contains(entry.first); });
    std::erase_if(refusals_, [this](const auto& entry) { return !serving_.contains(entry.first); });
    std::erase_if(own_usage_, [this](const auto& entry) {
        return entry.second.running == 0 && !serving_.contains(entry.first);
    });
}

void replica_balancer::note_peer_usage(const std::string& peer,
                                       std::map<std::uint64_t, replica_usage> uses, time_point now,
                                       bool reports_rarely)
{
    peer_state& state = peers_[peer];
    subtract(state);
    state = {std::move(uses),
             now + (reports_rarely ? settings_.remote_report_ttl : settings_.local_report_ttl)};
    for (const auto& [epoch, use] : state.uses) {
        peer_total& total = peer_totals_[epoch];
        total.running += use.running;
        total.prompt_tokens += use.prompt_tokens;
        if (use.refuses) {
            exclude(epoch, now + settings_.reported_refusal_backoff);
        }
        if (use.running > 0) {
            total.last_event = std::max(total.last_event, now - use.silent);
        }
    }
    remove_expired_peers(now);
}

void replica_balancer::subtract(const peer_state& peer)
{
    for (const auto& [epoch, use] : peer.uses) {
        const auto total = peer_totals_.find(epoch);
        if (total == peer_totals_.end()) {
            continue;
        }
        total->second.running -= use.running;
        total->second.prompt_tokens -= use.prompt_tokens;
        if (total->second.running == 0 && !serving_.contains(epoch)) {
            peer_totals_.erase(total);
        }
    }
}

void replica_balancer::remove_expired_peers(time_point now)
{
    constexpr duration interval = 100ms; // The interval of peers' reports.
    if (now - peers_expired_at_ < interval) {
        return;
    }
    peers_expired_at_ = now;
    std::erase_if(peers_, [&](const auto& entry) {
        const bool expired = now > entry.second.expires_at;
        if (expired) {
            subtract(entry.second);
        }
        return expired;
    });
}

void replica_balancer::forget_exclusions(const std::string& service)
{
    std::erase_if(excluded_until_, [this, &service](const auto& excluded) {
        const auto found = serving_.find(excluded.first);
        return found != serving_.end() && found->second.service == service;
    });
}

void replica_balancer::exclude(std::uint64_t epoch, time_point until)
{
    time_point& held = excluded_until_[epoch];
    held = std::max(held, until);
}

replica_usage replica_balancer::usage_of(std::uint64_t epoch, time_point now) const
{
    replica_usage use;
    std::optional<time_point> last_event;
    if (const auto own = own_usage_.find(epoch);
        own != own_usage_.end() && own->second.running > 0) {
        use.running = own->second.running;
        use.prompt_tokens = own->second.prompt_tokens;
        last_event = own->second.last_event;
    }
    const auto total = peer_totals_.find(epoch);
    if (total != peer_totals_.end() && total->second.running > 0) {
        use.running += total->second.running;
        use.prompt_tokens += total->second.prompt_tokens;
        last_event = std::max(last_event.value_or(time_point{}), total->second.last_event);
    }
    use.silent = last_event ? now - *last_event : duration::zero();
    return use;
}

replica_selection replica_balancer::choose(const replica_request& request, double fill_limit,
                                           time_point now)
{
    replica_selection selection;
    remove_expired_peers(now);
    const auto profile = profiles_.find(request.service);
    const model_profile* model =
        profile == profiles_.end() ? nullptr : profile->second.find(request.model);
    if (model == nullptr) {
        return selection;
    }
    const replica_latency_model model_latency(profile->second, *model);
    const prediction_error& error = first_event_errors_[key_of(request.service, request.model)];
    std::vector<candidate> local;
    std::vector<candidate> remote;
    for (const auto& [epoch, replica] : serving_) {
        if (replica.service != request.service || replica.model != request.model) {
            continue;
        }
        const backend_availability head =
            head_availability ? head_availability(replica, now) : backend_availability();
        if (head.paused_until && !head.leaving) {
            selection.paused_until =
                std::min(*head.paused_until, selection.paused_until.value_or(*head.paused_until));
        }
        if (head.leaving || head.paused_until) {
            continue;
        }
        ++selection.serving;
        const auto exclusion = excluded_until_.find(epoch);
        const bool excluded = exclusion != excluded_until_.end() && now < exclusion->second;
        if (excluded || request.tried.contains(epoch)) {
            ++selection.excluded;
            continue;
        }
        const replica_usage use = usage_of(epoch, now);
        const bool stalled = use.running > 0 && use.silent > settings_.stall_limit;
        const bool is_local =
            preferred_domain_.empty() || replica.failure_domain == preferred_domain_;
        const double fill =
            is_local ? fill_limit : std::min(fill_limit, settings_.remote_fill_limit);
        const bool no_slot = use.running >= fill * profile->second.batch_slots;
        const bool cold =
            !stalled && !no_slot && head_may_be_called && !head_may_be_called(replica, now);
        const bool full = no_slot || cold;
        selection.cold += cold ? 1 : 0;
        selection.stalled += stalled ? 1 : 0;
        selection.full += full && !stalled ? 1 : 0;
        if (!stalled && !full) {
            const std::uint32_t slots = profile->second.batch_slots;
            selection.open_slots += slots - std::min(use.running, slots);
            const duration first = model_latency.time_to_first_event(use.running, use.prompt_tokens,
                                                                     request.prompt_tokens);
            (is_local ? local : remote).push_back({&replica, error.correct(first), use.running});
        }
    }
    auto best = best_of_sample(std::move(local));
    const auto best_remote = best_of_sample(std::move(remote));
    const bool better =
        best_remote &&
        (!best || best_remote->first_event * settings_.remote_penalty < best->first_event);
    if (better) {
        best = best_remote;
    }
    if (best) {
        selection.selected = {*best->replica, best->first_event,
                              model_latency.event_gap(best->running + 1), best->running};
    }
    return selection;
}

std::optional<replica_balancer::candidate>
replica_balancer::best_of_sample(std::vector<candidate> open) const
{
    std::optional<candidate> best;
    for (std::uint32_t i = 0; i < settings_.compared_replicas && !open.empty(); ++i) {
        const std::size_t index = random_below(random_, open.size());
        if (!best || open[index].first_event < best->first_event) {
            best = open[index];
        }
        open[index] = open.back();
        open.pop_back();
    }
    return best;
}

void replica_balancer::retain_peers(const std::set<std::string>& live)
{
    std::erase_if(peers_, [&](const auto& entry) {
        const bool gone = !live.contains(entry.first);
        if (gone) {
            subtract(entry.second);
        }
        return gone;
    });
}

void replica_balancer::note_refusal(const selected_replica& selected, time_point now)
{
    const auto profile = profiles_.find(selected.replica.service);
    const double slots = profile == profiles_.end() ? 0 : profile->second.batch_slots;
    duration backoff = settings_.refusal_backoff;
    if (selected.running < slots * settings_.refusal_expected_fill) {
        refusal_state& refusal = refusals_[selected.replica.epoch];
        for (std::uint32_t i = 0; i < refusal.unexpected_in_a_row; ++i) {
            backoff = std::min(backoff * 2, settings_.max_refusal_backoff);
        }
        ++refusal.unexpected_in_a_row;
        refusal.refused_until = now + backoff;
    }
    exclude(selected.replica.epoch, now + backoff);
}

void replica_balancer::note_first_event(const selected_replica& selected, duration observed)
{
    refusals_.erase(selected.replica.epoch);
    const std::string key = key_of(selected.replica.service, selected.replica.model);
    first_event_errors_[key].note(selected.first_event, observed);
}

duration replica_balancer::first_event_of_full_batch(const replica_request& request) const
{
    const auto profile = profiles_.find(request.service);
    const model_profile* model =
        profile == profiles_.end() ? nullptr : profile->second.find(request.model);
    if (model == nullptr) {
        return duration::zero();
    }
    const replica_latency_model model_latency(profile->second, *model);
    const duration predicted = model_latency.time_to_first_event(profile->second.batch_slots - 1, 0,
                                                                 request.prompt_tokens);
    const auto error = first_event_errors_.find(key_of(request.service, request.model));
    return error == first_event_errors_.end() ? predicted : error->second.correct(predicted);
}

std::map<std::uint64_t, replica_usage> replica_balancer::own_usage(time_point now) const
{
    std::map<std::uint64_t, replica_usage> uses;
    for (const auto& [epoch, state] : own_usage_) {
        if (state.running > 0) {
            uses[epoch] = {state.running, state.prompt_tokens, now - state.last_event};
        }
    }
    for (const auto& [epoch, refusal] : refusals_) {
        if (refusal.unexpected_in_a_row >= min_reported_refusals && now < refusal.refused_until) {
            uses[epoch].refuses = true;
        }
    }
    return uses;
}

std::map<std::uint64_t, replica_usage> replica_balancer::total_usage(time_point now) const
{
    std::map<std::uint64_t, replica_usage> uses;
    for (const auto& [epoch, replica] : serving_) {
        uses[epoch] = usage_of(epoch, now);
    }
    // Calls go on at a replica that takes no new ones.
    for (const auto& [epoch, own] : own_usage_) {
        if (own.running > 0) {
            uses[epoch] = usage_of(epoch, now);
        }
    }
    for (const auto& [epoch, total] : peer_totals_) {
        if (total.running > 0) {
            uses[epoch] = usage_of(epoch, now);
        }
    }
    return uses;
}

duration replica_balancer::silence_of(std::uint64_t epoch, time_point now) const
{
    return usage_of(epoch, now).silent;
}

std::uint32_t replica_balancer::running_calls_of_model(const std::string& service,
                                                       const std::string& model,
                                                       time_point now) const
{
    std::uint32_t running = 0;
    for (const auto& [epoch, replica] : serving_) {
        if (replica.service == service && replica.model == model) {
            running += usage_of(epoch, now).running;
        }
    }
    return running;
}

std::uint32_t replica_balancer::slots_of_model(const std::string& service,
                                               const std::string& model) const
{
    const auto profile = profiles_.find(service);
    std::uint32_t slots = 0;
    for (const auto& [epoch, replica] : serving_) {
        if (profile != profiles_.end() && replica.service == service && replica.model == model) {
            slots += profile->second.batch_slots;
        }
    }
    return slots;
}

std::uint32_t replica_balancer::batch_slots(const std::string& service) const
{
    const auto profile = profiles_.find(service);
    return profile == profiles_.end() ? 0 : profile->second.batch_slots;
}

replica_balancer::call::call(replica_balancer& balancer, std::uint64_t epoch,
                             std::uint32_t prompt_tokens, time_point now)
    : balancer_(balancer), epoch_(epoch), pending_prompt_tokens_(prompt_tokens)
{
    own_usage_state& state = balancer_.own_usage_[epoch_];
    if (state.running == 0) {
        state.last_event = now;
    }
    ++state.running;
    state.prompt_tokens += prompt_tokens;
}

replica_balancer::call::~call()
{
    own_usage_state& state = balancer_.own_usage_[epoch_];
    --state.running;
    state.prompt_tokens -= pending_prompt_tokens_;
}

void replica_balancer::call::note_event(time_point now)
{
    own_usage_state& state = balancer_.own_usage_[epoch_];
    state.prompt_tokens -= pending_prompt_tokens_;
    pending_prompt_tokens_ = 0;
    state.last_event = now;
}

} // namespace chervildyke
