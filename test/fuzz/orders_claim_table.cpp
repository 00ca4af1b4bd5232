/** \file
 * Fuzzes claims and settlements against an oracle, with readers that start late. No key may run
 * twice within its window, and a claim that wins for any reader wins for the reader of the whole
 * stream.
 */
#include <cstdlib>

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "support/order_records.h"

using namespace chervildyke;
using namespace chervildyke::test;

namespace {

constexpr std::size_t late_readers = 4;

/** The attempt that holds a key according to the oracle. */
struct held_key {
    std::uint64_t attempt = 0;
    std::uint64_t claimed_at = 0;
    schema::order_outcome outcome = schema::order_outcome_none;
};

struct oracle_model {
    std::uint64_t now = 1'000'000;
    std::uint64_t next_attempt = 1;
    std::map<std::string, held_key> keys;
    std::map<std::uint64_t, std::string> unsettled; // Winning attempts and their keys.

    bool is_free(const std::string& key, std::uint64_t at) const
    {
        const auto found = keys.find(key);
        return found == keys.end() || at >= found->second.claimed_at + window_ms;
    }
};

std::string attempt_name(std::uint64_t number)
{
    return "a" + std::to_string(number);
}

struct placed_order_record {
    schema::order_record record;
    std::uint64_t at = 0;
};

struct stream_under_test {
    claim_table full;
    std::vector<claim_table> late;
    std::vector<placed_order_record> placed;

    std::vector<record_verdicts> apply(schema::order_record record, std::uint64_t at)
    {
        placed.push_back({std::move(record), at});
        schema::order_record& last = placed.back().record;
        last.set_id("record-" + std::to_string(placed.size()));
        last.set_format(order_record_format);
        last.set_window_ms(window_ms);
        std::vector<record_verdicts> verdicts{full.apply(last, placed.size(), at)};
        for (claim_table& reader : late) {
            verdicts.push_back(reader.apply(last, placed.size(), at));
        }
        return verdicts;
    }

    /** Adds a reader of the records from an index on. */
    void start_reader(std::size_t first, std::uint64_t retention)
    {
        claim_table reader;
        if (first > 0) {
            reader.mark_history_lost(placed.size() + 1, retention);
        }
        for (std::size_t i = first; i < placed.size(); ++i) {
            reader.apply(placed[i].record, i + 1, placed[i].at);
        }
        if (late.size() == late_readers) {
            late.erase(late.begin());
        }
        late.push_back(std::move(reader));
    }
};

using stream_command = rc::state::Command<oracle_model, stream_under_test>;

struct claim_key : stream_command {
    std::string key = "k" + std::to_string(*rc::gen::inRange(0, 3));
    std::uint64_t pause = *rc::gen::element<std::uint64_t>(1, valid_ms, window_ms / 3, window_ms);

    void apply(oracle_model& model) const override
    {
        model.now += pause;
        if (model.is_free(key, model.now)) {
            model.keys[key] = {model.next_attempt, model.now, schema::order_outcome_none};
            model.unsettled[model.next_attempt] = key;
        }
        ++model.next_attempt;
    }

    void run(const oracle_model& model, stream_under_test& stream) const override
    {
        const std::uint64_t at = model.now + pause;
        const bool is_free = model.is_free(key, at);
        schema::order_record record;
        *record.add_claims() = claim_of(key, attempt_name(model.next_attempt));
        const auto verdicts = stream.apply(record, at);
        RC_ASSERT((verdicts[0].claims.at(0).result() == schema::claim_won) == is_free);
        for (const record_verdicts& reader : verdicts) {
            const auto& verdict = reader.claims.at(0);
            RC_ASSERT(verdict.result() != schema::claim_won || is_free);
            if (verdict.settlement().outcome() == schema::order_complete) {
                RC_ASSERT(!is_free);
                const held_key& holder = model.keys.at(key);
                RC_ASSERT(holder.outcome == schema::order_complete);
                RC_ASSERT(verdict.settlement().confirmation() == attempt_name(holder.attempt));
            }
        }
    }
    void show(std::ostream& out) const override { out << "claim " << key << " after " << pause; }
};

/** Settles a winning attempt, once each. */
struct settle_attempt : stream_command {
    std::uint64_t pick = *rc::gen::inRange<std::uint64_t>(0, 8);
    schema::order_outcome outcome =
        *rc::gen::element(schema::order_complete, schema::order_not_run, schema::order_unknown);

    std::uint64_t attempt(const oracle_model& model) const
    {
        const auto count = static_cast<std::ptrdiff_t>(pick % model.unsettled.size());
        return std::next(model.unsettled.begin(), count)->first;
    }
    void checkPreconditions(const oracle_model& model) const override
    {
        RC_PRE(!model.unsettled.empty());
    }
    void apply(oracle_model& model) const override
    {
        const std::uint64_t number = attempt(model);
        const std::string key = model.unsettled[number];
        model.unsettled.erase(number);
        if (model.is_free(key, model.now) || model.keys[key].attempt != number) {
            return;
        }
        if (outcome == schema::order_not_run) {
            model.keys.erase(key);
        }
        else {
            model.keys[key].outcome = outcome;
        }
    }
    void run(const oracle_model& model, stream_under_test& stream) const override
    {
        const std::uint64_t number = attempt(model);
        schema::order_record record;
        *record.add_settlements() = settlement_of(model.unsettled.at(number), attempt_name(number),
                                                  outcome, attempt_name(number));
        stream.apply(record, model.now);
    }
    void show(std::ostream& out) const override { out << "settle " << pick << " " << outcome; }
};

/** Adds a reader of the records that the log still has. With a retention of zero the log has a
 * fraction of the records and does not report its retention.
 */
struct start_reader : stream_command {
    std::uint64_t retention = *rc::gen::element<std::uint64_t>(0, window_ms, 2 * window_ms);
    std::size_t share = *rc::gen::inRange<std::size_t>(0, 4);

    void run(const oracle_model& model, stream_under_test& stream) const override
    {
        std::size_t first = stream.placed.size() * share / 4;
        while (retention > 0 && first < stream.placed.size() &&
               stream.placed[first].at + retention < model.now) {
            ++first;
        }
        while (retention > 0 && first > 0 && stream.placed[first - 1].at + retention >= model.now) {
            --first;
        }
        stream.start_reader(first, retention);
    }
    void show(std::ostream& out) const override
    {
        out << "a reader starts " << retention << " " << share;
    }
};

} // namespace

TEST_CASE("no reader accepts two claims of a key within its window")
{
    setenv("RC_PARAMS", "seed=20261204 max_success=400 max_size=120", 0);
    CHECK(rc::check([] {
        oracle_model model;
        stream_under_test stream;
        rc::state::check(model, stream,
                         rc::state::gen::execOneOfWithArgs<claim_key, claim_key, settle_attempt,
                                                           start_reader>());
    }));
}
