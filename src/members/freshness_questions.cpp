/** \file
 * Implements freshness_questions.
 */
#include "members/freshness_questions.h"

#include <algorithm>

namespace chervildyke {

namespace {

constexpr std::size_t max_unanswered = 32; // Beyond it the oldest question is dropped.

} // namespace

std::uint64_t freshness_questions::add(duration now)
{
    question asked;
    while (asked.nonce == 0) { // Zero is the nonce of an answer to no question.
        asked.nonce = random_();
    }
    asked.asked_at = now;
    unanswered_.push_back(asked);
    if (unanswered_.size() > max_unanswered) {
        unanswered_.pop_front();
    }
    return asked.nonce;
}

std::optional<duration> freshness_questions::resolve(std::uint64_t nonce, duration age,
                                                     duration now)
{
    const auto found =
        std::find_if(unanswered_.begin(), unanswered_.end(),
                     [nonce](const question& asked) { return asked.nonce == nonce; });
    if (found == unanswered_.end() || age < duration::zero()) {
        return std::nullopt;
    }
    const duration since = now - found->asked_at;
    unanswered_.erase(found);
    return since + age;
}

} // namespace chervildyke
