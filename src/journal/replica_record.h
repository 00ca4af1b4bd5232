/** \file
 * Defines the wire form of a replica.
 */
#pragma once

#include "journal/replica.h"

namespace chervildyke {

/** Writes a replica into its wire form. */
void write_replica(const replica& from, schema::replica_record& into);

/** \return the replica that a wire form states. */
replica read_replica(const schema::replica_record& from);

} // namespace chervildyke
