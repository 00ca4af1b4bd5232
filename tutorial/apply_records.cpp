/** \file
 * Tutorial 1: two writers race for the same VM, and all readers of the journal agree on the winner.
 *
 * The journal's state is a value. Every reader that applies the same records in the order of their
 * offsets gets the same state and the same outcomes, so no leader is needed.
 */
#include <iostream>

#include "journal/fleet_state.h"

using namespace chervildyke;

namespace {

/** A fleet with one team whose only replica needs two VMs. */
schema::journal_record configuration_record()
{
    schema::journal_record record;
    record.set_id("configuration-1");
    record.set_format(1);
    schema::configuration_change& change = *record.mutable_configuration();
    change.set_base_version(0); // The version of the empty configuration, which this one replaces.
    schema::fleet_configuration& fleet = *change.mutable_configuration();
    fleet.set_deployment("tutorial");
    fleet.add_backend_pools("pool");
    fleet.add_models()->set_name("model");
    fleet.mutable_weights()->set_group_downtime(1);
    schema::team_template& shape = *fleet.add_templates();
    shape.set_name("small");
    shape.mutable_parameters()->set_model("model");
    shape.mutable_parameters()->set_replicas(1);
    shape.mutable_parameters()->set_vms_per_replica(2);
    shape.mutable_parameters()->set_pool("pool");
    schema::team& team = *fleet.add_teams();
    team.set_name("answers");
    team.set_template_("small");
    return record;
}

schema::journal_record formation_record(const std::string& id, const std::string& second_vm)
{
    schema::journal_record record;
    record.set_id(id);
    record.set_format(1);
    schema::replica_formation& change = *record.mutable_formation();
    change.set_team("answers");
    change.set_configuration_version(1); // The offset of the configuration's record.
    change.set_model("model");
    change.add_vms("vm-1");
    change.add_vms(second_vm);
    return record;
}

} // namespace

int main()
{
    // Two controls propose a replica with vm-1 at the same time. The log puts the records in order.
    const schema::journal_record log[] = {configuration_record(),
                                          formation_record("by-control-a", "vm-2"),
                                          formation_record("by-control-b", "vm-3")};
    fleet_state_builder first_reader((fleet_state()));
    log_offset offset = 0;
    int accepted = 0;
    for (const schema::journal_record& record : log) {
        const record_outcome outcome = first_reader.apply(record, ++offset);
        accepted += outcome.accepted() ? 1 : 0;
        std::cout << record.id() << ": "
                  << (outcome.accepted() ? "accepted" : "rejected, " + outcome.reason) << "\n";
    }

    // A reader that starts from a snapshot of an earlier offset reaches the same state.
    fleet_state_builder snapshot_source((fleet_state()));
    snapshot_source.apply(log[0], 1);
    const auto restored = fleet_state::from_snapshot(snapshot_source.current().to_snapshot());
    fleet_state_builder restored_reader(**restored);
    restored_reader.apply(log[1], 2);
    restored_reader.apply(log[2], 3);
    const bool same = restored_reader.current() == first_reader.current();
    std::cout << "a reader that started from a snapshot " << (same ? "agrees" : "differs") << "\n";
    return same && accepted == 2 ? 0 : 1;
}
