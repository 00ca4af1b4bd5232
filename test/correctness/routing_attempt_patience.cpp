/** \file
 * Tests when a call gives up a silent replica. The load answered: a burst in which sound replicas
 * queue for longer than predicted, and every call that moves has its prompt read a second time.
 */
#include <doctest/doctest.h>

#include "routing/attempt_patience.h"

using namespace chervildyke;

namespace {

/** Waits far longer than predicted. */
silent_attempt overdue()
{
    silent_attempt attempt;
    attempt.own_silence = 800ms;
    attempt.replica_silence = 30ms;
    attempt.expected = 90ms;
    return attempt;
}

constexpr replacement_attempt place{true, 100ms};
constexpr replacement_attempt no_place{true, std::nullopt};
constexpr replacement_attempt no_retry{false, 100ms};

} // namespace

TEST_CASE("a replica that answers other calls is waited for, also beside a free place")
{
    CHECK(judge_wait(overdue(), place, 5s) == wait_verdict::wait);
}

TEST_CASE("a replica that stands still for all nodes is left for a free place")
{
    silent_attempt attempt = overdue();
    attempt.replica_silence = 800ms;
    CHECK(judge_wait(attempt, place, 5s) == wait_verdict::move);
}

TEST_CASE("without a place or a retry in hand the call waits where it is")
{
    silent_attempt attempt = overdue();
    attempt.replica_silence = 800ms;
    CHECK(judge_wait(attempt, no_place, 5s) == wait_verdict::wait);
    CHECK(judge_wait(attempt, no_retry, 5s) == wait_verdict::wait);
    CHECK(judge_wait(attempt, place, 80ms) == wait_verdict::wait); // It would come too late.
}

TEST_CASE("a replica that is lost is left at once, and without a retry the call ends")
{
    silent_attempt attempt = overdue();
    attempt.replica_silence = 800ms;
    attempt.replica_serves = false;
    CHECK(judge_wait(attempt, no_place, 5s) == wait_verdict::move);
    CHECK(judge_wait(attempt, no_retry, 5s) == wait_verdict::end);
}

TEST_CASE("a replica that gives way and still answers finishes its calls")
{
    silent_attempt attempt = overdue();
    attempt.replica_serves = false;
    CHECK(judge_wait(attempt, place, 5s) == wait_verdict::wait);
}

TEST_CASE("one call's long silence at a sound replica is a lost connection")
{
    silent_attempt attempt = overdue();
    attempt.own_silence = 1500ms;
    CHECK(judge_wait(attempt, place, 5s) == wait_verdict::move);
    attempt.expected = 500ms; // It queues behind long prompts.
    CHECK(judge_wait(attempt, place, 5s) == wait_verdict::wait);
}

TEST_CASE("a short silence says nothing")
{
    silent_attempt attempt = overdue();
    attempt.own_silence = 300ms;
    attempt.replica_silence = 2s;
    CHECK(judge_wait(attempt, place, 5s) == wait_verdict::wait);
}
