/** \file
 * Defines helpers that make order records in tests.
 */
#pragma once

#include <string>

#include "orders/claim_table.h"

namespace chervildyke::test {

constexpr std::uint64_t window_ms = 600'000;
constexpr std::uint64_t valid_ms = 10'000;

inline schema::order_claim claim_of(const std::string& key, const std::string& attempt,
                                    const std::string& body = "body")
{
    schema::order_claim claim;
    claim.set_tenant("tenant");
    claim.set_key(key);
    claim.set_attempt_id(attempt);
    claim.set_body_digest(body);
    claim.set_valid_ms(valid_ms);
    return claim;
}

inline schema::order_settlement settlement_of(const std::string& key, const std::string& attempt,
                                              schema::order_outcome outcome,
                                              const std::string& confirmation = "")
{
    schema::order_settlement settlement;
    settlement.set_tenant("tenant");
    settlement.set_key(key);
    settlement.set_attempt_id(attempt);
    settlement.set_outcome(outcome);
    settlement.set_confirmation(confirmation);
    return settlement;
}

/** Applies records with one claim or settlement each and an id of their own. */
class record_feeder {
  public:
    explicit record_feeder(claim_table& table, log_offset first = 1) : table_(table), next_(first)
    {
    }

    schema::claim_verdict claim(const schema::order_claim& claim, std::uint64_t at)
    {
        schema::order_record record = empty_record();
        *record.add_claims() = claim;
        return table_.apply(record, next_++, at).claims.at(0);
    }

    bool settle(const schema::order_settlement& settlement, std::uint64_t at)
    {
        schema::order_record record = empty_record();
        *record.add_settlements() = settlement;
        return table_.apply(record, next_++, at).settlements.at(0);
    }

  private:
    schema::order_record empty_record() const
    {
        schema::order_record record;
        record.set_id("record-" + std::to_string(next_));
        record.set_format(order_record_format);
        record.set_window_ms(window_ms);
        return record;
    }

    claim_table& table_;
    log_offset next_;
};

} // namespace chervildyke::test
