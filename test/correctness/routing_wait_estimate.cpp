/** \file
 * Tests the bounds of wait_estimate and the order of fair_queue from which they are computed.
 */
#include <doctest/doctest.h>

#include "routing/wait_estimate.h"

using namespace chervildyke;

namespace {

constexpr time_point start{1h};
constexpr wait_estimate::capacity ten_slots{10, 10};

queued_call make_call(const std::string& tenant, std::uint32_t priority = 0)
{
    static std::uint64_t last_id = 0;
    queued_call call;
    call.id = ++last_id;
    call.tenant = tenant;
    call.priority = priority;
    return call;
}

void push(fair_queue& queue, const std::string& tenant, int calls)
{
    for (int i = 0; i < calls; ++i) {
        queue.push(make_call(tenant));
    }
}

wait_estimate estimate_with_service_times(duration shorter, duration longer)
{
    wait_estimate made;
    for (int i = 0; i < 100; ++i) {
        made.note_service_time(shorter);
        made.note_service_time(longer);
    }
    return made;
}

/** Sends calls for ten seconds. */
void send(wait_estimate& estimate, const std::string& tenant, std::uint32_t priority, int per_s)
{
    for (int i = 0; i < 10 * per_s; ++i) {
        estimate.note_arrival(tenant, priority, start + 10s * i / (10 * per_s));
    }
}

} // namespace

TEST_CASE("the calls ahead of a new call are those that leave the queue before it")
{
    fair_queue queue;
    push(queue, "flood", 20);
    push(queue, "other", 3);
    for (const char* tenant : {"flood", "other", "new"}) {
        const queued_call call = make_call(tenant);
        fair_queue copy = queue;
        const std::size_t expected = copy.calls_ahead(call);
        copy.push(call);
        std::size_t left = 0;
        while (copy.pop()->id != call.id) {
            ++left;
        }
        CAPTURE(tenant);
        CHECK(left == expected);
    }
    CHECK(queue.calls_ahead(make_call("flood", 1)) == 0);
}

TEST_CASE("later calls of another tenant overtake at most as often as their bound says")
{
    fair_queue queue;
    push(queue, "flood", 20);
    push(queue, "other", 3);
    const queued_call call = make_call("flood");
    const double most_other = queue.max_overtaking(call, "other");
    const double most_new = queue.max_overtaking(call, "new");
    const std::size_t ahead = queue.calls_ahead(call);
    queue.push(call);
    push(queue, "other", 100);
    push(queue, "new", 100);
    double left = 0;
    while (queue.pop()->id != call.id) {
        ++left;
    }
    CHECK(left == static_cast<double>(ahead) + most_other + most_new);
    CHECK(most_new == 20);
    CHECK(most_other == 17);
}

TEST_CASE("a call waits at most until the slots have served the calls ahead of it")
{
    const wait_estimate estimate = estimate_with_service_times(100ms, 100ms);
    fair_queue queue;
    push(queue, "desk", 49);
    CHECK(estimate.service_time() == 100ms);
    CHECK(estimate.max_service_time() == 100ms);
    const queued_call call = make_call("desk");
    CHECK(estimate.mean_wait(queue, call, ten_slots) == 500ms);
    const duration bound = estimate.max_wait(queue, call, ten_slots, 10s, start);
    CHECK(bound >= 500ms);
    CHECK(bound <= 600ms); // Each slot may just have begun a call.
    // Calls above a decreased capacity end before the first queued call is admitted.
    CHECK(estimate.mean_wait(queue, call, {10, 20}) == 600ms);
    // A single slot serves the calls one after the other.
    CHECK(estimate.max_wait(queue, call, {1, 1}, 10s, start) == 5s);
}

// Guards against calls that are queued by the mean service time and refused at their deadlines.
TEST_CASE("the bound of the wait grows with the variance of service times")
{
    const wait_estimate equal = estimate_with_service_times(100ms, 100ms);
    const wait_estimate varied = estimate_with_service_times(50ms, 150ms);
    fair_queue queue;
    push(queue, "desk", 49);
    const queued_call call = make_call("desk");
    CHECK(varied.max_wait(queue, call, ten_slots, 10s, start) >
          equal.max_wait(queue, call, ten_slots, 10s, start) + 50ms);
    CHECK(varied.max_service_time() >= 150ms);
}

// Guards against calls that are refused at their deadlines since later calls overtake them.
TEST_CASE("the bound of the wait includes later calls of other tenants and higher priorities")
{
    const wait_estimate quiet = estimate_with_service_times(100ms, 100ms);
    fair_queue queue;
    push(queue, "flood", 49);
    const queued_call call = make_call("flood");
    const time_point now = start + 10s;
    const duration alone = quiet.max_wait(queue, call, ten_slots, 1s, now);

    wait_estimate with_own = quiet;
    send(with_own, "flood", 0, 100);
    CHECK(with_own.max_wait(queue, call, ten_slots, 1s, now) == alone);

    wait_estimate with_other = quiet;
    send(with_other, "steady", 0, 10);
    CHECK(with_other.max_wait(queue, call, ten_slots, 1s, now) > alone + 100ms);
    CHECK(with_other.max_wait(queue, make_call("flood", 1), ten_slots, 1s, now) < alone);

    wait_estimate with_priority = quiet;
    send(with_priority, "flood", 1, 10);
    CHECK(with_priority.max_wait(queue, call, ten_slots, 1s, now) > alone + 100ms);

    // Another tenant's calls overtake only as far as its share allows.
    wait_estimate with_flood = quiet;
    send(with_flood, "other", 0, 1000);
    CHECK(with_flood.max_wait(queue, call, ten_slots, 1s, now) <= alone + 50 * 10ms);
    CHECK(with_flood.max_wait(queue, call, ten_slots, 1s, now + 60s) == alone);
}
