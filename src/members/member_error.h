/** \file
 * Defines how the calls between members fail.
 */
#pragma once

#include "base/result.h"

namespace chervildyke {

enum class member_error { none, unreachable };

using member_failure = failure<member_error>;

template <typename Value>
using member_result = result<Value, member_error>;

} // namespace chervildyke
