/** \file
 * Defines how the journal's calls fail.
 */
#pragma once

#include "base/result.h"

namespace chervildyke {

enum class journal_error {
    none,
    not_ready,    // This process has no state yet.
    not_appended, // The record does not stand in the journal and never will.
    unclear,      // The record may stand in the journal; nobody can tell yet.
    unreadable,   // A record or snapshot that can't be read.
    unavailable,  // No source could be reached.
};

using journal_failure = failure<journal_error>;

template <typename Value>
using journal_result = result<Value, journal_error>;

} // namespace chervildyke
