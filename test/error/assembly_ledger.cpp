/** \file
 * Tests that replica_ledger stays consistent whatever records the log contains.
 */
#include <doctest/doctest.h>

#include "assembly/replica_ledger.h"

using namespace chervildyke;

namespace {

schema::shared_replica replica_of(const std::vector<std::string>& vms)
{
    schema::shared_replica replica;
    replica.set_service("pool");
    replica.set_phase(schema::shared_phase_forming);
    for (const std::string& vm : vms) {
        replica.add_members()->set_id(vm);
    }
    return replica;
}

keyed_records one(std::uint64_t offset, keyed_record record)
{
    keyed_records records;
    record.offset = offset;
    records.records = {std::move(record)};
    records.next_offset = offset + 1;
    return records;
}

} // namespace

TEST_CASE("a record that takes a VM of another replica is rejected")
{
    replica_ledger ledger;
    ledger.apply(one(0, to_record("r1", replica_of({"a", "b"}))));
    ledger.apply(one(1, to_record("r2", replica_of({"b", "c"}))));
    CHECK(ledger.replicas().size() == 1);
    CHECK(ledger.holder_of("b") == "r1");
    CHECK_FALSE(ledger.holder_of("c").has_value());
    CHECK((ledger.end() == log_position{0, 2}));
}

TEST_CASE("a malformed record changes nothing")
{
    replica_ledger ledger;
    keyed_record foreign;
    foreign.key = "r1";
    foreign.value = "not a replica";
    ledger.apply(one(0, foreign));
    CHECK(ledger.replicas().empty());
}

TEST_CASE("a dropped replica frees its VMs")
{
    replica_ledger ledger;
    ledger.apply(one(0, to_record("r1", replica_of({"a", "b"}))));
    keyed_record dropped;
    dropped.key = "r1";
    ledger.apply(one(1, dropped));
    CHECK_FALSE(ledger.holder_of("a").has_value());
}
