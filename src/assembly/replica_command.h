/** \file
 * Defines make_command, which makes the commands to the members of a replica.
 */
#pragma once

#include <string>

#include "assembly/engine_command.h"
#include "node.pb.h"

namespace chervildyke {

/** \return a command about a replica of the ledger.
 * \param name of the replica.
 */
engine_command make_command(command_kind kind, const std::string& name,
                            const schema::shared_replica& replica);

/** \return a command to a VM about the replica of which it says that it is the head. */
engine_command make_command(command_kind kind, const replica_membership& membership);

} // namespace chervildyke
