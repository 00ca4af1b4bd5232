/** \file
 * Tests what journal nodes do when the log is out, slow, trimmed or loses data, when replies are
 * lost, and when they are cut off.
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

/** Proposes and lets time pass until the result is there. */
journal_result<proposal_verdict> settle(journal_group& group, std::size_t index,
                                        const schema::journal_record& record)
{
    const auto outcome = group.propose(index, record, 8s);
    group.advance(10s);
    REQUIRE(outcome->has_value());
    return **outcome;
}

} // namespace

TEST_CASE("a record whose reply was lost takes effect once and its verdict is found")
{
    journal_group group;
    group.start();
    group.start();
    group.advance(1s);
    group.log().lose_replies(1);
    const auto result = settle(group, 0, first_configuration());
    REQUIRE(result);
    CHECK(result->v.accepted());
    CHECK(group.log().appends() == 1);
    CHECK(group.node(1).state()->configuration_version() == 1);
    group.log().overload(2);
    CHECK(settle(group, 1, form(1, 1))->v.accepted());
}

TEST_CASE("of racing proposals one is accepted and every node knows which")
{
    journal_group group;
    group.start();
    group.start();
    group.advance(1s);
    const auto left = group.propose(0, first_configuration(), 5s);
    const auto right = group.propose(1, first_configuration(), 5s);
    group.advance(1s);
    REQUIRE((left->has_value() && right->has_value()));
    CHECK((**left)->v.accepted() != (**right)->v.accepted());
    CHECK(*group.node(0).state() == *group.node(1).state());
}

TEST_CASE("nothing is proposed in an outage, and an append that found no log is given up in time")
{
    journal_group group;
    group.start();
    group.advance(1s);
    group.log().set_outage(true);
    group.advance(1s);
    const auto early = settle(group, 0, first_configuration());
    CHECK(early.last_reason().code == journal_error::not_appended);
    group.advance(10s);
    CHECK_FALSE(group.node(0).fresh());
    CHECK(group.node(0).ready());
    const auto late = settle(group, 0, first_configuration());
    CHECK(late.last_reason().code == journal_error::not_ready);
    group.log().set_outage(false);
    group.advance(5s);
    const auto after = settle(group, 0, first_configuration());
    REQUIRE_MESSAGE(after.has_value(), after.last_reason().reason);
    CHECK(after->v.accepted());
    CHECK(group.log().appends() == 2); // The change, and the checkpoint after the outage.
}

TEST_CASE("a node cut off from the log follows through a member within seconds")
{
    journal_group group;
    group.start();
    group.start();
    group.advance(1s);
    group.log().cut_off("n1", true);
    REQUIRE(settle(group, 0, first_configuration()));
    CHECK(group.node(1).state()->configuration_version() == 1);
    CHECK(group.node(1).fresh());
    CHECK_FALSE(group.node(1).log_reachable());
}

TEST_CASE("a node cut off from everything keeps its state, says so, and catches up without going "
          "back")
{
    journal_group group;
    group.start();
    group.start();
    group.advance(1s);
    REQUIRE(settle(group, 0, first_configuration()));
    log_offset seen = 0;
    bool went_back = false;
    group.node(1).subscribe([&](const std::shared_ptr<const fleet_state>& state) {
        went_back = went_back || state->offset() < seen;
        seen = state->offset();
    });
    group.log().cut_off("n1", true);
    group.isolate(1, true);
    REQUIRE(settle(group, 0, form(1, 1)));
    group.advance(10s);
    CHECK(group.node(1).state()->configuration_version() == 1);
    CHECK(group.node(1).state()->replicas().empty());
    CHECK_FALSE(group.node(1).fresh());
    group.isolate(1, false);
    group.advance(2s);
    CHECK(*group.node(1).state() == *group.node(0).state());
    group.log().cut_off("n1", false);
    REQUIRE(settle(group, 1, form(1, 3)));
    CHECK(*group.node(1).state() == *group.node(0).state());
    CHECK_FALSE(went_back);
}

TEST_CASE("records outlive the log's retention through checkpoints, and a late reader starts there")
{
    journal_group group(60s);
    group.start();
    group.start();
    group.advance(1s);
    REQUIRE(settle(group, 0, first_configuration()));
    REQUIRE(settle(group, 1, form(1, 1)));
    group.advance(5min, 50ms);
    CHECK(group.log().records("journal").front().offset > 2);
    const std::size_t late = group.start();
    group.isolate(late, true);
    group.advance(2s);
    CHECK(group.node(late).ready());
    CHECK(*group.node(late).state() == *group.node(0).state());
    // A checkpoint each quarter of the retention, by one writer.
    CHECK(group.log().appends() >= 2 + 300 / 15 - 2);
    CHECK(group.log().appends() <= 2 + 300 / 15 + 2);
}

TEST_CASE("an outage longer than the retention loses nothing: the state in memory is appended "
          "again at once")
{
    journal_group group(60s);
    group.start();
    group.start();
    group.advance(1s);
    REQUIRE(settle(group, 0, first_configuration()));
    REQUIRE(settle(group, 0, form(1, 1)));
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

TEST_CASE("a node away for longer than the retention bridges the gap, and a new node starts from a "
          "member while the log is out")
{
    journal_group group(60s);
    group.start();
    group.start();
    group.advance(1s);
    group.log().cut_off("n1", true);
    group.isolate(1, true);
    REQUIRE(settle(group, 0, first_configuration()));
    group.advance(5min, 50ms);
    REQUIRE(settle(group, 0, form(1, 1)));
    group.log().cut_off("n1", false);
    group.advance(5s);
    CHECK(*group.node(1).state() == *group.node(0).state());
    group.log().set_outage(true);
    const std::size_t late = group.start();
    group.advance(2s);
    CHECK(group.node(late).ready());
    CHECK(group.node(late).state()->replicas().size() == 1);
}

TEST_CASE("without log and members a new node is not ready, and an empty log makes it ready")
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

TEST_CASE("a log that lost or replaced records is refused")
{
    journal_group group;
    group.start();
    group.start();
    group.advance(1s);
    REQUIRE(settle(group, 0, first_configuration()));
    REQUIRE(settle(group, 0, form(1, 1)));
    group.log().set_outage(true);
    group.advance(1s);
    group.log().lose_records("journal", 2);
    SUBCASE("and is short") {}
    SUBCASE("and was filled again")
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

TEST_CASE("an unreadable record stops nobody")
{
    journal_group group;
    group.start();
    group.start();
    group.advance(1s);
    group.log().put("journal", "\xff\xff no record \x01");
    REQUIRE(settle(group, 0, first_configuration()));
    CHECK(group.node(1).state()->configuration_version() == 2);
    CHECK(*group.node(0).state() == *group.node(1).state());
}

TEST_CASE("when a record was trimmed before anyone read it, every node keeps its state, says that "
          "it is not fresh and proposes nothing")
{
    journal_group group(60s);
    group.start();
    group.start();
    group.advance(1s);
    REQUIRE(settle(group, 0, first_configuration()));
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
        CHECK(settle(group, i, form(1, 3)).last_reason().code == journal_error::not_ready);
    }
}
