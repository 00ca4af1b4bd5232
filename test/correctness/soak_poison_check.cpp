/** \file
 * Tests that calls which keep crashing servers, and sound calls that are rejected with them, are
 * found. Guards against a soak that passes though nodes send such calls to one server after
 * another.
 */
#include <doctest/doctest.h>

#include "soak/poison_check.h"

using namespace chervildyke;
using namespace chervildyke::soak;

namespace {

constexpr time_point start{100s};
constexpr std::size_t node = 1;
constexpr std::size_t other_node = 2;

/** Runs a poison check and collects its findings. */
struct poison_run {
    fault_tracker tracker;
    poison_check check{tracker};
    invariant_checker findings{3};

    /** Lets servers crash at once. */
    void crash(int count, time_point at)
    {
        for (int i = 0; i < count; ++i) {
            check.record_crash(at);
        }
    }

    void arrive(int count, std::size_t from, time_point at)
    {
        for (int i = 0; i < count; ++i) {
            check.record_sent("p" + std::to_string(i), from);
            check.record_arrival("p" + std::to_string(i), at);
        }
    }

    void sound_calls(int count, int began, time_point at)
    {
        for (int i = 0; i < count; ++i) {
            check.record_sound_call(node, at, i < began);
        }
    }

    bool has_only_finding(const std::string& guarantee)
    {
        check.check_final_state(findings);
        return findings.findings().size() == 1 &&
               findings.findings().front().starts_with(guarantee + ":");
    }

    bool is_clean()
    {
        check.check_final_state(findings);
        return findings.findings().empty();
    }
};

} // namespace

TEST_CASE("calls that crash servers may arrive until the settle time after the fifth crash")
{
    poison_run run;
    run.check.begin();
    run.crash(5, start);
    run.arrive(20, node, start + 3s);
    run.arrive(3, node, start + 4s);
    CHECK(run.is_clean());
}

TEST_CASE("more than three calls that arrive later than that are found")
{
    poison_run run;
    run.check.begin();
    run.crash(5, start);
    run.arrive(4, node, start + 4s);
    CHECK(run.has_only_finding("budget"));
}

TEST_CASE("calls are not late before the fifth crash, nor when a fault disturbs their node")
{
    poison_run early;
    early.crash(4, start);
    early.arrive(10, node, start + 60s);
    CHECK(early.is_clean());
    poison_run disturbed;
    disturbed.tracker.begin_disturbance({other_node});
    disturbed.crash(5, start);
    disturbed.arrive(10, other_node, start + 60s);
    CHECK(disturbed.is_clean());
    disturbed.arrive(4, node, start + 60s);
    CHECK(disturbed.has_only_finding("budget"));
}

TEST_CASE("sound calls that begin less than half as often as before are found")
{
    for (const int began : {9, 10}) {
        poison_run run;
        run.check.start_baseline();
        run.sound_calls(20, 20, start);
        run.check.begin();
        run.crash(5, start + 1s);
        run.crash(1, start + 30s);
        run.sound_calls(20, 0, start + 6s);
        run.sound_calls(20, began, start + 8s);
        const bool as_expected = began < 10 ? run.has_only_finding("lost") : run.is_clean();
        CHECK(as_expected);
    }
}

TEST_CASE("with fewer than five crashes, sound calls count from the last one on")
{
    poison_run run;
    run.check.start_baseline();
    run.sound_calls(20, 20, start);
    run.check.begin();
    run.crash(1, start + 1s);
    run.sound_calls(20, 0, start + 10s);
    run.crash(1, start + 11s);
    run.sound_calls(20, 10, start + 18s);
    CHECK(run.is_clean());
}

TEST_CASE("sound calls are not counted before replicas serve, nor as a baseline under faults")
{
    poison_run run;
    run.sound_calls(1000, 0, start);
    run.check.start_baseline();
    run.tracker.begin_fault();
    run.sound_calls(1000, 0, start);
    run.tracker.end_fault();
    const time_point later = monotonic_clock::now() + 60s;
    run.sound_calls(20, 20, later);
    run.check.begin();
    run.crash(5, later);
    run.sound_calls(20, 5, later + 7s);
    CHECK(run.has_only_finding("lost"));
}

TEST_CASE("a call that crashed a server and is refused as not run is found")
{
    invariant_checker checker(3);
    sent_call call;
    call.id = "p";
    call.prompt = "5c1e07a2:250,dead4bad:50,1:100";
    call.poisoned = true;
    checker.record_sent(call);
    call_arrival arrival;
    arrival.id = call.id;
    arrival.prompt = call.prompt;
    arrival.started = true;
    checker.record_arrival(arrival, start);
    checker.record_received_answer(call.id, {503, "", "", true});
    checker.check_final_state();
    REQUIRE(checker.findings().size() == 1);
    CHECK(checker.findings().front().starts_with("refused:"));
}

TEST_CASE("a call that arrives with another prompt is found")
{
    invariant_checker checker(3);
    sent_call call;
    call.id = "a";
    call.prompt = "5c1e07a2:250,1:100";
    checker.record_sent(call);
    call_arrival arrival;
    arrival.id = call.id;
    arrival.prompt = "5c1e07a2:250";
    checker.record_arrival(arrival, start);
    REQUIRE(checker.findings().size() == 1);
    CHECK(checker.findings().front().starts_with("unasked:"));
}

TEST_CASE("a prompt has the parts that it lists by their whole ids")
{
    CHECK(has_part("5c1e07a2:250,dead4bad:50,1:100", "dead4bad"));
    CHECK(has_part("dead4bad:50,1:100", "dead4bad"));
    CHECK_FALSE(has_part("5c1e07a2:250,1dead4bad:50", "dead4bad"));
    CHECK_FALSE(has_part("", "dead4bad"));
}
