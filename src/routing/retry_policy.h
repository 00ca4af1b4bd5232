/** \file
 * Defines retry_budget and the decision whether a failed attempt is followed by another.
 */
#pragma once

#include <cstdint>

#include "base/clock.h"

namespace chervildyke {

/** Lets retries be only a share of the calls, so that they can't multiply an overload. */
class retry_budget {
  public:
    /** \param ratio retries allowed for each call.
     * \param reserve retries allowed without any calls before.
     * \param cap the most that calls can save up; in any span, at most the cap and the ratio of
     * that span's calls are spent.
     */
    retry_budget(double ratio, double reserve, double cap);
    explicit retry_budget(double ratio = 0.2, double reserve = 10.0);

    void note_call();

    /** \return false when the budget is used up. */
    bool take();

    double left() const { return left_; }

    /** Changes the most that can be saved up, as when other nodes share the budget. */
    void set_cap(double cap);

  private:
    double ratio_;
    double cap_;
    double left_;
};

/** How an attempt failed, as far as a retry is concerned. */
enum class attempt_failure {
    not_run,      // Certainly nothing ran.
    may_have_run, // Broken or silent after it was sent.
};

struct retry_question {
    attempt_failure failure = attempt_failure::not_run;
    bool repeatable = true;
    std::uint32_t attempts = 1; // Made so far.
    duration time_left{};       // Until the caller's deadline.
    duration expected_time{};   // What another attempt will probably take to its first token.

    bool operator==(const retry_question&) const = default;
};

constexpr std::uint32_t max_attempts = 5;

/** \return true when another attempt is allowed by all but the budget. */
bool may_retry(const retry_question& question);

} // namespace chervildyke
