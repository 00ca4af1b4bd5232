/** \file
 * Defines claim_table, the keys claimed on one order stream with their winners and settlements.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "control_api.pb.h"
#include "external/log_client.h"
#include "orders.pb.h"

namespace chervildyke {

/** The format of the order records that this build writes and reads. */
constexpr std::uint32_t order_record_format = 1;

/** How long a repeated record id is recognised as a duplicate, by the log's clock. */
constexpr std::uint64_t deduplication_window_ms = 300'000;

/** The claim window divided by this is the tolerated difference between a caller's clock and the
 * log's when the age of a key is checked.
 */
constexpr std::uint64_t clock_skew_divisor = 8;

/** The settlement of a key. */
struct stored_settlement {
    schema::order_outcome outcome = schema::order_outcome_none;
    std::uint32_t http_status = 0;
    std::string content_type;
    std::string confirmation;

    bool operator==(const stored_settlement&) const = default;
};

/** A claim that was read from the stream. */
struct stored_claim {
    std::string attempt_id;
    std::string body_digest;
    std::uint64_t claimed_at_ms = 0; // By the log's clock, like all times here.
    std::uint64_t valid_ms = 0;      // How long its entry may send the attempt.
    std::uint64_t window_ms = 0;     // The claim window: how long the key is remembered.

    bool operator==(const stored_claim&) const = default;
};

/** The state of one key. When the winner is not certain, a claim before the readable part of the
 * stream may have won; candidates then holds the later claims that may have won instead.
 */
struct key_state {
    bool winner_certain = true;
    stored_claim winner;
    std::optional<stored_settlement> settlement;
    std::vector<stored_claim> candidates;
    std::uint64_t expires_at_ms = 0; // From then on, a claim of the key counts as its first.

    bool operator==(const key_state&) const = default;
};

/** The verdicts on the claims and settlements of one record. */
struct record_verdicts {
    bool duplicate = false; // The record id was applied before; there are no verdicts.
    std::vector<schema::claim_verdict> claims;
    std::vector<bool> settlements; // Whether each settlement was kept.
};

/** The state machine of one order stream. Its state depends only on the records, applied in offset
 * order, and on the log's times of them, so all readers reach the same verdicts. A reader that
 * lacks the start of the stream refuses the claims that it can't decide. It never declares a claim
 * the winner that is not the winner for a reader of the whole stream.
 */
class claim_table {
  public:
    /** Applies the settlements of one record, then its claims.
     * \param record the record; its claims are ordered by (offset, index in the record).
     * \param offset its offset in the stream.
     * \param appended_at_ms when it was appended, by the log's clock.
     * \return the verdicts; none for a duplicate or a record of a newer format.
     */
    record_verdicts apply(const schema::order_record& record, log_offset offset,
                          std::uint64_t appended_at_ms);

    /** Records that the log has dropped records before the next one that is applied.
     * \param next_offset the offset of the next append when the log reported the loss; records
     * from there on were appended after the report.
     * \param retention_ms how long the log keeps records; zero: unknown.
     */
    void mark_history_lost(log_offset next_offset, std::uint64_t retention_ms);

    /** \return the verdict on a claim of a settled key, which no append can change; else none. */
    std::optional<schema::claim_verdict> settled_verdict(const schema::order_claim& claim) const;

    /** \return whether the key has claims but no certain winner, as of the last record. */
    bool is_uncertain(const std::string& tenant, const std::string& key) const;

    /** \return whether the settlement is certain to be kept once it is appended to the stream. */
    bool will_keep(const schema::order_settlement& settlement) const;

    /** \return when the last record applied was appended, by the log's clock. */
    std::uint64_t last_appended_at_ms() const { return last_appended_at_ms_; }

    std::size_t key_count() const { return keys_.size(); }

    bool operator==(const claim_table&) const = default;

  private:
    enum class purge_kind { key, attempt, record_id };
    struct purge_item {
        purge_kind kind = purge_kind::key;
        std::string id;
        bool operator==(const purge_item&) const = default;
    };
    struct history_gap {
        log_offset next_offset = 0; // As in mark_history_lost().
        std::uint64_t retention_ms = 0;
        bool operator==(const history_gap&) const = default;
    };

    bool is_duplicate(const std::string& id, std::uint64_t now_ms);
    void update_history_start(log_offset offset, std::uint64_t now_ms);
    schema::claim_verdict evaluate_claim(const schema::order_claim& claim, std::uint64_t now_ms,
                                         std::uint64_t window_ms);
    schema::claim_verdict add_candidate(const schema::order_claim& claim, std::uint64_t now_ms,
                                        std::uint64_t window_ms);
    bool apply_settlement(const schema::order_settlement& settlement, std::uint64_t now_ms,
                          std::uint64_t window_ms);
    void confirm_winner(key_state& state, const std::string& attempt, std::uint64_t now_ms);
    void withdraw_attempt(const std::string& attempt, std::uint64_t now_ms,
                          std::uint64_t window_ms);
    const key_state* find_unexpired(const std::string& id, std::uint64_t now_ms) const;
    void schedule_purge(purge_kind kind, std::string id, std::uint64_t due_ms);
    void purge_expired(std::uint64_t now_ms);

    std::unordered_map<std::string, key_state> keys_;
    /** Attempts settled as not run, which are never sent, with the log's time of settlement. */
    std::unordered_map<std::string, std::uint64_t> withdrawn_;
    std::unordered_map<std::string, std::uint64_t> record_ids_; // With the log's time, in ms.
    std::multimap<std::uint64_t, purge_item> purges_;           // By due time, in ms.
    std::optional<history_gap> history_gap_;
    bool history_starts_at_next_record_ = false;
    std::uint64_t history_start_ms_ = 0; // Zero: the stream was read from its first record.
    std::uint64_t last_appended_at_ms_ = 0;
    std::uint64_t max_appended_at_ms_ = 0;
};

/** \return a text that identifies a tenant's key, different for each pair. */
std::string order_key_id(const std::string& tenant, const std::string& key);

/** \return the name of the order stream that holds a key.
 * \param streams the number of order streams, above zero.
 */
std::string order_stream_of(const std::string& tenant, const std::string& key,
                            std::uint32_t streams);

/** \return a verdict on the claim, without a settlement. */
schema::claim_verdict make_verdict(const schema::order_claim& claim, schema::claim_result result,
                                   std::string reason);

} // namespace chervildyke
