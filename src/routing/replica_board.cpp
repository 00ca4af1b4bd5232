/** \file
 * Implements replica_board.
 */
#include "routing/replica_board.h"

#include <algorithm>
#include <utility>

#include "routing/replica_pace.h"

namespace chervildyke {

namespace {

constexpr std::uint32_t told_refusals = 2; // In a row, before other nodes are told.

std::string key_of(const std::string& service, const std::string& model)
{
    return service + "/" + model;
}

} // namespace

replica_board::replica_board(random_source random, board_settings settings)
    : random_(std::move(random)), settings_(settings)
{
}

void replica_board::set_profile(const std::string& service, const engine_profile& profile)
{
    profiles_[service] = profile;
}

void replica_board::set_serving(std::vector<serving_replica> replicas)
{
    serving_.clear();
    for (serving_replica& replica : replicas) {
        const std::uint64_t epoch = replica.epoch;
        serving_.emplace(epoch, std::move(replica));
    }
    std::erase_if(suspects_, [this](const auto& entry) { return !serving_.contains(entry.first); });
    std::erase_if(refusals_, [this](const auto& entry) { return !serving_.contains(entry.first); });
    std::erase_if(own_, [this](const auto& entry) {
        return entry.second.running == 0 && !serving_.contains(entry.first);
    });
}

void replica_board::note_peer(const std::string& peer, std::map<std::uint64_t, replica_use> uses,
                              time_point now, bool speaks_seldom)
{
    peer_state& state = peers_[peer];
    subtract(state);
    state = {std::move(uses),
             now + (speaks_seldom ? settings_.far_word_lifetime : settings_.peer_word_lifetime)};
    for (const auto& [epoch, use] : state.uses) {
        peer_total& total = peer_totals_[epoch];
        total.running += use.running;
        total.prompt_tokens += use.prompt_tokens;
        if (use.refuses) {
            suspect(epoch, now + settings_.told_refusal_pause);
        }
        if (use.running > 0) {
            total.last_event = std::max(total.last_event, now - use.silent);
        }
    }
    forget_silent_peers(now);
}

void replica_board::subtract(const peer_state& peer)
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

void replica_board::forget_silent_peers(time_point now)
{
    constexpr duration interval = 100ms; // As often as words come.
    if (now - peers_checked_at_ < interval) {
        return;
    }
    peers_checked_at_ = now;
    std::erase_if(peers_, [&](const auto& entry) {
        const bool silent = now > entry.second.forget_at;
        if (silent) {
            subtract(entry.second);
        }
        return silent;
    });
}

void replica_board::suspect(std::uint64_t epoch, time_point until)
{
    time_point& held = suspects_[epoch];
    held = std::max(held, until);
}

replica_use replica_board::use_of(std::uint64_t epoch, time_point now) const
{
    replica_use use;
    std::optional<time_point> last_event;
    if (const auto own = own_.find(epoch); own != own_.end() && own->second.running > 0) {
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

board_answer replica_board::choose(const replica_request& request, double fill_limit,
                                   time_point now)
{
    board_answer answer;
    forget_silent_peers(now);
    const auto profile = profiles_.find(request.service);
    const model_profile* model =
        profile == profiles_.end() ? nullptr : profile->second.find(request.model);
    if (model == nullptr) {
        return answer;
    }
    const replica_pace pace(profile->second, *model);
    const prediction_error& error = first_event_errors_[key_of(request.service, request.model)];
    std::vector<candidate> near;
    std::vector<candidate> far;
    for (const auto& [epoch, replica] : serving_) {
        if (replica.service != request.service || replica.model != request.model) {
            continue;
        }
        const backend_standing head =
            head_standing ? head_standing(replica, now) : backend_standing();
        if (head.paused_until && !head.leaving) {
            answer.paused_until =
                std::min(*head.paused_until, answer.paused_until.value_or(*head.paused_until));
        }
        if (head.leaving || head.paused_until) {
            continue;
        }
        ++answer.serving;
        const auto suspected = suspects_.find(epoch);
        const bool left_out = suspected != suspects_.end() && now < suspected->second;
        if (left_out || request.tried.contains(epoch)) {
            ++answer.left_out;
            continue;
        }
        const replica_use use = use_of(epoch, now);
        const bool stalled = use.running > 0 && use.silent > settings_.stall_limit;
        const bool is_near = home_.empty() || replica.failure_domain == home_;
        const double fill = is_near ? fill_limit : std::min(fill_limit, settings_.far_fill_limit);
        const bool full = use.running >= fill * profile->second.batch_slots;
        answer.stalled += stalled ? 1 : 0;
        answer.full += full && !stalled ? 1 : 0;
        if (!stalled && !full) {
            const duration first =
                pace.first_event(use.running, use.prompt_tokens, request.prompt_tokens);
            (is_near ? near : far).push_back({&replica, error.correct(first), use.running});
        }
    }
    auto best = best_of_few(std::move(near));
    const auto elsewhere = best_of_few(std::move(far));
    const bool better =
        elsewhere && (!best || elsewhere->first_event * settings_.far_penalty < best->first_event);
    if (better) {
        best = elsewhere;
    }
    if (best) {
        answer.offer = {*best->replica, best->first_event, pace.event_gap(best->running + 1),
                        best->running};
    }
    return answer;
}

std::optional<replica_board::candidate>
replica_board::best_of_few(std::vector<candidate> open) const
{
    std::optional<candidate> best;
    for (std::uint32_t i = 0; i < settings_.choices && !open.empty(); ++i) {
        const std::size_t index = random_below(random_, open.size());
        if (!best || open[index].first_event < best->first_event) {
            best = open[index];
        }
        open[index] = open.back();
        open.pop_back();
    }
    return best;
}

void replica_board::retain_peers(const std::set<std::string>& live)
{
    std::erase_if(peers_, [&](const auto& entry) {
        const bool gone = !live.contains(entry.first);
        if (gone) {
            subtract(entry.second);
        }
        return gone;
    });
}

void replica_board::note_refusal(const replica_offer& offer, time_point now)
{
    const auto profile = profiles_.find(offer.replica.service);
    const double places = profile == profiles_.end() ? 0 : profile->second.batch_slots;
    duration pause = settings_.refusal_pause;
    if (offer.running < places * settings_.explained_fill) {
        refusal_state& refusal = refusals_[offer.replica.epoch];
        for (std::uint32_t i = 0; i < refusal.in_a_row; ++i) {
            pause = std::min(pause * 2, settings_.longest_refusal_pause);
        }
        ++refusal.in_a_row;
        refusal.out_until = now + pause;
    }
    suspect(offer.replica.epoch, now + pause);
}

void replica_board::note_first_event(const replica_offer& offer, duration observed)
{
    refusals_.erase(offer.replica.epoch);
    const std::string key = key_of(offer.replica.service, offer.replica.model);
    first_event_errors_[key].note(offer.first_event, observed);
}

duration replica_board::first_event_of_full_batch(const replica_request& request) const
{
    const auto profile = profiles_.find(request.service);
    const model_profile* model =
        profile == profiles_.end() ? nullptr : profile->second.find(request.model);
    if (model == nullptr) {
        return duration::zero();
    }
    const replica_pace pace(profile->second, *model);
    const duration predicted =
        pace.first_event(profile->second.batch_slots - 1, 0, request.prompt_tokens);
    const auto error = first_event_errors_.find(key_of(request.service, request.model));
    return error == first_event_errors_.end() ? predicted : error->second.correct(predicted);
}

std::map<std::uint64_t, replica_use> replica_board::own_uses(time_point now) const
{
    std::map<std::uint64_t, replica_use> uses;
    for (const auto& [epoch, state] : own_) {
        if (state.running > 0) {
            uses[epoch] = {state.running, state.prompt_tokens, now - state.last_event};
        }
    }
    for (const auto& [epoch, refusal] : refusals_) {
        if (refusal.in_a_row >= told_refusals && now < refusal.out_until) {
            uses[epoch].refuses = true;
        }
    }
    return uses;
}

std::map<std::uint64_t, replica_use> replica_board::all_uses(time_point now) const
{
    std::map<std::uint64_t, replica_use> uses;
    for (const auto& [epoch, replica] : serving_) {
        uses[epoch] = use_of(epoch, now);
    }
    return uses;
}

duration replica_board::silence_of(std::uint64_t epoch, time_point now) const
{
    return use_of(epoch, now).silent;
}

std::uint32_t replica_board::running_of_model(const std::string& service, const std::string& model,
                                              time_point now) const
{
    std::uint32_t running = 0;
    for (const auto& [epoch, replica] : serving_) {
        if (replica.service == service && replica.model == model) {
            running += use_of(epoch, now).running;
        }
    }
    return running;
}

std::uint32_t replica_board::places_of_model(const std::string& service,
                                             const std::string& model) const
{
    const auto profile = profiles_.find(service);
    std::uint32_t places = 0;
    for (const auto& [epoch, replica] : serving_) {
        if (profile != profiles_.end() && replica.service == service && replica.model == model) {
            places += profile->second.batch_slots;
        }
    }
    return places;
}

replica_board::call::call(replica_board& board, std::uint64_t epoch, std::uint32_t prompt_tokens,
                          time_point now)
    : board_(board), epoch_(epoch), unread_tokens_(prompt_tokens)
{
    own_state& state = board_.own_[epoch_];
    if (state.running == 0) {
        state.last_event = now;
    }
    ++state.running;
    state.prompt_tokens += prompt_tokens;
}

replica_board::call::~call()
{
    own_state& state = board_.own_[epoch_];
    --state.running;
    state.prompt_tokens -= unread_tokens_;
}

void replica_board::call::note_event(time_point now)
{
    own_state& state = board_.own_[epoch_];
    state.prompt_tokens -= unread_tokens_;
    unread_tokens_ = 0;
    state.last_event = now;
}

} // namespace chervildyke
