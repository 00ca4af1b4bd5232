/** \file
 * Implements retry_budget and may_retry().
 */
#include "routing/retry_policy.h"

#include <algorithm>

namespace chervildyke {

namespace {

constexpr double default_cap_factor = 10.0; // Multiple of the reserve.

}

retry_budget::retry_budget(double ratio, double reserve, double cap)
    : ratio_(ratio), cap_(cap), left_(reserve)
{
}

retry_budget::retry_budget(double ratio, double reserve)
    : retry_budget(ratio, reserve, reserve * default_cap_factor)
{
}

void retry_budget::note_call()
{
    left_ = std::min(left_ + ratio_, cap_);
}

bool retry_budget::take()
{
    if (left_ < 1.0) {
        return false;
    }
    left_ -= 1.0;
    return true;
}

void retry_budget::set_cap(double cap)
{
    cap_ = cap;
    left_ = std::min(left_, cap);
}

bool may_retry(const failed_attempt& attempt)
{
    const bool safe = attempt.failure == attempt_failure::not_run || attempt.idempotent;
    return safe && attempt.attempts < max_attempts && attempt.time_left > attempt.expected_time;
}

} // namespace chervildyke
