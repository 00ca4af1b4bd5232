/** \file
 * Implements the verdicts on claims and settlements.
 */
#include "orders/claim_table.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace chervildyke {

namespace {

constexpr std::size_t max_candidates = 64; // For one key; the oldest is dropped for a new one.

/** \return how long after its expiry an entry is kept in memory, in milliseconds, so that a log
 * clock that steps back a little does not change a verdict.
 */
std::uint64_t purge_margin(std::uint64_t window_ms)
{
    return window_ms / 4;
}

/** \return whether the span within which the entry may send the attempt is over. */
bool validity_has_ended(const stored_claim& claim, std::uint64_t now_ms)
{
    return now_ms >= claim.claimed_at_ms + claim.valid_ms;
}

schema::claim_verdict make_settled_verdict(const schema::order_claim& claim,
                                           const stored_claim& winner,
                                           const stored_settlement& stored, std::string reason)
{
    schema::claim_verdict verdict = make_verdict(claim, schema::claim_settled, std::move(reason));
    verdict.set_winner_attempt_id(winner.attempt_id);
    schema::order_settlement& settlement = *verdict.mutable_settlement();
    settlement.set_tenant(claim.tenant());
    settlement.set_key(claim.key());
    settlement.set_attempt_id(winner.attempt_id);
    settlement.set_outcome(stored.outcome);
    settlement.set_http_status(stored.http_status);
    settlement.set_content_type(stored.content_type);
    settlement.set_confirmation(stored.confirmation);
    return verdict;
}

/** \return the verdict on a claim of a key whose winner is certain. */
schema::claim_verdict evaluate_against_winner(const schema::order_claim& claim,
                                              const key_state& state, std::uint64_t now_ms)
{
    const stored_claim& winner = state.winner;
    if (claim.body_digest() != winner.body_digest) {
        return make_verdict(claim, schema::claim_other_body,
                            "the key was used before with another request body");
    }
    if (state.settlement) {
        return make_settled_verdict(claim, winner, *state.settlement, "the key is settled");
    }
    if (claim.attempt_id() == winner.attempt_id) {
        return make_verdict(claim, schema::claim_won, "");
    }
    if (validity_has_ended(winner, now_ms)) {
        stored_settlement unknown;
        unknown.outcome = schema::order_unknown;
        return make_settled_verdict(claim, winner, unknown,
                                    "the attempt that holds the key expired without a settlement");
    }
    schema::claim_verdict verdict =
        make_verdict(claim, schema::claim_held, "another attempt holds the key");
    verdict.set_winner_attempt_id(winner.attempt_id);
    return verdict;
}

/** Checks the claim alone, without the state of its key.
 * \return why it is refused; empty when it is valid.
 */
std::string check_claim(const schema::order_claim& claim, std::uint64_t window_ms)
{
    if (claim.tenant().empty() || claim.key().empty() || claim.attempt_id().empty()) {
        return "the claim has no tenant, key or attempt id";
    }
    if (claim.valid_ms() > window_ms / 2) {
        return "the claim is valid for longer than half of the claim window";
    }
    return {};
}

/** Checks the creation time of a key that no attempt holds.
 * \return why the claim is refused; empty when the key is new enough or states no time.
 */
std::string check_key_age(const schema::order_claim& claim, std::uint64_t now_ms,
                          std::uint64_t window_ms)
{
    if (claim.key_created_ms() == 0) {
        return {};
    }
    const std::uint64_t clock_skew_ms = window_ms / clock_skew_divisor;
    if (claim.key_created_ms() + window_ms < now_ms + clock_skew_ms) {
        return "the key is older than the claim window, so an earlier claim of it may have expired";
    }
    if (claim.key_created_ms() > now_ms + clock_skew_ms) {
        return "the creation time of the key is in the future";
    }
    return {};
}

stored_claim to_stored_claim(const schema::order_claim& claim, std::uint64_t now_ms,
                             std::uint64_t window_ms)
{
    return {claim.attempt_id(), claim.body_digest(), now_ms, claim.valid_ms(), window_ms};
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

record_verdicts claim_table::apply(const schema::order_record& record, log_offset offset,
                                   std::uint64_t appended_at_ms)
{
    last_appended_at_ms_ = appended_at_ms;
    max_appended_at_ms_ = std::max(max_appended_at_ms_, appended_at_ms);
    update_history_start(offset, appended_at_ms);
    record_verdicts verdicts;
    if (record.format() > order_record_format) {
        // Readers of the newer format apply it. To this reader it is a gap: the known history
        // starts after it.
        history_start_ms_ = appended_at_ms;
        history_gap_.reset();
        return verdicts;
    }
    if (is_duplicate(record.id(), appended_at_ms)) {
        verdicts.duplicate = true;
        return verdicts;
    }
    for (const schema::order_settlement& settlement : record.settlements()) {
        verdicts.settlements.push_back(
            apply_settlement(settlement, appended_at_ms, record.window_ms()));
    }
    for (const schema::order_claim& claim : record.claims()) {
        verdicts.claims.push_back(evaluate_claim(claim, appended_at_ms, record.window_ms()));
    }
    purge_expired(max_appended_at_ms_);
    return verdicts;
}

void claim_table::mark_history_lost(log_offset next_offset, std::uint64_t retention_ms)
{
    history_starts_at_next_record_ = true;
    history_gap_.reset();
    if (retention_ms > 0) {
        history_gap_ = history_gap{next_offset, retention_ms};
    }
}

std::optional<schema::claim_verdict>
claim_table::settled_verdict(const schema::order_claim& claim) const
{
    const std::string id = order_key_id(claim.tenant(), claim.key());
    const key_state* state = find_unexpired(id, last_appended_at_ms_);
    if (state == nullptr || !state->winner_certain || !state->settlement) {
        return std::nullopt;
    }
    return evaluate_against_winner(claim, *state, last_appended_at_ms_);
}

bool claim_table::is_uncertain(const std::string& tenant, const std::string& key) const
{
    const key_state* state = find_unexpired(order_key_id(tenant, key), last_appended_at_ms_);
    return state != nullptr && !state->winner_certain;
}

bool claim_table::will_keep(const schema::order_settlement& settlement) const
{
    if (settlement.outcome() == schema::order_not_run) {
        return true;
    }
    const std::string id = order_key_id(settlement.tenant(), settlement.key());
    const key_state* state = find_unexpired(id, last_appended_at_ms_);
    return state != nullptr && state->winner_certain && !state->settlement &&
           state->winner.attempt_id == settlement.attempt_id();
}

bool claim_table::is_duplicate(const std::string& id, std::uint64_t now_ms)
{
    const auto found = record_ids_.find(id);
    if (found != record_ids_.end() && now_ms < found->second + deduplication_window_ms) {
        return true;
    }
    record_ids_[id] = now_ms;
    schedule_purge(purge_kind::record_id, id,
                   now_ms + deduplication_window_ms + purge_margin(deduplication_window_ms));
    return false;
}

/** Every lost record is older than the first one that the log still has. A record from
 * history_gap::next_offset on was appended after the log reported the loss, so every lost record is
 * also older than that record by at least the retention time.
 */
void claim_table::update_history_start(log_offset offset, std::uint64_t now_ms)
{
    if (history_starts_at_next_record_) {
        history_starts_at_next_record_ = false;
        history_start_ms_ = std::max<std::uint64_t>(now_ms, 1);
    }
    if (history_gap_ && offset >= history_gap_->next_offset) {
        const std::uint64_t start_ms =
            now_ms > history_gap_->retention_ms ? now_ms - history_gap_->retention_ms : 1;
        history_start_ms_ = std::min(history_start_ms_, start_ms);
        history_gap_.reset();
    }
}

schema::claim_verdict claim_table::evaluate_claim(const schema::order_claim& claim,
                                                  std::uint64_t now_ms, std::uint64_t window_ms)
{
    std::string error = check_claim(claim, window_ms);
    if (!error.empty()) {
        return make_verdict(claim, schema::claim_refused, std::move(error));
    }
    const std::string id = order_key_id(claim.tenant(), claim.key());
    const key_state* state = find_unexpired(id, now_ms);
    if (state != nullptr && state->winner_certain) {
        return evaluate_against_winner(claim, *state, now_ms);
    }
    if (withdrawn_.count(claim.attempt_id()) != 0) {
        return make_verdict(claim, schema::claim_refused, "the attempt was withdrawn");
    }
    const bool window_covered = history_start_ms_ == 0 || now_ms >= history_start_ms_ + window_ms;
    if (state != nullptr || !window_covered) {
        return add_candidate(claim, now_ms, window_ms);
    }
    error = check_key_age(claim, now_ms, window_ms);
    if (!error.empty()) {
        return make_verdict(claim, schema::claim_refused, std::move(error));
    }
    key_state new_state;
    new_state.winner = to_stored_claim(claim, now_ms, window_ms);
    new_state.expires_at_ms = now_ms + window_ms;
    keys_[id] = std::move(new_state);
    schedule_purge(purge_kind::key, id, now_ms + window_ms + purge_margin(window_ms));
    return make_verdict(claim, schema::claim_won, "");
}

/** Adds a claim that may have won or may have lost to a claim before the known history. It extends
 * the uncertainty: the key is certain to be free only after a whole window without a claim.
 */
schema::claim_verdict claim_table::add_candidate(const schema::order_claim& claim,
                                                 std::uint64_t now_ms, std::uint64_t window_ms)
{
    const std::string id = order_key_id(claim.tenant(), claim.key());
    key_state& state = keys_[id];
    if (now_ms >= state.expires_at_ms) {
        state = key_state();
    }
    state.winner_certain = false;
    if (state.candidates.size() == max_candidates) {
        state.candidates.erase(state.candidates.begin());
    }
    state.candidates.push_back(to_stored_claim(claim, now_ms, window_ms));
    state.expires_at_ms = std::max(state.expires_at_ms, now_ms + window_ms);
    schedule_purge(purge_kind::key, id, state.expires_at_ms + purge_margin(window_ms));
    return make_verdict(claim, schema::claim_refused,
                        "the records read so far do not cover the claim window of this key");
}

/** \return whether the settlement is kept: it is the first of the winner, repeats the outcome of
 * the first, or withdraws an attempt that does not hold the key.
 */
bool claim_table::apply_settlement(const schema::order_settlement& settlement, std::uint64_t now_ms,
                                   std::uint64_t window_ms)
{
    const bool frees_key = settlement.outcome() == schema::order_not_run;
    if (frees_key) {
        withdraw_attempt(settlement.attempt_id(), now_ms, window_ms);
    }
    const auto found = keys_.find(order_key_id(settlement.tenant(), settlement.key()));
    if (found == keys_.end() || now_ms >= found->second.expires_at_ms) {
        return frees_key;
    }
    key_state& state = found->second;
    if (!state.winner_certain && !frees_key) {
        confirm_winner(state, settlement.attempt_id(), now_ms);
    }
    if (!state.winner_certain || state.winner.attempt_id != settlement.attempt_id()) {
        return frees_key;
    }
    if (state.settlement) {
        return state.settlement->outcome == settlement.outcome();
    }
    if (frees_key) {
        keys_.erase(found);
        return true;
    }
    state.settlement = stored_settlement{settlement.outcome(), settlement.http_status(),
                                         settlement.content_type(), settlement.confirmation()};
    return true;
}

/** Makes the attempt the winner if it is a candidate that has not expired. Only the winning attempt
 * is ever sent, so a settlement with any outcome but order_not_run confirms that it won.
 */
void claim_table::confirm_winner(key_state& state, const std::string& attempt, std::uint64_t now_ms)
{
    const auto is_attempt = [&attempt](const stored_claim& claim) {
        return claim.attempt_id == attempt;
    };
    const auto found = std::find_if(state.candidates.begin(), state.candidates.end(), is_attempt);
    if (found == state.candidates.end() || now_ms >= found->claimed_at_ms + found->window_ms) {
        return;
    }
    state.winner_certain = true;
    state.winner = *found;
    state.expires_at_ms = found->claimed_at_ms + found->window_ms;
    state.candidates.clear();
}

void claim_table::withdraw_attempt(const std::string& attempt, std::uint64_t now_ms,
                                   std::uint64_t window_ms)
{
    withdrawn_[attempt] = now_ms;
    schedule_purge(purge_kind::attempt, attempt, now_ms + window_ms + purge_margin(window_ms));
}

const key_state* claim_table::find_unexpired(const std::string& id, std::uint64_t now_ms) const
{
    const auto found = keys_.find(id);
    const bool unexpired = found != keys_.end() && now_ms < found->second.expires_at_ms;
    return unexpired ? &found->second : nullptr;
}

void claim_table::schedule_purge(purge_kind kind, std::string id, std::uint64_t due_ms)
{
    purges_.emplace(due_ms, purge_item{kind, std::move(id)});
}

void claim_table::purge_expired(std::uint64_t now_ms)
{
    while (!purges_.empty() && purges_.begin()->first < now_ms) {
        const purge_item item = std::move(purges_.begin()->second);
        const std::uint64_t due_ms = purges_.begin()->first;
        purges_.erase(purges_.begin());
        if (item.kind == purge_kind::attempt) {
            withdrawn_.erase(item.id);
        }
        else if (item.kind == purge_kind::record_id) {
            record_ids_.erase(item.id);
        }
        else if (const auto found = keys_.find(item.id);
                 found != keys_.end() && found->second.expires_at_ms < due_ms) {
            keys_.erase(found);
        }
    }
}

} // namespace chervildyke
