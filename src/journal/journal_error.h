/** \file
 * Defines the errors of the journal's calls.
 */
#pragma once

#include "base/result.h"

namespace chervildyke {

enum class journal_error {
    none,
    not_ready,       // The state is missing, or it is not fresh.
    not_appended,    // The record is not in the journal and will not be added.
    unknown_outcome, // The record may or may not be in the journal.
    unreadable,      // A record or snapshot can't be parsed or is inconsistent.
    unavailable,     // No source of records or snapshots could be reached.
};

using journal_failure = failure<journal_error>;

template <typename Value>
using journal_result = result<Value, journal_error>;

} // namespace chervildyke
