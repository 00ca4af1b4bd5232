/** \file
 * Defines how calls on the platform and on backend servers fail.
 */
#pragma once

#include "base/result.h"

namespace chervildyke {

enum class external_error {
    none,
    not_sent,        // The call did not reach its target and had no effect.
    unknown_outcome, // The call may have taken effect; nobody can tell yet.
    refused,         // The target said no and did nothing.
    overloaded,      // The target said no for now; try again later.
    out_of_range,    // The log no longer keeps, or never had, the offset.
};

using external_failure = failure<external_error>;

template <typename Value>
using external_result = result<Value, external_error>;

} // namespace chervildyke
