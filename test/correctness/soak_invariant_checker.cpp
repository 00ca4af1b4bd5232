/** \file
 * Tests that the invariant checker finds each kind of violation and that a schedule follows from
 * its seed. Guards against a soak that passes because its checker misses a violation, that fails
 * because its checker reports what nodes may do, or whose faults can't be drawn again.
 */
#include <algorithm>

#include <doctest/doctest.h>

#include "soak/invariant_checker.h"
#include "soak/schedule.h"

using namespace chervildyke;
using namespace chervildyke::soak;

namespace {

constexpr time_point start{100s};

sent_call make_sent(const std::string& id, retry_rule retry)
{
    sent_call call;
    call.id = id;
    call.retry = retry;
    call.target = "/t/" + id;
    call.team = "mills";
    call.key = "k";
    call.body = "for " + id;
    call.event_count = 3;
    call.sent_at = start;
    return call;
}

call_arrival make_arrival(const sent_call& call)
{
    call_arrival arrival;
    arrival.id = call.id;
    arrival.target = call.target;
    arrival.team = call.team;
    arrival.body = call.body;
    arrival.started = true;
    return arrival;
}

bool has_only_finding(const invariant_checker& checker, const std::string& guarantee)
{
    return checker.findings().size() == 1 &&
           checker.findings().front().starts_with(guarantee + ":");
}

std::string events_to(const std::string& id, std::uint64_t last)
{
    std::string bytes;
    for (std::uint64_t event = 1; event <= last; ++event) {
        bytes += encode_event(id, event);
    }
    return bytes;
}

} // namespace

TEST_CASE("a call that is answered completely gives no finding")
{
    invariant_checker checker(3);
    const sent_call call = make_sent("a", retry_rule::never);
    checker.record_sent(call);
    checker.record_arrival(make_arrival(call), start);
    checker.record_server_answer("a", {200, "s1", "done"});
    checker.record_received_answer("a", {200, "s1", "done", true});
    checker.check_final_state();
    CHECK(checker.findings().empty());
}

TEST_CASE("a non-idempotent call that runs twice is found, an idempotent one is not")
{
    invariant_checker checker(3);
    const sent_call lookup = make_sent("look", retry_rule::idempotent);
    checker.record_sent(lookup);
    checker.record_arrival(make_arrival(lookup), start);
    checker.record_arrival(make_arrival(lookup), start);
    CHECK(checker.findings().empty());
    const sent_call order = make_sent("order", retry_rule::never);
    checker.record_sent(order);
    checker.record_arrival(make_arrival(order), start);
    checker.record_arrival(make_arrival(order), start);
    CHECK(has_only_finding(checker, "twice"));
}

TEST_CASE("a non-idempotent call that runs after its refusal is found")
{
    invariant_checker checker(3);
    const sent_call order = make_sent("order", retry_rule::never);
    checker.record_sent(order);
    checker.record_received_answer("order", {503, "", "", true});
    checker.record_arrival(make_arrival(order), start + 2s);
    checker.check_final_state();
    CHECK(has_only_finding(checker, "refused"));
}

TEST_CASE("a non-idempotent call that failed with an unknown outcome may have run")
{
    invariant_checker checker(3);
    const sent_call order = make_sent("order", retry_rule::never);
    checker.record_sent(order);
    checker.record_arrival(make_arrival(order), start);
    checker.record_received_answer("order", {502, "", "", true});
    checker.check_final_state();
    CHECK(checker.findings().empty());
}

TEST_CASE("a successful answer of another call, or with a changed body, is found")
{
    invariant_checker mixed(3);
    mixed.record_sent(make_sent("a", retry_rule::idempotent));
    mixed.record_server_answer("a", {200, "s1", "done a"});
    mixed.record_received_answer("a", {200, "s2", "done b", true});
    CHECK(mixed.findings().front().starts_with("mixed:"));
    invariant_checker changed(3);
    changed.record_sent(make_sent("a", retry_rule::idempotent));
    changed.record_server_answer("a", {200, "s1", "done a"});
    changed.record_received_answer("a", {200, "s1", "done", true});
    CHECK(has_only_finding(changed, "mixed"));
}

TEST_CASE("a stream that is complete without its last event is found, one that breaks off is not")
{
    invariant_checker checker(3);
    const sent_call stream = make_sent("s", retry_rule::resumable);
    checker.record_sent(stream);
    checker.record_server_answer("s", {200, "s1", ""});
    checker.record_received_answer("s", {200, "s1", events_to("s", 2) + "id: 3\nda", false});
    CHECK(checker.findings().empty());
    checker.record_received_answer("s", {200, "s1", events_to("s", 2), true});
    CHECK(has_only_finding(checker, "order"));
}

// Guards against a finding about a stream that lasted as long as its caller had said it would wait.
TEST_CASE("a connection that ends at the time limit of its call is not lost, an earlier end is")
{
    constexpr auto time_limit = 303ms;
    invariant_checker checker(3);
    sent_call retry = make_sent("retry", retry_rule::resumable);
    retry.time_limit = time_limit;
    checker.record_sent(retry);
    checker.report_lost_connection("retry", start + time_limit, "the connection ended");
    checker.report_lost_connection("retry", start + time_limit + 1s, "the connection ended");
    CHECK(checker.findings().empty());
    checker.report_lost_connection("retry", start + time_limit - 1us, "the connection ended");
    CHECK(has_only_finding(checker, "lost"));
}

TEST_CASE("a connection of a call without a time limit that ends is lost")
{
    invariant_checker checker(3);
    checker.record_sent(make_sent("a", retry_rule::idempotent));
    checker.report_lost_connection("a", start + 60s, "the connection ended");
    CHECK(has_only_finding(checker, "lost"));
}

TEST_CASE("a stream in which an event comes twice is found")
{
    invariant_checker checker(3);
    checker.record_sent(make_sent("s", retry_rule::resumable));
    checker.record_server_answer("s", {200, "s1", ""});
    checker.record_received_answer("s",
                                   {200, "s1", events_to("s", 2) + encode_event("s", 2), false});
    CHECK(has_only_finding(checker, "order"));
}

TEST_CASE("a call that arrives with a changed body, another team or its API key is found")
{
    for (const int change : {0, 1, 2}) {
        invariant_checker checker(3);
        const sent_call call = make_sent("a", retry_rule::idempotent);
        checker.record_sent(call);
        call_arrival arrival = make_arrival(call);
        arrival.body += change == 0 ? "x" : "";
        arrival.team = change == 1 ? "yards" : arrival.team;
        arrival.has_key = change == 2;
        checker.record_arrival(arrival, start);
        CHECK(has_only_finding(checker, "unasked"));
    }
}

TEST_CASE("a call that is sent after its key's revocation took effect and runs is found")
{
    invariant_checker checker(3);
    checker.record_key_revocation("k", start + 5s);
    sent_call early = make_sent("early", retry_rule::idempotent);
    checker.record_sent(early);
    checker.record_arrival(make_arrival(early), start + 6s);
    CHECK(checker.findings().empty());
    sent_call late = make_sent("late", retry_rule::idempotent);
    late.sent_at = start + 6s;
    checker.record_sent(late);
    checker.record_arrival(make_arrival(late), start + 6s);
    CHECK(has_only_finding(checker, "revoke"));
}

TEST_CASE("a call that runs in a replica with a VM that never became ready is found")
{
    invariant_checker checker(3);
    checker.record_member_ready("r1", 7, "a");
    checker.record_member_ready("r1", 7, "b");
    checker.check_replica({"r1", 7, {"a", "b"}, 2});
    CHECK(checker.findings().empty());
    checker.check_replica({"r1", 8, {"a"}, 1});
    CHECK(has_only_finding(checker, "partial"));
}

TEST_CASE("a rate of loads above the weight store's is found in any five seconds")
{
    invariant_checker checker(3);
    // 2 per second for 5 s, with a tolerance of 10 % and 3 extra loads: 14 may start.
    for (int i = 0; i < 14; ++i) {
        checker.record_load_start(start + i * 10ms, 2);
    }
    CHECK(checker.findings().empty());
    checker.record_load_start(start + 4s, 2);
    CHECK(has_only_finding(checker, "ceiling"));
    invariant_checker spread(3);
    for (int i = 0; i < 100; ++i) {
        spread.record_load_start(start + i * 500ms, 2);
    }
    CHECK(spread.findings().empty());
}

TEST_CASE("more than ten calls that are denied with valid keys are found")
{
    invariant_checker checker(3);
    for (int i = 0; i < 11; ++i) {
        const std::string id = std::to_string(i);
        checker.record_sent(make_sent(id, retry_rule::idempotent));
        checker.record_received_answer(id, {404, "", "", true});
    }
    checker.check_final_state();
    CHECK(has_only_finding(checker, "denied"));
}

TEST_CASE("a schedule follows from its seed, and all kinds of faults are drawn")
{
    CHECK(draw_schedule(5, 20s).front().to_string() == draw_schedule(5, 20s).front().to_string());
    std::map<fault_kind, int> drawn;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        for (const scheduled_fault& fault : draw_schedule(seed, 20s, {.poison = true})) {
            CHECK(fault.start <= 20s);
            ++drawn[fault.kind];
        }
    }
    CHECK(drawn.size() == 27);
    CHECK(drawn[fault_kind::poison_prompts] == 100);
}

// Guards against a soak that can't find answers lost beside planned operations, since other faults
// of the schedule excuse them or no server is silent near them.
TEST_CASE("a schedule that excuses nothing has silences of servers beside planned operations")
{
    int silences_near_operations = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto schedule = draw_schedule(seed, 20s, {.excusing_nothing_only = true});
        for (const scheduled_fault& fault : schedule) {
            CHECK(excuses_nothing(fault.kind));
            if (fault.kind != fault_kind::server_silent) {
                continue;
            }
            CHECK(fault.length >= 700ms);
            CHECK(fault.length <= 1500ms);
            silences_near_operations +=
                std::any_of(schedule.begin(), schedule.end(), [&fault](const auto& other) {
                    return other.kind != fault_kind::server_silent &&
                           std::chrono::abs(other.start - fault.start) < 1s;
                });
        }
    }
    CHECK(silences_near_operations > 40);
}

// Guards against regression seeds (soak/seeds.txt) that no longer play the faults that failed.
TEST_CASE("silences of servers don't change which other faults a seed draws")
{
    std::vector<std::string> others;
    for (const scheduled_fault& fault : draw_schedule(31, 20s)) {
        if (fault.kind != fault_kind::server_silent) {
            others.push_back(fault.to_string());
        }
    }
    CHECK(others.size() == 13);
    CHECK(others.front() == "store_rejects_node target 910 for 2850 ms");
    CHECK(others.back() == "server_crashed target 41 for 0 ms");
}
