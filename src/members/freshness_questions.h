/** \file
 * Defines freshness_questions, which bounds the age of data that another node reports as fresh.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "base/clock.h"
#include "base/random.h"

namespace chervildyke {

/** Tracks the unanswered freshness questions of this node and matches answers to them by nonce. An
 * answer states the age of the other node's data. That age is counted from the moment at which the
 * question was *sent*, so that a delay, a queue or a suspended process between the two nodes never
 * makes data look younger than they are.
 */
class freshness_questions {
  public:
    explicit freshness_questions(random_source random) : random_(std::move(random)) {}

    /** Records a new question. When too many are unanswered, the oldest one is dropped.
     * \param now on the clock that counts suspended time.
     * \return the nonce that the answer must repeat; never zero.
     */
    std::uint64_t add(duration now);

    /** Matches an answer to its question. Only the first answer to a question counts.
     * \param nonce of the answer.
     * \param age of the data, as the other node stated it.
     * \param now on the clock that counts suspended time.
     * \return an upper bound of the present age of the data; nothing when no unanswered question
     * has this nonce or when the age is negative.
     */
    std::optional<duration> resolve(std::uint64_t nonce, duration age, duration now);

  private:
    struct question {
        std::uint64_t nonce = 0;
        duration asked_at{};
    };

    random_source random_;
    std::deque<question> unanswered_; // The oldest first.
};

} // namespace chervildyke
