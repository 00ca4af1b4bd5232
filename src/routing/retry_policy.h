/** \file
 * Defines retry_budget and the rule by which a failed attempt may be retried.
 */
#pragma once

#include <cstdint>

#include "base/clock.h"

namespace chervildyke {

/** Limits retries to a share of the calls, so that they can't amplify an overload. */
class retry_budget {
  public:
    /** \param ratio retries earned by each call.
     * \param reserve retries available before any call.
     * \param cap the most retries that can be saved up; in any span of time, at most the cap and
     * the ratio times that span's calls are spent.
     */
    retry_budget(double ratio, double reserve, double cap);
    explicit retry_budget(double ratio = 0.2, double reserve = 10.0);

    /** Adds the ratio for a new call. */
    void note_call();

    /** Takes one retry from the budget.
     * \return false if the budget is exhausted. */
    bool take();

    double left() const { return left_; }

    /** Changes the cap, as when other nodes share the budget. */
    void set_cap(double cap);

  private:
    double ratio_;
    double cap_;
    double left_;
};

/** Whether a failed attempt may have had effects. */
enum class attempt_failure {
    not_run,      // The request certainly did not run.
    may_have_run, // The connection broke or stayed silent after the request was sent.
};

/** A failed attempt and what a retry of it depends on. */
struct failed_attempt {
    attempt_failure failure = attempt_failure::not_run;
    bool idempotent = true;
    std::uint32_t attempts = 1; // Made so far.
    duration time_left{};       // Until the caller's deadline.
    duration expected_time{};   // Of another attempt, to its first token.

    bool operator==(const failed_attempt&) const = default;
};

constexpr std::uint32_t max_attempts = 5; // Of one call.

/** \return true if a retry is allowed, apart from the budget. */
bool may_retry(const failed_attempt& attempt);

} // namespace chervildyke
