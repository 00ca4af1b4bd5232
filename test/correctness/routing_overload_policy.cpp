/** \file
 * Tests the order, the waits and the refusals of calls when a model has too few free slots. The
 * load of each case stands in its comment.
 */
#include <doctest/doctest.h>

#include "routing/fair_queue.h"
#include "routing/model_load.h"
#include "routing/overload_policy.h"

using namespace chervildyke;

namespace {

constexpr time_point start{1h};
constexpr call_rank urgent{call_standing::in_time, 0};
constexpr call_rank usual{call_standing::in_time, 2};
constexpr call_rank late_urgent{call_standing::late, 0};

/** A call with 7 s of time, a target that allows 400 ms of waiting, and an answer of 1.2 s. */
overload_terms make_call(std::uint32_t priority = 0)
{
    overload_terms call;
    call.priority = priority;
    call.in_time_until = start + 400ms;
    call.deadline = start + 7s;
    call.start_by = call.deadline - 1200ms;
    return call;
}

std::optional<duration> wait_for(double ahead, double per_s, double share = 1)
{
    return expected_wait({ahead, per_s, share});
}

} // namespace

// Load: a burst in which calls of all kinds wait for the same model. Guards against late calls that
// take slots from calls which could still be in time.
TEST_CASE("started calls go first, then those in time by urgency, then late ones by urgency")
{
    overload_terms call = make_call(2);
    CHECK(rank_of(call, start) == usual);
    CHECK(rank_of(call, start + 401ms) == call_rank{call_standing::late, 2});
    call.has_started = true;
    const call_rank started = rank_of(call, start + 2s);
    CHECK(started < urgent);
    CHECK(urgent < usual);
    CHECK(usual < late_urgent);
    CHECK(queue_priority(urgent) > queue_priority(usual));
    CHECK(engine_priority(started) < engine_priority(urgent));
    CHECK(engine_priority(urgent) < engine_priority(usual));
    CHECK(engine_priority(usual) < engine_priority(late_urgent));
    CHECK(engine_priority({call_standing::late, 50}) == 9);
}

// Guards against a rank that a node of another version can't state or that is misread.
TEST_CASE("nodes state ranks as numbers, and a number that stands for none is not read")
{
    for (const call_rank& rank : {call_rank{call_standing::started, 0}, urgent, usual, late_urgent,
                                  call_rank{call_standing::late, max_call_priority}}) {
        CHECK(rank_from_number(to_number(rank)) == rank);
    }
    CHECK_FALSE(rank_from_number(to_number({call_standing::late, max_call_priority}) + 1));
}

// Load: 2 times the capacity for 5 s; 100 admissions a second.
TEST_CASE("a call waits if it can be served, late if need be, and is refused at once otherwise")
{
    const overload_terms call = make_call();
    CHECK_FALSE(should_refuse(call, wait_for(30, 100), wait_for(300, 100, 0.3), start));
    // It misses its target, and late calls get a third of the slots: 2.5 s.
    CHECK_FALSE(should_refuse(call, wait_for(60, 100), wait_for(80, 100, 0.33), start));
    CHECK(should_refuse(call, wait_for(60, 100), wait_for(200, 100, 0.33), start));
    // Nothing is known of the admissions.
    CHECK_FALSE(should_refuse(call, wait_for(60, 0), wait_for(200, 0), start));
}

// Load: a third of the replicas is lost for 8 s while calls wait. Guards against calls that wait
// for seconds and are refused then.
TEST_CASE("a waiting call is refused as soon as the rate of admissions no longer reaches it")
{
    const overload_terms call = make_call();
    const time_point now = start + 500ms;
    const auto before = wait_for(70, 100, 0.3);
    CHECK_FALSE(should_refuse(call, before, before, now));
    CHECK_FALSE(should_give_up(call, before, before, now));
    const auto after = wait_for(150, 66, 0.25);
    CHECK(should_give_up(call, after, after, now));
    // A small change of the rate gives up no call that was just queued.
    const auto slightly_slower = wait_for(70, 80, 0.3);
    CHECK_FALSE(should_give_up(call, slightly_slower, slightly_slower, now));
    overload_terms started = call;
    started.has_started = true;
    CHECK_FALSE(should_give_up(started, after, after, now));
}

// Load: refusals in a burst of 5 s. Guards against retries that come back together, or later than
// callers wait.
TEST_CASE("retries are spread by rank until room is expected, within a third of the time left")
{
    for (const double fraction : {0.0, 0.5, 1.0}) {
        const duration first = overload_retry_after(urgent, 5s, 6s, fraction);
        const duration second = overload_retry_after(usual, 5s, 6s, fraction);
        CHECK(first < second);
        CHECK(second < 2s);
        CHECK(first > 500ms);
        CHECK(overload_retry_after(urgent, 1s, 6s, fraction) <= 1s);
        CHECK(overload_retry_after(urgent, std::nullopt, 100ms, fraction) == 300ms);
    }
    CHECK(overload_retry_after(usual, 5s, 6s, 1) > overload_retry_after(usual, 5s, 6s, 0) + 300ms);
}

// Load: as many urgent calls as there are slots, besides less urgent and late ones.
TEST_CASE("late and less urgent calls leave room only while more urgent ones arrive")
{
    CHECK(rank_fill_limit(urgent, false, 8) == 1);
    CHECK(rank_fill_limit(usual, true, 8) == 1 - 1.0 / 8);
    CHECK(rank_fill_limit(late_urgent, true, 8) < rank_fill_limit(usual, true, 8));
    CHECK(rank_fill_limit(late_urgent, false, 8) == 1);
    CHECK(rank_fill_limit(usual, true, 1) == 1);
    model_load load;
    load.note_arrival(urgent, start);
    CHECK(load.earlier_arrived(usual, start + 1s));
    CHECK_FALSE(load.earlier_arrived(urgent, start + 1s));
    CHECK_FALSE(load.earlier_arrived(usual, start + 10s));
}

// Load: 60 calls of two teams of which each tenth has ten times the usual work; a third of them is
// served. Guards against starvation of large calls and against a team that fills the queue.
TEST_CASE("small calls go first, but large ones and small teams are not starved")
{
    fair_queue queue;
    const auto push = [&](std::uint64_t id, const char* team, double work) {
        overload_terms call = make_call();
        call.relative_work = work;
        queued_call queued;
        queued.id = id;
        queued.tenant = team;
        queued.priority = queue_priority(rank_of(call, start));
        queued.delay = queue_delay(call);
        queue.push(queued);
    };
    int small_served = 0;
    int large_served = 0;
    int other_served = 0;
    push(1000, "t", 10);
    push(1001, "t", 0.5);
    CHECK(queue.ids() == std::vector<std::uint64_t>{1001, 1000});
    for (std::uint64_t id = 0; id < 600; ++id) {
        push(id, id % 6 == 5 ? "other" : "t", id % 10 == 0 ? 10 : 1);
        if (id % 3 == 2) {
            const auto next = queue.pop();
            (next->id % 10 == 0 ? large_served : small_served) += 1;
            other_served += next->tenant == "other" ? 1 : 0;
        }
    }
    CHECK(large_served * 9 * 2 >= small_served);
    CHECK(other_served >= 90); // It sends 100 and could have a third of the slots.
}

// Load: calls that become late while they wait. Guards against a team that is charged twice then.
TEST_CASE("a call that becomes late moves back, and its team is not charged again")
{
    fair_queue queue;
    queued_call call;
    call.id = 1;
    call.tenant = "t";
    call.priority = queue_priority(urgent);
    queue.push(call);
    call.id = 2;
    queue.push(call);
    CHECK(queue.set_priority(1, queue_priority(late_urgent)));
    CHECK(queue.ids() == std::vector<std::uint64_t>{2, 1});
    CHECK(queue.size_of("t") == 2);
    CHECK(queue.remove(1));
    CHECK_FALSE(queue.set_priority(1, 0));
}

// Failure: nodes are killed or fall silent while urgent calls wait there, and nodes of the older
// version state no waiting calls. Guards against slots that are held free for them for ever.
TEST_CASE("reports of silent peers expire, and peers that report rarely count like the others")
{
    peer_waiting_calls peers;
    peers.note("a", {{"pool/m", {{urgent, 3}, {late_urgent, 5}}}}, start);
    peers.note("old", {}, start);
    CHECK(peers.before("pool/m", usual, start) == 3);
    CHECK(peers.at("pool/m", late_urgent, start) == 5);
    CHECK(peers.before("pool/other", usual, start) == 0);
    CHECK(peers.before("pool/m", urgent, start) == 0);
    peers.note("a", {{"pool/m", {{urgent, 1}}}}, start + 700ms);
    CHECK(peers.before("pool/m", usual, start + 700ms) == 2);
    CHECK(peers.before("pool/m", usual, start + 2s) == 0);
}
