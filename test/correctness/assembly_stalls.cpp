/** \file
 * Tests at which evidence a replica is given up whose calls receive no events.
 */
#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "support/assembly_fixture.h"

using namespace chervildyke;
using test::assembly_fixture;

namespace {

constexpr duration plan_interval = 100ms;
constexpr duration probe_timeout = 350ms;
constexpr duration event_gap = 100ms;
constexpr duration never = 1h;

/** A span in which a member answers nothing, since the last event. */
struct silence {
    duration begin{};
    duration end{};
};

/** A small replica whose calls receive no events while a member is silent or the fabric is cut.
 * Probes are sent, answered and time out as at a running leader.
 */
struct stall_fixture : assembly_fixture {
    stall_fixture()
    {
        add_domain("d0-", 10);
        steps(4);
        name = serving("small").front();
        before = replica(name);
        REQUIRE(before.members_size() == 2);
        start = now;
    }

    /** Runs plans until the given time after the last event.
     * \return the time at which the replica was retired, or never.
     */
    duration run_until(duration end)
    {
        for (duration at{}; at < end; at += plan_interval) {
            now = start + at;
            finish_probes();
            uses[before.epoch()] = {3, 0, at};
            const assembly_plan made = plan();
            if (!made.records.empty()) {
                return at;
            }
            for (const std::string& vm : made.probes) {
                history.note_probe_sent(vm, now);
                pending_.push_back({vm, at});
            }
        }
        return never;
    }

    std::string name;
    schema::shared_replica before;
    std::vector<silence> silences; // By rank.
    time_point start{};

  private:
    struct sent_probe {
        std::string vm;
        duration at{};
    };

    void finish_probes()
    {
        std::erase_if(pending_, [this](const sent_probe& probe) {
            const silence& silent = silences[probe.vm == before.members(0).id() ? 0 : 1];
            const bool held = probe.at >= silent.begin && probe.at < silent.end;
            const bool fails = held && silent.end > probe.at + probe_timeout;
            const duration done = fails ? probe.at + probe_timeout : held ? silent.end : probe.at;
            if (start + done > now) {
                return false;
            }
            history.note_probe_outcome(
                probe.vm, fails ? probe_outcome::silent : probe_outcome::answered, start + done);
            return true;
        });
    }

    std::vector<sent_probe> pending_;
};

} // namespace

// Guards against aborting the calls of a replica while two of its members are silent in turn.
TEST_CASE("a replica stays in use while two of its members are silent one after the other")
{
    for (duration first = 700ms; first <= 1500ms; first += 50ms) {
        for (duration second = 700ms; second <= 1500ms; second += 50ms) {
            for (const unsigned rank : {0U, 1U}) {
                stall_fixture fixture;
                fixture.silences.resize(2);
                fixture.silences[rank] = {0s, first};
                fixture.silences[1 - rank] = {first, first + second};
                CAPTURE(first.count());
                CAPTURE(second.count());
                CHECK(fixture.run_until(first + second + event_gap) == never);
            }
        }
    }
}

TEST_CASE("a replica retires when its members answer probes but its calls receive no events")
{
    stall_fixture fixture;
    fixture.silences.resize(2);
    SUBCASE("no member was silent: the fabric between them is cut")
    {
        CHECK(fixture.run_until(10s) <= fixture.settings.stall_retire_delay + plan_interval);
    }
    SUBCASE("a member was silent for a second before")
    {
        fixture.silences[1] = {0s, 1s};
        CHECK(fixture.run_until(10s) <= 3s);
    }
    SUBCASE("two members were silent one after the other before")
    {
        fixture.silences = {{0s, 1500ms}, {1500ms, 3s}};
        CHECK(fixture.run_until(10s) <= 4s + plan_interval);
    }
    SUBCASE("a member stays silent")
    {
        fixture.silences[0] = {0s, 10s};
        CHECK(fixture.run_until(10s) <= 2200ms);
    }
}
