/** \file
 * Defines verdict, what every reader of the journal concludes about one record.
 */
#pragma once

#include <string>

namespace chervildyke {

enum class judgement {
    accepted,
    rejected,  // Void: the record changed nothing.
    duplicate, // A second copy of an earlier record.
    neutral,   // A checkpoint chunk; it never changes state.
};

/** Why a record is void. */
enum class void_reason {
    none,
    unreadable,
    newer_format,
    stale_base, // The configuration edits a version that is not in force.
    not_valid,  // The configuration has errors.
    unknown_team,
    parameters_changed, // The team's parameters are not those that the record presumes.
    wrong_vm_count,
    vm_repeated,
    vm_held,
    vm_drained,
    enough_replicas,
    unknown_replica,
    wrong_phase,
    no_evidence, // A release without evidence that the VM is free.
    wrong_format_change,
};

struct verdict {
    judgement kind = judgement::accepted;
    void_reason why = void_reason::none;
    std::string reason; // For people.

    bool accepted() const { return kind == judgement::accepted; }

    bool operator==(const verdict&) const = default;
};

} // namespace chervildyke
