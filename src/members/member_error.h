/** \file
 * Defines the errors and the result type of calls from one member to another.
 */
#pragma once

#include "base/result.h"

namespace chervildyke {

enum class member_error { none, unreachable };

using member_failure = failure<member_error>;

template <typename Value>
using member_result = result<Value, member_error>;

} // namespace chervildyke
