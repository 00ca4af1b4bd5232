/** \file
 * Implements the judging of claims and settlements.
 */
#include "orders/order_ledger.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace chervildyke {

namespace {

constexpr std::size_t max_candidates = 64; // Kept for one uncertain key.

/** A key is dropped from memory this much after its window, so that a log clock that steps back
 * a little does not change a verdict.
 */
std::uint64_t purge_margin(std::uint64_t window)
{
    return window / 4;
}

bool has_ended(const kept_claim& claim, std::uint64_t at)
{
    return at >= claim.claimed_at_ms + claim.valid_ms;
}

schema::claim_verdict settled(const schema::order_claim& claim, const kept_claim& winner,
                              const kept_settlement& kept, std::string reason)
{
    schema::claim_verdict verdict = make_verdict(claim, schema::claim_settled, std::move(reason));
    verdict.set_winner_attempt_id(winner.attempt_id);
    schema::order_settlement& settlement = *verdict.mutable_settlement();
    settlement.set_tenant(claim.tenant());
    settlement.set_key(claim.key());
    settlement.set_attempt_id(winner.attempt_id);
    settlement.set_outcome(kept.outcome);
    settlement.set_http_status(kept.http_status);
    settlement.set_content_type(kept.content_type);
    settlement.set_confirmation(kept.confirmation);
    return verdict;
}

/** Judges a claim against the winner of its key. */
schema::claim_verdict judge_against(const schema::order_claim& claim, const key_state& state,
                                    std::uint64_t at)
{
    const kept_claim& winner = state.winner;
    if (claim.body_digest() != winner.body_digest) {
        return make_verdict(claim, schema::claim_other_body,
                            "the key was used before with another body");
    }
    if (state.settlement) {
        return settled(claim, winner, *state.settlement, "the key is settled");
    }
    if (claim.attempt_id() == winner.attempt_id) {
        return make_verdict(claim, schema::claim_won, "");
    }
    if (has_ended(winner, at)) {
        kept_settlement unknown;
        unknown.outcome = schema::order_unknown;
        return settled(claim, winner, unknown, "the attempt that holds the key ended unsettled");
    }
    schema::claim_verdict verdict =
        make_verdict(claim, schema::claim_held, "another attempt holds the key");
    verdict.set_winner_attempt_id(winner.attempt_id);
    return verdict;
}

/** Says why a claim can't be judged by its own content, whatever else stands in the stream. */
std::string fault_of(const schema::order_claim& claim, std::uint64_t window)
{
    if (claim.tenant().empty() || claim.key().empty() || claim.attempt_id().empty()) {
        return "the claim lacks its tenant, key or attempt";
    }
    if (claim.valid_ms() > window / 2) {
        return "the attempt could last longer than half of the claim window";
    }
    return {};
}

/** Says why a key that nobody holds can't be judged by its age. */
std::string age_fault(const schema::order_claim& claim, std::uint64_t at, std::uint64_t window)
{
    if (claim.key_created_ms() == 0) {
        return {};
    }
    const std::uint64_t allowance = window / key_clock_divisor;
    if (claim.key_created_ms() + window < at + allowance) {
        return "the key is older than the claim window, so an earlier use may be forgotten";
    }
    if (claim.key_created_ms() > at + allowance) {
        return "the key's creation time lies in the future";
    }
    return {};
}

kept_claim to_kept(const schema::order_claim& claim, std::uint64_t at, std::uint64_t window)
{
    return {claim.attempt_id(), claim.body_digest(), at, claim.valid_ms(), window};
}

} // namespace

std::string order_key_id(const std::string& tenant, const std::string& key)
{
    return std::to_string(tenant.size()) + ":" + tenant + key;
}

std::string order_stream_of(const std::string& tenant, const std::string& key,
                            std::uint32_t streams)
{
    return "orders-" + std::to_string(placement_hash(order_key_id(tenant, key)) % streams);
}

schema::claim_verdict make_verdict(const schema::order_claim& claim, schema::claim_result result,
                                   std::string reason)
{
    schema::claim_verdict verdict;
    verdict.set_attempt_id(claim.attempt_id());
    verdict.set_result(result);
    verdict.set_reason(std::move(reason));
    return verdict;
}

record_verdicts order_ledger::apply(const schema::order_record& record, log_offset offset,
                                    std::uint64_t appended_at_ms)
{
    last_appended_at_ms_ = appended_at_ms;
    latest_ms_ = std::max(latest_ms_, appended_at_ms);
    find_history_start(offset, appended_at_ms);
    record_verdicts verdicts;
    if (record.format() > order_record_format) {
        // Readers of the newer format judge it; for this one it is a hole in the history.
        history_from_ms_ = appended_at_ms;
        lost_.reset();
        return verdicts;
    }
    if (is_duplicate(record.id(), appended_at_ms)) {
        verdicts.duplicate = true;
        return verdicts;
    }
    for (const schema::order_settlement& settlement : record.settlements()) {
        verdicts.settlements.push_back(settle(settlement, appended_at_ms, record.window_ms()));
    }
    for (const schema::order_claim& claim : record.claims()) {
        verdicts.claims.push_back(judge(claim, appended_at_ms, record.window_ms()));
    }
    purge(latest_ms_);
    return verdicts;
}

void order_ledger::lose_history(log_offset live_offset, std::uint64_t retention_ms)
{
    history_starts_at_next_ = true;
    lost_.reset();
    if (retention_ms > 0) {
        lost_ = lost_part{live_offset, retention_ms};
    }
}

std::optional<schema::claim_verdict>
order_ledger::settled_verdict(const schema::order_claim& claim) const
{
    const std::string id = order_key_id(claim.tenant(), claim.key());
    const key_state* state = find_live(id, last_appended_at_ms_);
    if (state == nullptr || !state->certain || !state->settlement) {
        return std::nullopt;
    }
    return judge_against(claim, *state, last_appended_at_ms_);
}

bool order_ledger::is_uncertain(const std::string& tenant, const std::string& key) const
{
    const key_state* state = find_live(order_key_id(tenant, key), last_appended_at_ms_);
    return state != nullptr && !state->certain;
}

bool order_ledger::is_open_for(const schema::order_settlement& settlement) const
{
    if (settlement.outcome() == schema::order_not_run) {
        return true;
    }
    const std::string id = order_key_id(settlement.tenant(), settlement.key());
    const key_state* state = find_live(id, last_appended_at_ms_);
    return state != nullptr && state->certain && !state->settlement &&
           state->winner.attempt_id == settlement.attempt_id();
}

bool order_ledger::is_duplicate(const std::string& id, std::uint64_t at)
{
    const auto found = record_ids_.find(id);
    if (found != record_ids_.end() && at < found->second + duplicate_span_ms) {
        return true;
    }
    record_ids_[id] = at;
    schedule(purge_kind::record_id, id, at + duplicate_span_ms + purge_margin(duplicate_span_ms));
    return false;
}

/** Every lost record is older than the first one kept. Once a record is seen that was appended
 * after the log said what it keeps, every lost record is also older than that one by the
 * retention time.
 */
void order_ledger::find_history_start(log_offset offset, std::uint64_t at)
{
    if (history_starts_at_next_) {
        history_starts_at_next_ = false;
        history_from_ms_ = std::max<std::uint64_t>(at, 1);
    }
    if (lost_ && offset >= lost_->live_offset) {
        const std::uint64_t bound = at > lost_->retention_ms ? at - lost_->retention_ms : 1;
        history_from_ms_ = std::min(history_from_ms_, bound);
        lost_.reset();
    }
}

schema::claim_verdict order_ledger::judge(const schema::order_claim& claim, std::uint64_t at,
                                          std::uint64_t window)
{
    std::string fault = fault_of(claim, window);
    if (!fault.empty()) {
        return make_verdict(claim, schema::claim_refused, std::move(fault));
    }
    const std::string id = order_key_id(claim.tenant(), claim.key());
    const key_state* state = find_live(id, at);
    if (state != nullptr && state->certain) {
        return judge_against(claim, *state, at);
    }
    if (withdrawn_.count(claim.attempt_id()) != 0) {
        return make_verdict(claim, schema::claim_refused, "the attempt was withdrawn");
    }
    const bool covered = history_from_ms_ == 0 || at >= history_from_ms_ + window;
    if (state != nullptr || !covered) {
        return doubt(claim, at, window);
    }
    fault = age_fault(claim, at, window);
    if (!fault.empty()) {
        return make_verdict(claim, schema::claim_refused, std::move(fault));
    }
    key_state won;
    won.winner = to_kept(claim, at, window);
    won.forgotten_at_ms = at + window;
    keys_[id] = std::move(won);
    schedule(purge_kind::key, id, at + window + purge_margin(window));
    return make_verdict(claim, schema::claim_won, "");
}

/** A claim that may have lost to one before the history extends the doubt: a whole window without
 * a claim must pass before the key is certainly free.
 */
schema::claim_verdict order_ledger::doubt(const schema::order_claim& claim, std::uint64_t at,
                                          std::uint64_t window)
{
    const std::string id = order_key_id(claim.tenant(), claim.key());
    key_state& state = keys_[id];
    if (at >= state.forgotten_at_ms) {
        state = key_state();
    }
    state.certain = false;
    if (state.candidates.size() == max_candidates) {
        state.candidates.erase(state.candidates.begin());
    }
    state.candidates.push_back(to_kept(claim, at, window));
    state.forgotten_at_ms = std::max(state.forgotten_at_ms, at + window);
    schedule(purge_kind::key, id, state.forgotten_at_ms + purge_margin(window));
    return make_verdict(claim, schema::claim_refused,
                        "the records read so far do not cover the claim window of this key");
}

bool order_ledger::settle(const schema::order_settlement& settlement, std::uint64_t at,
                          std::uint64_t window)
{
    const bool frees = settlement.outcome() == schema::order_not_run;
    if (frees) {
        withdraw(settlement.attempt_id(), at, window);
    }
    const auto found = keys_.find(order_key_id(settlement.tenant(), settlement.key()));
    if (found == keys_.end() || at >= found->second.forgotten_at_ms) {
        return frees;
    }
    key_state& state = found->second;
    if (!state.certain && !frees) {
        prove(state, settlement.attempt_id(), at);
    }
    if (!state.certain || state.winner.attempt_id != settlement.attempt_id()) {
        return frees;
    }
    if (state.settlement) {
        return state.settlement->outcome == settlement.outcome();
    }
    if (frees) {
        keys_.erase(found);
        return true;
    }
    state.settlement = kept_settlement{settlement.outcome(), settlement.http_status(),
                                       settlement.content_type(), settlement.confirmation()};
    return true;
}

/** Only the winning attempt is ever sent, so a settlement that says it may have run proves it. */
void order_ledger::prove(key_state& state, const std::string& attempt, std::uint64_t at)
{
    const auto is_attempt = [&attempt](const kept_claim& claim) {
        return claim.attempt_id == attempt;
    };
    const auto found = std::find_if(state.candidates.begin(), state.candidates.end(), is_attempt);
    if (found == state.candidates.end() || at >= found->claimed_at_ms + found->window_ms) {
        return;
    }
    state.certain = true;
    state.winner = *found;
    state.forgotten_at_ms = found->claimed_at_ms + found->window_ms;
    state.candidates.clear();
}

void order_ledger::withdraw(const std::string& attempt, std::uint64_t at, std::uint64_t window)
{
    withdrawn_[attempt] = at;
    schedule(purge_kind::attempt, attempt, at + window + purge_margin(window));
}

const key_state* order_ledger::find_live(const std::string& id, std::uint64_t at) const
{
    const auto found = keys_.find(id);
    const bool live = found != keys_.end() && at < found->second.forgotten_at_ms;
    return live ? &found->second : nullptr;
}

void order_ledger::schedule(purge_kind kind, std::string id, std::uint64_t at)
{
    purges_.emplace(at, purge_item{kind, std::move(id)});
}

void order_ledger::purge(std::uint64_t now)
{
    while (!purges_.empty() && purges_.begin()->first < now) {
        const purge_item item = std::move(purges_.begin()->second);
        const std::uint64_t due = purges_.begin()->first;
        purges_.erase(purges_.begin());
        if (item.kind == purge_kind::attempt) {
            withdrawn_.erase(item.id);
        }
        else if (item.kind == purge_kind::record_id) {
            record_ids_.erase(item.id);
        }
        else if (const auto found = keys_.find(item.id);
                 found != keys_.end() && found->second.forgotten_at_ms < due) {
            keys_.erase(found);
        }
    }
}

} // namespace chervildyke
