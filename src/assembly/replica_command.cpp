/** \file
 * Implements make_command.
 */
#include "assembly/replica_command.h"

namespace chervildyke {

engine_command make_command(command_kind kind, const std::string& name,
                            const schema::shared_replica& replica)
{
    engine_command command;
    command.kind = kind;
    command.replica = name;
    command.epoch = replica.epoch();
    command.model = replica.model();
    for (const schema::shared_member& member : replica.members()) {
        command.members.push_back(member.id());
    }
    return command;
}

engine_command make_command(command_kind kind, const replica_membership& membership)
{
    engine_command command;
    command.kind = kind;
    command.replica = membership.replica;
    command.epoch = membership.epoch;
    return command;
}

} // namespace chervildyke
