/** \file
 * Defines order_ledger, what a reader of one order stream knows about the keys claimed on it.
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

/** How long a second copy of a record is recognised, by the log's clock. */
constexpr std::uint64_t duplicate_span_ms = 300'000;

/** How far a caller's clock may be from the log's before a key's age can't be judged: a fraction
 * of the window.
 */
constexpr std::uint64_t key_clock_divisor = 8;

/** The settlement that a key keeps. */
struct kept_settlement {
    schema::order_outcome outcome = schema::order_outcome_none;
    std::uint32_t http_status = 0;
    std::string content_type;
    std::string confirmation;

    bool operator==(const kept_settlement&) const = default;
};

/** One claim that stands in the stream. */
struct kept_claim {
    std::string attempt_id;
    std::string body_digest;
    std::uint64_t claimed_at_ms = 0; // By the log's clock, as all times here.
    std::uint64_t valid_ms = 0;
    std::uint64_t window_ms = 0;

    bool operator==(const kept_claim&) const = default;
};

/** What is known of one key. When the winner is not certain, some claim before the retained part
 * of the stream may have won, and candidates holds the claims that may have.
 */
struct key_state {
    bool certain = true;
    kept_claim winner;
    std::optional<kept_settlement> settlement;
    std::vector<kept_claim> candidates;
    std::uint64_t forgotten_at_ms = 0; // From then on a claim of the key is judged as its first.

    bool operator==(const key_state&) const = default;
};

/** How one record was judged. */
struct record_verdicts {
    bool duplicate = false;
    std::vector<schema::claim_verdict> claims;
    std::vector<bool> settlements; // Whether each settlement was kept.
};

/** The state of one order stream: a value that depends only on the records applied, in offset
 * order, and on the log's times in them, so that all readers reach the same verdicts. A reader that
 * lacks the start of a stream refuses what it can't judge; it never says that a claim won which
 * a reader with the whole stream would not.
 */
class order_ledger {
  public:
    /** Judges the claims and settlements of one record.
     * \param record the record; its place is (offset, index in the record).
     * \param offset where it stands.
     * \param appended_at_ms the log's time of it.
     */
    record_verdicts apply(const schema::order_record& record, log_offset offset,
                          std::uint64_t appended_at_ms);

    /** Says that records before the next one applied can't be read any more.
     * \param live_offset an offset that was not yet taken when the log said so.
     * \param retention_ms how long the log keeps records; zero: unknown.
     */
    void lose_history(log_offset live_offset, std::uint64_t retention_ms);

    /** \return the verdict of a claim when no append can change it: the key keeps a settlement. */
    std::optional<schema::claim_verdict> settled_verdict(const schema::order_claim& claim) const;

    /** \return whether the key's winner can't be told, as of the last record. */
    bool is_uncertain(const std::string& tenant, const std::string& key) const;

    /** \return whether the settlement, once it stands in the stream, is certain to be kept. */
    bool is_open_for(const schema::order_settlement& settlement) const;

    /** The log's time of the last record applied. */
    std::uint64_t last_appended_at_ms() const { return last_appended_at_ms_; }

    std::size_t keys() const { return keys_.size(); }

    bool operator==(const order_ledger&) const = default;

  private:
    enum class purge_kind { key, attempt, record_id };
    struct purge_item {
        purge_kind kind = purge_kind::key;
        std::string id;
        bool operator==(const purge_item&) const = default;
    };
    struct lost_part {
        log_offset live_offset = 0;
        std::uint64_t retention_ms = 0;
        bool operator==(const lost_part&) const = default;
    };

    bool is_duplicate(const std::string& id, std::uint64_t at);
    void find_history_start(log_offset offset, std::uint64_t at);
    schema::claim_verdict judge(const schema::order_claim& claim, std::uint64_t at,
                                std::uint64_t window);
    schema::claim_verdict doubt(const schema::order_claim& claim, std::uint64_t at,
                                std::uint64_t window);
    bool settle(const schema::order_settlement& settlement, std::uint64_t at, std::uint64_t window);
    void prove(key_state& state, const std::string& attempt, std::uint64_t at);
    void withdraw(const std::string& attempt, std::uint64_t at, std::uint64_t window);
    const key_state* find_live(const std::string& id, std::uint64_t at) const;
    void schedule(purge_kind kind, std::string id, std::uint64_t at);
    void purge(std::uint64_t now);

    std::unordered_map<std::string, key_state> keys_;
    std::unordered_map<std::string, std::uint64_t> withdrawn_; // Attempts that are never sent.
    std::unordered_map<std::string, std::uint64_t> record_ids_;
    std::multimap<std::uint64_t, purge_item> purges_;
    std::optional<lost_part> lost_;
    bool history_starts_at_next_ = false;
    std::uint64_t history_from_ms_ = 0; // Zero: the stream was read from its first record.
    std::uint64_t last_appended_at_ms_ = 0;
    std::uint64_t latest_ms_ = 0;
};

/** \return the one text that stands for a tenant's key. */
std::string order_key_id(const std::string& tenant, const std::string& key);

/** The stream of a key.
 * \param streams the number of order streams, above zero.
 */
std::string order_stream_of(const std::string& tenant, const std::string& key,
                            std::uint32_t streams);

/** \return a verdict without a settlement. */
schema::claim_verdict make_verdict(const schema::order_claim& claim, schema::claim_result result,
                                   std::string reason);

} // namespace chervildyke
