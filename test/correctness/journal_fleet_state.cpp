/** \file
 * Tests the outcome of each kind of journal record, and that a snapshot contains everything on
 * which outcomes depend.
 */
#include <doctest/doctest.h>

#include "journal/fleet_state.h"
#include "journal/validate.h"
#include "support/journal_records.h"

using namespace chervildyke;

namespace {

/** Applies records to a state at consecutive offsets. */
struct record_applier {
    std::shared_ptr<const fleet_state> state = std::make_shared<fleet_state>();

    record_outcome add(const schema::journal_record& record)
    {
        apply_result result = state->apply(record, state->offset() + 1);
        state = result.state;
        return result.outcome;
    }
};

} // namespace

TEST_CASE("of two configurations based on the same version the first is accepted")
{
    record_applier journal;
    const auto configuration = small_configuration({"joiners"}, 1, 2);
    CHECK(journal.add(configuration_record("a", 0, configuration)).accepted());
    const record_outcome late = journal.add(configuration_record("b", 0, configuration));
    CHECK(late.code == rejection_reason::stale_base);
    CHECK(journal.state->configuration_version() == 1);
    CHECK(journal.add(configuration_record("c", 1, configuration)).accepted());
    CHECK(journal.state->configuration_version() == 3);
    CHECK(journal.state->history().size() == 2);
}

TEST_CASE(
    "an invalid configuration is rejected as a whole, and every error is reported with its path")
{
    record_applier journal;
    auto bad = small_configuration({"joiners", "joiners"}, 1, 2);
    bad.mutable_weights()->Clear();
    bad.mutable_teams(0)->set_template_("absent");
    bad.add_tenants()->add_keys()->set_sha256("xyz");
    const record_outcome outcome = journal.add(configuration_record("a", 0, bad));
    CHECK(outcome.code == rejection_reason::invalid_configuration);
    CHECK(journal.state->configuration_version() == 0);
    std::string paths;
    for (const configuration_fault& fault : validate(bad)) {
        paths += fault.path + " ";
    }
    CHECK(paths == "/weights /teams/0/template /teams/1/name /tenants/0/name "
                   "/tenants/0/keys/0/sha256 ");
}

TEST_CASE(
    "a VM is held by one replica until it is released, and the last release removes the replica")
{
    record_applier journal;
    REQUIRE(journal.add(configuration_record("a", 0, small_configuration({"t", "u"}, 1, 2)))
                .accepted());
    REQUIRE(journal.add(formation_record("b", "t", 1, {"vm-1", "vm-2"})).accepted());
    const replica_id first = journal.state->offset();
    CHECK(journal.add(formation_record("c", "u", 1, {"vm-2", "vm-3"})).code ==
          rejection_reason::vm_held);
    CHECK(journal.add(release_record("d", first, "vm-1")).code == rejection_reason::wrong_phase);
    CHECK(journal.add(serving_record("e", first)).accepted());
    CHECK(journal.add(serving_record("f", first)).code == rejection_reason::wrong_phase);
    CHECK(journal.add(retirement_record("g", first)).accepted());
    CHECK(journal.add(formation_record("h", "u", 1, {"vm-2", "vm-3"})).code ==
          rejection_reason::vm_held);
    CHECK(journal.add(release_record("i", first, "vm-2")).accepted());
    CHECK(journal.add(formation_record("j", "u", 1, {"vm-2", "vm-3"})).accepted());
    auto unproven = release_record("k", first, "vm-1");
    unproven.mutable_release()->clear_evidence();
    CHECK(journal.add(unproven).code == rejection_reason::no_evidence);
    CHECK(journal.add(release_record("l", first, "vm-1")).accepted());
    CHECK(journal.state->find_replica(first) == nullptr);
    CHECK_FALSE(journal.state->holder_of("vm-1").has_value());
}

TEST_CASE("a formation is rejected when it does not match the current state")
{
    record_applier journal;
    auto configuration = small_configuration({"t"}, 1, 2);
    REQUIRE(journal.add(configuration_record("a", 0, configuration)).accepted());
    CHECK(journal.add(formation_record("b", "x", 1, {"1", "2"})).code ==
          rejection_reason::unknown_team);
    CHECK(journal.add(formation_record("c", "t", 1, {"1"})).code ==
          rejection_reason::wrong_vm_count);
    CHECK(journal.add(formation_record("d", "t", 1, {"1", "1"})).code ==
          rejection_reason::vm_repeated);
    configuration.add_drained_vms(std::string("9"));
    REQUIRE(journal.add(configuration_record("e", 1, configuration)).accepted());
    CHECK(journal.add(formation_record("f", "t", 1, {"9", "2"})).code ==
          rejection_reason::vm_drained);
    CHECK(journal.add(formation_record("g", "t", 1, {"1", "2"})).accepted());
    CHECK(journal.add(formation_record("h", "t", 5, {"3", "4"})).code ==
          rejection_reason::replica_limit_reached);
    auto replacement = formation_record("i", "t", 5, {"3", "4"});
    replacement.mutable_formation()->set_replaces(7);
    CHECK(journal.add(replacement).accepted());
    configuration.mutable_teams(0)->mutable_parameters()->set_vms_per_replica(1);
    REQUIRE(journal.add(configuration_record("j", 5, configuration)).accepted());
    CHECK(journal.add(formation_record("k", "t", 5, {"5", "6"})).code ==
          rejection_reason::parameters_changed);
}

TEST_CASE("duplicate records, unreadable payloads and newer formats change nothing")
{
    record_applier journal;
    const auto configuration = small_configuration({"t"}, 2, 1);
    REQUIRE(journal.add(configuration_record("a", 0, configuration)).accepted());
    REQUIRE(journal.add(formation_record("b", "t", 1, {"1"})).accepted());
    CHECK(journal.add(formation_record("b", "t", 1, {"2"})).status == record_status::duplicate);
    const apply_result unreadable = journal.state->apply_payload("\xff\xff\xff", 4);
    CHECK(unreadable.outcome.code == rejection_reason::unreadable);
    CHECK(unreadable.state->offset() == 4);
    auto newer = formation_record("c", "t", 1, {"2"});
    newer.set_format(2);
    CHECK(journal.add(newer).code == rejection_reason::newer_format);
    schema::journal_record raised;
    raised.set_id("d");
    raised.mutable_format_raise()->set_from(1);
    raised.mutable_format_raise()->set_to(2);
    CHECK(journal.add(raised).accepted());
    CHECK_FALSE(journal.state->supports_format());
    CHECK(journal.add(formation_record("e", "t", 1, {"3"})).code == rejection_reason::newer_format);
}

TEST_CASE("a state restored from a snapshot reaches the same outcomes as the original")
{
    record_applier journal;
    const auto configuration = small_configuration({"t"}, 2, 1);
    REQUIRE(journal.add(configuration_record("a", 0, configuration)).accepted());
    REQUIRE(journal.add(formation_record("b", "t", 1, {"1"})).accepted());
    REQUIRE(journal.add(retirement_record("c", 2)).accepted());
    auto copy = fleet_state::from_snapshot(journal.state->to_snapshot());
    REQUIRE(copy);
    CHECK(**copy == *journal.state);
    const auto again = formation_record("b", "t", 1, {"2"});
    CHECK((*copy)->apply(again, 4).outcome == journal.state->apply(again, 4).outcome);
    CHECK(*(*copy)->apply(again, 4).state == *journal.state->apply(again, 4).state);
}
