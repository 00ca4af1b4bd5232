/** \file
 * Tests when a call gives up a silent replica. Guards against needless failover in a burst: healthy
 * replicas queue calls for longer than predicted, and each call that fails over has its prompt
 * prefilled a second time.
 */
#include <doctest/doctest.h>

#include "routing/stall_policy.h"

using namespace chervildyke;

namespace {

/** An attempt that has waited far longer than predicted, at a replica that answers other calls. */
silent_attempt overdue()
{
    silent_attempt attempt;
    attempt.own_silence = 800ms;
    attempt.replica_silence = 30ms;
    attempt.expected = 90ms;
    return attempt;
}

constexpr replacement_attempt free_slot{true, 100ms};
constexpr replacement_attempt no_slot{true, std::nullopt};
constexpr replacement_attempt no_retry{false, 100ms};

} // namespace

TEST_CASE("a call waits for a replica that answers other calls, even if another has a free slot")
{
    CHECK(choose_stall_action(overdue(), free_slot, 5s) == stall_action::wait);
}

TEST_CASE("a call fails over from a replica that is stalled for all nodes to one with a free slot")
{
    silent_attempt attempt = overdue();
    attempt.replica_silence = 800ms;
    CHECK(choose_stall_action(attempt, free_slot, 5s) == stall_action::failover);
}

TEST_CASE("a call without a free slot, a retry or enough time elsewhere keeps waiting")
{
    silent_attempt attempt = overdue();
    attempt.replica_silence = 800ms;
    CHECK(choose_stall_action(attempt, no_slot, 5s) == stall_action::wait);
    CHECK(choose_stall_action(attempt, no_retry, 5s) == stall_action::wait);
    CHECK(choose_stall_action(attempt, free_slot, 80ms) ==
          stall_action::wait); // The other attempt would be too late.
}

TEST_CASE(
    "a call fails over from a lost replica even without a free slot, and fails without a retry")
{
    silent_attempt attempt = overdue();
    attempt.replica_silence = 1600ms;
    attempt.replica_is_serving = false;
    CHECK(choose_stall_action(attempt, no_slot, 5s) == stall_action::failover);
    CHECK(choose_stall_action(attempt, no_retry, 5s) == stall_action::fail);
}

// Guards against ending the calls of a working replica that leaves and is silent for a second.
TEST_CASE("a call waits for a retiring replica that is silent for a second")
{
    silent_attempt attempt = overdue();
    attempt.own_silence = 1200ms;
    attempt.replica_silence = 1200ms;
    attempt.replica_is_serving = false;
    CHECK(choose_stall_action(attempt, no_slot, 5s) == stall_action::wait);
    CHECK(choose_stall_action(attempt, no_retry, 5s) == stall_action::wait);
    CHECK(choose_stall_action(attempt, free_slot, 5s) == stall_action::failover);
}

TEST_CASE("a retiring replica that still sends events finishes its calls")
{
    silent_attempt attempt = overdue();
    attempt.replica_is_serving = false;
    CHECK(choose_stall_action(attempt, free_slot, 5s) == stall_action::wait);
}

TEST_CASE("a long silence of one call at a healthy replica is taken as a lost connection")
{
    silent_attempt attempt = overdue();
    attempt.own_silence = 1500ms;
    CHECK(choose_stall_action(attempt, free_slot, 5s) == stall_action::failover);
    attempt.expected = 500ms; // The call queues behind long prompts.
    CHECK(choose_stall_action(attempt, free_slot, 5s) == stall_action::wait);
}

TEST_CASE("a short silence is tolerated")
{
    silent_attempt attempt = overdue();
    attempt.own_silence = 300ms;
    attempt.replica_silence = 2s;
    CHECK(choose_stall_action(attempt, free_slot, 5s) == stall_action::wait);
}
