/** \file
 * Implements the conversion between a replica and its message.
 */
#include "journal/replica_record.h"

namespace chervildyke {

void write_replica(const replica& from, schema::replica_record& into)
{
    into.set_replica_id(from.id);
    into.set_team(from.team);
    into.set_model(from.model);
    into.set_phase(from.phase);
    into.set_configuration_version(from.configuration_version);
    into.set_reason(from.reason);
    for (const replica_vm& member : from.members) {
        schema::replica_member* written = into.add_members();
        written->set_vm(member.vm);
        written->set_released(member.released);
    }
}

replica read_replica(const schema::replica_record& from)
{
    replica read;
    read.id = from.replica_id();
    read.team = from.team();
    read.model = from.model();
    read.phase = from.phase();
    read.configuration_version = from.configuration_version();
    read.reason = from.reason();
    for (const schema::replica_member& member : from.members()) {
        read.members.push_back({member.vm(), member.released()});
    }
    return read;
}

} // namespace chervildyke
