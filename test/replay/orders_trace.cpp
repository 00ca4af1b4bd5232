/** \file
 * Replays a recorded order stream and compares the verdicts with those in the trace.
 */
#include <doctest/doctest.h>

#include "orders/claim_table.h"
#include "support/trace_file.h"

using namespace chervildyke;

TEST_CASE("a recorded order stream of concurrent entries gives the expected verdicts")
{
    claim_table table;
    log_offset offset = 0;
    for (const auto& line : test::read_trace_file(CHERVIL_TRACES "/order-races.jsonl")) {
        schema::order_record record;
        test::read_message(line.at("record"), record);
        const auto verdicts = table.apply(record, ++offset, line.at("at_ms").get<std::uint64_t>());
        INFO(line.at("says").get<std::string>());
        const auto expected_claims = line.at("claims").get<std::vector<std::string>>();
        std::vector<std::string> claims;
        for (const schema::claim_verdict& claim : verdicts.claims) {
            claims.push_back(schema::claim_result_Name(claim.result()));
        }
        if (!verdicts.duplicate) {
            CHECK(claims == expected_claims);
            CHECK(verdicts.settlements == line.at("settlements").get<std::vector<bool>>());
        }
        CHECK(verdicts.duplicate == (expected_claims.empty() && record.claims_size() > 0));
    }
}
