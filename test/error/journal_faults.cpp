/** \file
 * Tests journal nodes while the log is down, overloaded, trimmed or has lost data, when its replies
 * are lost, and when nodes can't reach the log or each other.
 */
#include <doctest/doctest.h>

#include "support/journal_group.h"
#include "support/journal_records.h"

using namespace chervildyke;

namespace {

schema::journal_record first_configuration()
{
    return configuration_record("", 0, small_configuration({"joiners"}, 4, 2));
}

std::string vm_name(int number)
{
    return "vm-" + std::to_string(number);
}

schema::journal_record form(std::uint64_t version, int first_vm)
{
    return formation_record("", "joiners", version, {vm_name(first_vm), vm_name(first_vm + 1)});
}

/** Proposes a record and advances the clock until the result is available. */
journal_result<proposal_outcome> propose_and_wait(journal_group& group, std::size_t index,
                                                  const schema::journal_record& record)
{
    const auto outcome = group.propose(index, record, 8s);
    group.advance(10s);
    REQUIRE(outcome->has_value());
    return **outcome;
}

} // namespace

TEST_CASE("a record whose reply was lost is applied once and its outcome is returned")
{
    journal_group group;
    group.start();
    group.start();
    group.advance(1s);
    group.log().lose_replies(1);
    const auto result = propose_and_wait(group, 0, first_configuration());
    REQUIRE(result);
    CHECK(result->outcome.accepted());
    CHECK(group.log().appends() == 1);
    CHECK(group.node(1).state()->configuration_version() == 1);
    group.log().overload(2);
    CHECK(propose_and_wait(group, 1, form(1, 1))->outcome.accepted());
}

TEST_CASE("of two racing proposals one is accepted, and all nodes agree on which")
{
    journal_group group;
    group.start();
    group.start();
    group.advance(1s);
    const auto left = group.propose(0, first_configuration(), 5s);
    const auto right = group.propose(1, first_configuration(), 5s);
    group.advance(1s);
    REQUIRE((left->has_value() && right->has_value()));
    CHECK((**left)->outcome.accepted() != (**right)->outcome.accepted());
    CHECK(*group.node(0).state() == *group.node(1).state());
}

TEST_CASE("during an outage a proposal fails before its timeout, and a node that is not fresh "
          "proposes nothing")
{
    journal_group group;
    group.start();
    group.advance(1s);
    group.log().set_outage(true);
    group.advance(1s);
    const auto early = propose_and_wait(group, 0, first_configuration());
    CHECK(early.failure().code == journal_error::not_appended);
    group.advance(10s);
    CHECK_FALSE(group.node(0).fresh());
    CHECK(group.node(0).ready());
    const auto late = propose_and_wait(group, 0, first_configuration());
    CHECK(late.failure().code == journal_error::not_ready);
    group.log().set_outage(false);
    group.advance(5s);
    const auto after = propose_and_wait(group, 0, first_configuration());
    REQUIRE_MESSAGE(after.has_value(), after.failure().reason);
    CHECK(after->outcome.accepted());
    CHECK(group.log().appends() == 2); // The record, and the checkpoint after the outage.
}

TEST_CASE("a node that can't reach the log catches up through a member within seconds")
{
    journal_group group;
    group.start();
    group.start();
    group.advance(1s);
    group.log().cut_off("n1", true);
    REQUIRE(propose_and_wait(group, 0, first_configuration()));
    CHECK(group.node(1).state()->configuration_version() == 1);
    CHECK(group.node(1).fresh());
    CHECK_FALSE(group.node(1).log_reachable());
}

TEST_CASE(
    "an isolated node keeps its state and is not fresh, and its offset never decreases while it "
    "catches up")
{
    journal_group group;
    group.start();
    group.start();
    group.advance(1s);
    REQUIRE(propose_and_wait(group, 0, first_configuration()));
    log_offset seen = 0;
    bool went_back = false;
    group.node(1).subscribe([&](const std::shared_ptr<const fleet_state>& state) {
        went_back = went_back || state->offset() < seen;
        seen = state->offset();
    });
    group.log().cut_off("n1", true);
    group.isolate(1, true);
    REQUIRE(propose_and_wait(group, 0, form(1, 1)));
    group.advance(10s);
    CHECK(group.node(1).state()->configuration_version() == 1);
    CHECK(group.node(1).state()->replicas().empty());
    CHECK_FALSE(group.node(1).fresh());
    group.isolate(1, false);
    group.advance(2s);
    CHECK(*group.node(1).state() == *group.node(0).state());
    group.log().cut_off("n1", false);
    REQUIRE(propose_and_wait(group, 1, form(1, 3)));
    CHECK(*group.node(1).state() == *group.node(0).state());
    CHECK_FALSE(went_back);
}

TEST_CASE(
    "checkpoints preserve the state beyond the log's retention, and a new node starts from one")
{
    journal_group group(60s);
    group.start();
    group.start();
    group.advance(1s);
    REQUIRE(propose_and_wait(group, 0, first_configuration()));
    REQUIRE(propose_and_wait(group, 1, form(1, 1)));
    group.advance(5min, 50ms);
    CHECK(group.log().records("journal").front().offset > 2);
    const std::size_t late = group.start();
    group.isolate(late, true);
    group.advance(2s);
    CHECK(group.node(late).ready());
    CHECK(*group.node(late).state() == *group.node(0).state());
    // One writer appends a checkpoint every quarter of the retention.
    CHECK(group.log().appends() >= 2 + 300 / 15 - 2);
    CHECK(group.log().appends() <= 2 + 300 / 15 + 2);
}

TEST_CASE("an outage longer than the retention loses nothing, because a checkpoint of the state in "
          "memory is appended at once")
{
    journal_group group(60s);
    group.start();
    group.start();
    group.advance(1s);
    REQUIRE(propose_and_wait(group, 0, first_configuration()));
    REQUIRE(propose_and_wait(group, 0, form(1, 1)));
    group.log().set_outage(true);
    group.advance(5min, 50ms);
    REQUIRE(group.log().records("journal").empty());
    const std::size_t late = group.start();
    group.isolate(late, true);
    group.advance(1s);
    CHECK_FALSE(group.node(late).ready());
    group.log().set_outage(false);
    group.advance(6s);
    CHECK(group.node(late).ready());
    CHECK(group.node(late).state()->configuration_version() == 1);
    CHECK(group.node(late).state()->replicas().size() == 1);
}

TEST_CASE(
    "a node that was isolated for longer than the retention catches up, and a new node starts "
    "from a member while the log is down")
{
    journal_group group(60s);
    group.start();
    group.start();
    group.advance(1s);
    group.log().cut_off("n1", true);
    group.isolate(1, true);
    REQUIRE(propose_and_wait(group, 0, first_configuration()));
    group.advance(5min, 50ms);
    REQUIRE(propose_and_wait(group, 0, form(1, 1)));
    group.log().cut_off("n1", false);
    group.advance(5s);
    CHECK(*group.node(1).state() == *group.node(0).state());
    group.log().set_outage(true);
    const std::size_t late = group.start();
    group.advance(2s);
    CHECK(group.node(late).ready());
    CHECK(group.node(late).state()->replicas().size() == 1);
}

TEST_CASE("without the log and members a new node is not ready until it reads the empty log")
{
    journal_group group;
    group.log().set_outage(true);
    group.start();
    group.advance(30s);
    CHECK_FALSE(group.node(0).ready());
    CHECK(group.node(0).serve_snapshot().format() == 0);
    group.log().set_outage(false);
    group.advance(5s);
    CHECK(group.node(0).ready());
}

TEST_CASE("a node applies nothing more from a log that has lost or replaced applied records")
{
    journal_group group;
    group.start();
    group.start();
    group.advance(1s);
    REQUIRE(propose_and_wait(group, 0, first_configuration()));
    REQUIRE(propose_and_wait(group, 0, form(1, 1)));
    group.log().set_outage(true);
    group.advance(1s);
    group.log().lose_records("journal", 2);
    SUBCASE("the log is shorter") {}
    SUBCASE("the offsets were reused by other records")
    {
        group.log().put("journal", form(1, 3).SerializeAsString());
        group.log().put("journal", form(1, 5).SerializeAsString());
    }
    group.log().set_outage(false);
    group.advance(10s);
    CHECK(group.node(0).diverged());
    CHECK_FALSE(group.node(0).fresh());
    CHECK(group.node(0).highest_offset() == 2);
    CHECK(group.node(0).state()->holder_of("vm-1").has_value());
}

TEST_CASE("every node skips an unreadable record")
{
    journal_group group;
    group.start();
    group.start();
    group.advance(1s);
    group.log().put("journal", "\xff\xff no record \x01");
    REQUIRE(propose_and_wait(group, 0, first_configuration()));
    CHECK(group.node(1).state()->configuration_version() == 2);
    CHECK(*group.node(0).state() == *group.node(1).state());
}

TEST_CASE("when a record was trimmed before any node read it, every node keeps its state, is not "
          "fresh and proposes nothing")
{
    journal_group group(60s);
    group.start();
    group.start();
    group.advance(1s);
    REQUIRE(propose_and_wait(group, 0, first_configuration()));
    group.log().set_outage(true);
    group.advance(1s);
    group.log().put("journal", form(1, 1).SerializeAsString());
    group.advance(5min, 50ms);
    group.log().set_outage(false);
    group.advance(30s);
    for (std::size_t i = 0; i < 2; ++i) {
        CHECK(group.node(i).log_reachable());
        CHECK_FALSE(group.node(i).fresh());
        CHECK(group.node(i).state()->configuration_version() == 1);
        CHECK(propose_and_wait(group, i, form(1, 3)).failure().code == journal_error::not_ready);
    }
}
