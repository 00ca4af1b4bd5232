/** \file
 * Tests which parts of prompts are blocked after crashes: the one that crashes servers, at all
 * nodes and for a bounded time, and none of those that were there by chance.
 */
#include <doctest/doctest.h>

#include <set>

#include "routing/crash_evidence.h"

using namespace chervildyke;

namespace {

constexpr time_point start{1000s};
const std::string bad = "bad";
const std::string sound = "sound";
constexpr std::size_t all_crashes = 100'000; // In one round of reports.

backend_incarnation server(int number)
{
    return {"i" + std::to_string(number), 1};
}

/** Reports the crashes of `count` servers, one second apart, ending at `until`. */
void crash_servers(crash_evidence& evidence, int count, time_point until,
                   const std::vector<std::string>& parts)
{
    for (int i = 0; i < count; ++i) {
        evidence.note_crash(server(i), parts, until - std::chrono::seconds(count - 1 - i));
    }
}

prompt_standing standing(const crash_evidence& evidence, const std::string& part, time_point now)
{
    return evidence.judge({part}, now).standing;
}

/** \return settings with which few parts fill the table. */
crash_evidence_settings small_table()
{
    crash_evidence_settings settings;
    settings.max_parts = 64;
    return settings;
}

std::vector<part_report> reports_of(crash_evidence& evidence, time_point now)
{
    return evidence.next_reports(100, all_crashes, now);
}

} // namespace

TEST_CASE("a part is blocked after the crashes of three servers, and a further call isn't retried")
{
    crash_evidence evidence;
    int blamed = 0;
    evidence.on_blamed = [&](const part_report&) { ++blamed; };
    CHECK(standing(evidence, bad, start) == prompt_standing::untested);
    evidence.note_crash(server(1), {bad}, start);
    CHECK(evidence.judge({bad}, start).may_retry);
    evidence.note_crash(server(2), {bad}, start + 1s);
    CHECK_FALSE(evidence.judge({bad}, start + 1s).may_retry);
    CHECK(standing(evidence, bad, start + 1s) == prompt_standing::suspected);
    evidence.note_crash(server(3), {bad}, start + 2s);
    const prompt_verdict found = evidence.judge({sound, bad}, start + 2s);
    CHECK(found.standing == prompt_standing::blocked);
    CHECK(found.unproven == std::vector<std::string>{bad});
    CHECK(found.crashes == 3);
    CHECK(blamed == 1);
    CHECK(standing(evidence, sound, start + 2s) == prompt_standing::untested);
}

TEST_CASE(
    "a crash counts once, whoever reports it, and a new incarnation of the server counts anew")
{
    crash_evidence evidence;
    crash_evidence peer;
    for (int i = 0; i < 5; ++i) {
        evidence.note_crash(server(1), {bad}, start + std::chrono::milliseconds(i));
    }
    peer.note_crash(server(1), {bad}, start + 2ms);
    evidence.merge(reports_of(peer, start + 100ms), start + 100ms);
    CHECK(evidence.judge({bad}, start + 100ms).may_retry);
    evidence.note_crash({"i1", 2}, {bad}, start + 4s);
    CHECK_FALSE(evidence.judge({bad}, start + 4s).may_retry);
}

// Guards against blaming a part of sound calls that were in progress at servers which crashed.
TEST_CASE("an answer at any node clears a part that shared the crashes")
{
    crash_evidence evidence;
    crash_evidence peer;
    crash_servers(evidence, 3, start, {bad, sound});
    CHECK(standing(evidence, sound, start) == prompt_standing::doubtful);
    peer.note_answer({sound}, start + 1s);
    peer.merge(reports_of(evidence, start + 1s), start + 1s);
    evidence.merge(reports_of(peer, start + 1s), start + 1s);
    CHECK(standing(evidence, sound, start + 1s) == prompt_standing::sound);
    CHECK(standing(peer, sound, start + 1s) == prompt_standing::sound);
    CHECK(standing(peer, bad, start + 1s) == prompt_standing::blocked);
}

// Guards against evidence that fades while nodes repeat an answer to each other: each time it
// arrives a bit younger than it was sent.
TEST_CASE("an answer that nodes exchange does not clear crashes that came after it")
{
    constexpr duration travel_time = 20ms;
    crash_evidence evidence;
    crash_evidence peer;
    constexpr int crashes = 8;
    evidence.note_answer({sound}, start - 10s);
    crash_servers(evidence, crashes, start, {sound});
    REQUIRE(evidence.judge({sound}, start).crashes == crashes);
    time_point now = start;
    for (int round = 0; round < 1000; ++round) {
        peer.merge(reports_of(evidence, now), now + travel_time);
        evidence.merge(reports_of(peer, now + travel_time), now + 2 * travel_time);
        now += 2 * travel_time;
    }
    CHECK(evidence.judge({sound}, now).crashes == crashes);
    CHECK(peer.judge({sound}, now).crashes == crashes);
}

TEST_CASE("an answer that an older node repeats without a stamp does not move forward either")
{
    crash_evidence evidence;
    constexpr int crashes = 8;
    evidence.note_answer({sound}, start - 10s);
    crash_servers(evidence, crashes, start, {sound});
    time_point now = start;
    for (int round = 0; round < 1000; ++round) {
        auto reports = reports_of(evidence, now);
        reports.at(0).answered->stamp = 0;
        now += 20ms;
        evidence.merge(reports, now);
    }
    CHECK(evidence.judge({sound}, now).crashes == crashes);
}

// Guards against forgetting the crashing part because many parts were in crashes that an answer has
// cleared since.
TEST_CASE("in a full table parts whose crashes were cleared make room for others")
{
    crash_evidence evidence(small_table());
    for (int i = 0; i < 64; ++i) {
        const std::vector<std::string> part{"cleared" + std::to_string(i)};
        evidence.note_crash(server(1000 + 2 * i), part, start);
        evidence.note_crash(server(1001 + 2 * i), part, start);
        evidence.note_answer(part, start + 1s);
    }
    for (int i = 0; i < 3; ++i) {
        evidence.note_crash(server(i), {"own" + std::to_string(i), bad}, start + 2s);
    }
    CHECK(standing(evidence, bad, start + 2s) == prompt_standing::blocked);
}

// Guards against adding the parts of a call one by one so that each takes the room of the one
// before.
TEST_CASE("in a full table the parts of one call don't push out each other")
{
    crash_evidence evidence(small_table());
    for (int i = 0; i < 64; ++i) {
        evidence.note_crash(server(1000 + i), {"other" + std::to_string(i)}, start);
    }
    for (int i = 0; i < 3; ++i) {
        evidence.note_crash(server(i), {bad, "own" + std::to_string(i)},
                            start + std::chrono::seconds(i + 1));
    }
    CHECK(standing(evidence, bad, start + 4s) == prompt_standing::blocked);
}

// Guards against crashes that two nodes with full lists replace for each other forever.
TEST_CASE("nodes with more crashes of a part than they keep agree on some of them")
{
    crash_evidence first;
    crash_evidence second;
    for (int i = 0; i < 60; ++i) {
        crash_evidence& seen_by = i % 2 == 0 ? first : second;
        seen_by.note_crash(server(i), {bad}, start + std::chrono::milliseconds(i));
    }
    time_point now = start + 1s;
    const auto exchange = [&] {
        first.merge(reports_of(second, now), now + 20ms);
        second.merge(reports_of(first, now + 20ms), now + 40ms);
        now += 100ms;
    };
    for (int round = 0; round < 50; ++round) {
        exchange();
    }
    const auto settled = first.report_of(bad, now)->crashes;
    exchange();
    const auto later = first.report_of(bad, now)->crashes;
    REQUIRE(later.size() == settled.size());
    for (const auto& [crashed, age] : settled) {
        CHECK(later.contains(crashed));
    }
}

TEST_CASE("a node whose clock is slow can clear a part, too")
{
    crash_evidence evidence;
    std::vector<part_report> reports(1);
    reports[0].part = sound;
    constexpr std::uint64_t distant_future = 1ULL << 62U; // The stamp of a fast clock.
    reports[0].answered = part_answer{10s, distant_future};
    for (int i = 0; i < 7; ++i) {
        reports[0].crashes[server(i)] = std::chrono::seconds(i);
    }
    evidence.merge(reports, start);
    CHECK(evidence.judge({sound}, start + 7s).crashes == 7);
    CHECK(standing(evidence, sound, start + 7s) != prompt_standing::sound);
    evidence.note_answer({sound}, start + 7s);
    CHECK(standing(evidence, sound, start + 7s) == prompt_standing::sound);
}

TEST_CASE("a part that was answered before is doubtful only after six crashes")
{
    crash_evidence evidence;
    evidence.note_answer({sound}, start - 10s);
    crash_servers(evidence, 5, start, {sound});
    CHECK(standing(evidence, sound, start) == prompt_standing::sound);
    evidence.note_crash(server(5), {sound}, start);
    CHECK(standing(evidence, sound, start + 39s) == prompt_standing::blocked);
    CHECK(standing(evidence, sound, start + 40s) == prompt_standing::doubtful); // After 10 x 4 s.
}

TEST_CASE("after a block a part is tried, a further crash renews it, and the evidence expires")
{
    const crash_evidence_settings settings;
    crash_evidence evidence;
    crash_servers(evidence, 3, start, {bad});
    CHECK(standing(evidence, bad, start + settings.rules.block_time - 1s) ==
          prompt_standing::blocked);
    const time_point later = start + settings.rules.block_time + 1s;
    CHECK(standing(evidence, bad, later) == prompt_standing::doubtful);
    evidence.note_crash(server(9), {bad}, later);
    CHECK(standing(evidence, bad, later) == prompt_standing::blocked);
    const time_point expired = later + settings.retention + 1s;
    CHECK(reports_of(evidence, expired).empty());
    CHECK(standing(evidence, bad, expired) == prompt_standing::untested);
}

TEST_CASE("the evidence is bounded, and parts with few crashes make room for those with more")
{
    const crash_evidence_settings settings = small_table();
    crash_evidence evidence(settings);
    crash_servers(evidence, 3, start, {bad});
    for (int i = 0; i < 1000; ++i) {
        evidence.note_crash(server(100 + i), {"once" + std::to_string(i)}, start);
    }
    CHECK(evidence.next_reports(10'000, all_crashes, start).size() <= settings.max_parts);
    CHECK(standing(evidence, bad, start) == prompt_standing::blocked);
    crash_servers(evidence, 200, start, {bad});
    CHECK(evidence.report_of(bad, start)->crashes.size() <= settings.max_crashes);
    for (int i = 0; i < 10'000; ++i) {
        evidence.note_answer({std::to_string(i)}, start);
    }
    CHECK(standing(evidence, bad, start) == prompt_standing::blocked);
}

// Guards against forgetting the crashing part because its prompt has more parts than the table.
TEST_CASE("in a full table a part that was never answered takes the room of one that was")
{
    crash_evidence evidence(small_table());
    std::vector<std::string> prompt;
    for (int i = 0; i < 300; ++i) {
        prompt.push_back("shared" + std::to_string(i));
    }
    evidence.note_answer(prompt, start - 1s);
    prompt.push_back(bad);
    crash_servers(evidence, 3, start, prompt);
    CHECK(standing(evidence, bad, start) == prompt_standing::blocked);
    CHECK(standing(evidence, "shared299", start) == prompt_standing::sound);
}

// Guards against peers that learn of the crashing part late, behind the sound ones of its prompts.
TEST_CASE("each round of reports tells of the parts that were never answered, and then of others")
{
    constexpr std::size_t max_reports = 12;
    constexpr std::size_t max_crashes = 64;
    crash_evidence evidence;
    std::vector<std::string> prompt;
    for (int i = 0; i < 300; ++i) {
        prompt.push_back("shared" + std::to_string(i));
    }
    evidence.note_answer(prompt, start - 1s);
    prompt.push_back(bad);
    crash_servers(evidence, 5, start, prompt);
    std::set<std::string> reported;
    for (int round = 0; round < 30; ++round) {
        const auto reports = evidence.next_reports(max_reports, max_crashes, start);
        CHECK(std::any_of(reports.begin(), reports.end(),
                          [](const part_report& report) { return report.part == bad; }));
        for (const part_report& report : reports) {
            reported.insert(report.part);
        }
    }
    CHECK(reported.size() == 301);
}

TEST_CASE("the reports of successive rounds cover all parts, by parts and by crashes")
{
    crash_evidence evidence;
    for (int i = 0; i < 30; ++i) {
        const std::vector<std::string> part{std::to_string(i)};
        evidence.note_crash(server(2 * i), part, start);
        evidence.note_crash(server(2 * i + 1), part, start);
    }
    constexpr std::size_t no_limit = 1000;
    for (const auto& [max_reports, max_crashes] :
         {std::pair<std::size_t, std::size_t>(10, no_limit), {no_limit, 20}}) {
        std::set<std::string> reported;
        for (int round = 0; round < 3; ++round) {
            const auto reports = evidence.next_reports(max_reports, max_crashes, start);
            CHECK(reports.size() == 10);
            for (const part_report& report : reports) {
                reported.insert(report.part);
            }
        }
        CHECK(reported.size() == 30);
    }
}
