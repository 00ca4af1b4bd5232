/** \file
 * Defines record_outcome, the result of applying one journal record. Every reader of the journal
 * reaches the same outcome for the same record.
 */
#pragma once

#include <string>

namespace chervildyke {

enum class record_status {
    accepted,
    rejected,  // The record changed nothing.
    duplicate, // A copy of a record that was already applied.
    neutral,   // A checkpoint chunk, which never changes the state.
};

/** Why a record is rejected. */
enum class rejection_reason {
    none,
    unreadable,
    newer_format,
    stale_base,            // The configuration edits a version that is not the current one.
    invalid_configuration, // The configuration fails validation.
    unknown_team,
    parameters_changed, // The team's parameters differ from those that the record was made for.
    wrong_vm_count,
    vm_repeated,
    vm_held,
    vm_drained,
    replica_limit_reached, // The team already has its configured number of replicas.
    unknown_replica,
    wrong_phase,
    no_evidence, // A release without evidence that the VM is free.
    wrong_format_change,
};

struct record_outcome {
    record_status status = record_status::accepted;
    rejection_reason code = rejection_reason::none;
    std::string reason; // Human-readable; for logs and operators.

    bool accepted() const { return status == record_status::accepted; }

    bool operator==(const record_outcome&) const = default;
};

} // namespace chervildyke
