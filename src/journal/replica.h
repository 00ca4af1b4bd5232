/** \file
 * Defines replica, a group of VMs that the journal has assigned to one team.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "journal.pb.h"

namespace chervildyke {

/** The offset of the record that formed the replica; also its fencing number (fencing token). */
using replica_id = std::uint64_t;

/** One VM of a replica. */
struct replica_vm {
    std::string vm;
    bool released = false; // The replica no longer holds the VM.

    bool operator==(const replica_vm&) const = default;
};

/** A replica's state in the journal. The reports of its engines are kept elsewhere. */
struct replica {
    replica_id id = 0;
    std::string team;
    std::string model;
    schema::replica_phase phase = schema::phase_unknown;
    std::vector<replica_vm> members;         // The first one receives the calls.
    std::uint64_t configuration_version = 0; // The version it was formed for.
    std::string reason;                      // Why it was formed, or why it retires.

    /** Whether it is forming or serving, and so counts towards the team's number of replicas. */
    bool live() const { return phase == schema::forming || phase == schema::serving; }

    bool operator==(const replica&) const = default;
};

} // namespace chervildyke
