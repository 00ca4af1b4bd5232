/** \file
 * Tutorial 2: an idempotency key is claimed through different entries, and only one attempt is
 * sent.
 *
 * The claim at the lowest offset of the order stream wins. Its settlement stores the confirmation,
 * so that later calls with the key get the same answer from any entry.
 */
#include <iostream>

#include "orders/claim_table.h"

using namespace chervildyke;

namespace {

constexpr std::uint64_t claim_window_ms = 60'000;

schema::order_record make_record(const std::string& id)
{
    schema::order_record record;
    record.set_id(id);
    record.set_format(order_record_format);
    record.set_window_ms(claim_window_ms);
    return record;
}

schema::order_record make_claim(const std::string& attempt, const std::string& entry)
{
    schema::order_record record = make_record("record-" + attempt);
    schema::order_claim& claim = *record.add_claims();
    claim.set_tenant("joiners");
    claim.set_key("key-1");
    claim.set_attempt_id(attempt);
    claim.set_entry(entry);
    claim.set_body_digest("digest");
    claim.set_valid_ms(5'000);
    return record;
}

schema::order_record make_settlement(const std::string& attempt)
{
    schema::order_record record = make_record("settlement-" + attempt);
    schema::order_settlement& settlement = *record.add_settlements();
    settlement.set_tenant("joiners");
    settlement.set_key("key-1");
    settlement.set_attempt_id(attempt);
    settlement.set_outcome(schema::order_complete);
    settlement.set_confirmation("confirmation 42");
    return record;
}

} // namespace

int main()
{
    claim_table table;
    const auto first = table.apply(make_claim("a", "entry-1"), 1, 1'000);
    const auto second = table.apply(make_claim("b", "entry-2"), 2, 1'010);
    table.apply(make_settlement("a"), 3, 1'050);
    const auto repeated = table.apply(make_claim("c", "entry-3"), 4, 2'000);

    const bool one_won = first.claims[0].result() == schema::claim_won &&
                         second.claims[0].result() == schema::claim_held;
    const bool same_answer = repeated.claims[0].result() == schema::claim_settled &&
                             repeated.claims[0].settlement().confirmation() == "confirmation 42";
    std::cout << "attempt a " << (one_won ? "won, attempt b is held off" : "did not win alone")
              << "\nattempt c gets " << repeated.claims[0].settlement().confirmation() << "\n";
    return one_won && same_answer ? 0 : 1;
}
