/** \file
 * Tutorial 1: two writers race for the same VM, and every reader of the journal agrees who won.
 *
 * The journal's state is a value. Applying the same records in the order of their offsets gives
 * every reader the same state and the same verdicts, so no leader is needed.
 */
#include <iostream>

#include "journal/fleet_state.h"

using namespace chervildyke;

namespace {

/** A fleet with one team whose only replica needs two VMs. */
schema::journal_record first_configuration()
{
    schema::journal_record record;
    record.set_id("configuration-1");
    record.set_format(1);
    schema::configuration_change& change = *record.mutable_configuration();
    change.set_base_version(0); // It edits the empty configuration.
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

schema::journal_record formation(const std::string& id, const std::string& second_vm)
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
    // Two controls propose a replica with vm-1 at the same time; the log orders their records.
    const schema::journal_record log[] = {first_configuration(), formation("by-control-a", "vm-2"),
                                          formation("by-control-b", "vm-3")};
    fleet_state_builder reader((fleet_state()));
    log_offset offset = 0;
    int accepted = 0;
    for (const schema::journal_record& record : log) {
        const record_outcome v = reader.apply(record, ++offset);
        accepted += v.accepted() ? 1 : 0;
        std::cout << record.id() << ": " << (v.accepted() ? "accepted" : "void, " + v.reason)
                  << "\n";
    }

    // A reader that starts from a snapshot in the middle reaches the same state.
    fleet_state_builder early((fleet_state()));
    early.apply(log[0], 1);
    const auto restored = fleet_state::from_snapshot(early.current().to_snapshot());
    fleet_state_builder late(**restored);
    late.apply(log[1], 2);
    late.apply(log[2], 3);
    const bool same = late.current() == reader.current();
    std::cout << "a reader that started from a snapshot " << (same ? "agrees" : "differs") << "\n";
    return same && accepted == 2 ? 0 : 1;
}
