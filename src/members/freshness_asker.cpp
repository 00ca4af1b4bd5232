/** \file
 * Implements freshness_asker.
 */
#include "members/freshness_asker.h"

#include <algorithm>

namespace chervildyke {

namespace {

constexpr std::size_t max_open = 8; // Questions without an answer; older ones are forgotten.

} // namespace

std::uint64_t freshness_asker::ask(duration now)
{
    question asked;
    while (asked.nonce == 0) { // Zero names no question.
        asked.nonce = random_();
    }
    asked.asked_at = now;
    open_.push_back(asked);
    if (open_.size() > max_open) {
        open_.pop_front();
    }
    return asked.nonce;
}

std::optional<duration> freshness_asker::age_at(std::uint64_t nonce, duration age, duration now)
{
    const auto found = std::find_if(open_.begin(), open_.end(), [nonce](const question& asked) {
        return asked.nonce == nonce;
    });
    if (found == open_.end() || age < duration::zero()) {
        return std::nullopt;
    }
    const duration since = now - found->asked_at;
    open_.erase(found);
    return since + age;
}

} // namespace chervildyke
