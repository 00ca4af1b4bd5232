/** \file
 * Replays a recorded order stream against the verdicts stated beside its records.
 */
#include <doctest/doctest.h>

#include "orders/order_ledger.h"
#include "support/trace_file.h"

using namespace chervildyke;

TEST_CASE("the order stream of racing entries leads to the stated verdicts")
{
    order_ledger ledger;
    log_offset offset = 0;
    for (const auto& line : test::read_trace_file(CHERVIL_TRACES "/order-races.jsonl")) {
        schema::order_record record;
        test::read_message(line.at("record"), record);
        const auto verdicts = ledger.apply(record, ++offset, line.at("at_ms").get<std::uint64_t>());
        INFO(line.at("says").get<std::string>());
        const auto stated_claims = line.at("claims").get<std::vector<std::string>>();
        std::vector<std::string> claims;
        for (const schema::claim_verdict& claim : verdicts.claims) {
            claims.push_back(schema::claim_result_Name(claim.result()));
        }
        if (!verdicts.duplicate) {
            CHECK(claims == stated_claims);
            CHECK(verdicts.settlements == line.at("settlements").get<std::vector<bool>>());
        }
        CHECK(verdicts.duplicate == (stated_claims.empty() && record.claims_size() > 0));
    }
}
