/** \file
 * Defines external_error, the codes with which calls to the platform and to backend servers fail.
 */
#pragma once

#include "base/result.h"

namespace chervildyke {

enum class external_error {
    none,
    not_sent,        // The call did not reach the server and had no effect.
    unknown_outcome, // The call may have taken effect.
    refused,         // The server rejected the call, which had no effect.
    overloaded,      // The server is overloaded and rejected the call; it may be retried later.
    out_of_range,    // The log does not hold the offset: it is trimmed or was never written.
};

using external_failure = failure<external_error>;

template <typename Value>
using external_result = result<Value, external_error>;

} // namespace chervildyke
