/** \file
 * Implements the retry budget and rule.
 */
#include "routing/retry_policy.h"

#include <algorithm>

namespace chervildyke {

namespace {

constexpr double budget_cap_factor = 10.0; // Times the reserve.

}

retry_budget::retry_budget(double ratio, double reserve, double cap)
    : ratio_(ratio), cap_(cap), left_(reserve)
{
}

retry_budget::retry_budget(double ratio, double reserve)
    : retry_budget(ratio, reserve, reserve * budget_cap_factor)
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

bool may_retry(const retry_question& question)
{
    const bool safe = question.failure == attempt_failure::not_run || question.repeatable;
    return safe && question.attempts < max_attempts && question.time_left > question.expected_time;
}

} // namespace chervildyke
