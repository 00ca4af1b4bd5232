/** \file
 * Defines the conversion between a replica and its message.
 */
#pragma once

#include "journal/replica.h"

namespace chervildyke {

/** Writes a replica into its message. */
void write_replica(const replica& from, schema::replica_record& into);

/** \return the replica that a message describes. */
replica read_replica(const schema::replica_record& from);

} // namespace chervildyke
