/** \file
 * Defines freshness_asker, which learns from another node how old what it knows is at most.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "base/clock.h"
#include "base/random.h"

namespace chervildyke {

/** Matches the answers of other nodes to questions of this one. An answer gives an age; it is
 * counted from the moment at which the question was *sent*, so that no delay, queue or suspended
 * process on the way can make an old answer look young.
 */
class freshness_asker {
  public:
    explicit freshness_asker(random_source random) : random_(std::move(random)) {}

    /** Begins a question.
     * \param now on the clock that counts suspended time.
     * \return the nonce that the answer must repeat.
     */
    std::uint64_t ask(duration now);

    /** Takes an answer, once for each question.
     * \param age that the answering node gave.
     * \param now on the clock that counts suspended time.
     * \return how old the answer's word is now at most; nothing for an answer to no question.
     */
    std::optional<duration> age_at(std::uint64_t nonce, duration age, duration now);

  private:
    struct question {
        std::uint64_t nonce = 0;
        duration asked_at{};
    };

    random_source random_;
    std::deque<question> open_;
};

} // namespace chervildyke
