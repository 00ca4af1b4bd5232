/** \file
 * Tests which parts of prompts are blocked after crashes: the one that crashes servers, at all
 * nodes and for a bounded time, and none of those that were there by chance.
 */
#include <doctest/doctest.h>

#include <deque>
#include <set>

#include "base/random.h"
#include "routing/crash_evidence.h"

using namespace chervildyke;

namespace {

constexpr time_point start{1000s};
const prompt_part bad{"pool", "m", "bad"};
const prompt_part sound{"pool", "m", "sound"};

backend_incarnation server(int number)
{
    return {"i" + std::to_string(number), 1};
}

/** Reports the crashes of `count` servers, one second apart, ending at `until`. */
void crash_servers(crash_evidence& evidence, int count, time_point until,
                   const std::vector<prompt_part>& parts)
{
    for (int i = 0; i < count; ++i) {
        evidence.note_crash(server(i), parts, until - std::chrono::seconds(count - 1 - i));
    }
}

} // namespace

TEST_CASE("a part is blocked after the crashes of three servers, and a further call isn't retried")
{
    crash_evidence evidence;
    int blocked = 0;
    evidence.on_blocked = [&](const part_report&) { ++blocked; };
    evidence.note_crash(server(1), {bad}, start);
    CHECK_FALSE(evidence.is_suspect({bad}, start));
    evidence.note_crash(server(2), {bad}, start + 1s);
    CHECK(evidence.is_suspect({bad}, start + 1s));
    CHECK_FALSE(evidence.find_blocked({bad}, start + 1s));
    evidence.note_crash(server(3), {bad}, start + 2s);
    const auto found = evidence.find_blocked({sound, bad}, start + 2s);
    REQUIRE(found);
    CHECK(found->part == bad);
    CHECK(found->crashes == 3);
    CHECK(blocked == 1);
    CHECK_FALSE(evidence.find_blocked({sound}, start + 2s));
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
    evidence.merge(peer.next_reports(10, start + 100ms), start + 100ms);
    CHECK_FALSE(evidence.is_suspect({bad}, start + 100ms));
    evidence.note_crash({"i1", 2}, {bad}, start + 4s);
    CHECK(evidence.is_suspect({bad}, start + 4s));
}

// Guards against blaming a part of sound calls that were in progress at servers which crashed.
TEST_CASE("an answer at any node clears a part that shared the crashes")
{
    crash_evidence evidence;
    crash_evidence peer;
    crash_servers(evidence, 3, start, {bad, sound});
    CHECK(evidence.find_blocked({sound}, start));
    peer.note_answer({sound}, start + 1s);
    peer.merge(evidence.next_reports(10, start + 1s), start + 1s);
    evidence.merge(peer.next_reports(10, start + 1s), start + 1s);
    CHECK_FALSE(evidence.find_blocked({sound}, start + 1s));
    CHECK_FALSE(peer.find_blocked({sound}, start + 1s));
    CHECK(peer.find_blocked({bad}, start + 1s));
}

TEST_CASE("a part that was answered before is blocked only after six crashes")
{
    crash_evidence evidence;
    evidence.note_answer({sound}, start - 10s);
    crash_servers(evidence, 5, start, {sound});
    CHECK_FALSE(evidence.find_blocked({sound}, start));
    evidence.note_crash(server(5), {sound}, start);
    CHECK(evidence.find_blocked({sound}, start));
}

TEST_CASE("a block ends, a further crash renews it, and in the end the evidence expires")
{
    const crash_evidence_settings settings;
    crash_evidence evidence;
    crash_servers(evidence, 3, start, {bad});
    CHECK(evidence.find_blocked({bad}, start + settings.block_time - 1s));
    const time_point later = start + settings.block_time + 1s;
    CHECK_FALSE(evidence.find_blocked({bad}, later));
    evidence.note_crash(server(9), {bad}, later);
    CHECK(evidence.find_blocked({bad}, later));
    const time_point expired = later + settings.retention + 1s;
    CHECK_FALSE(evidence.find_blocked({bad}, expired));
    CHECK(evidence.next_reports(10, expired).empty());
}

TEST_CASE("the evidence is bounded, and parts with few crashes make room for those with more")
{
    const crash_evidence_settings settings;
    crash_evidence evidence;
    crash_servers(evidence, 3, start, {bad});
    for (int i = 0; i < 1000; ++i) {
        const prompt_part once{"pool", "m", "once" + std::to_string(i)};
        evidence.note_crash(server(100 + i), {once}, start);
    }
    CHECK(evidence.next_reports(10'000, start).size() <= settings.max_parts);
    CHECK(evidence.find_blocked({bad}, start));
    crash_servers(evidence, 40, start, {bad});
    CHECK(evidence.report_of(bad, start)->crashes.size() <= settings.max_crashes);
    for (int i = 0; i < 10'000; ++i) {
        evidence.note_answer({{"pool", "m", std::to_string(i)}}, start);
    }
    CHECK(evidence.find_blocked({bad}, start));
}

TEST_CASE("the reports of successive rounds cover all parts")
{
    crash_evidence evidence;
    for (int i = 0; i < 30; ++i) {
        evidence.note_crash(server(i), {{"pool", "m", std::to_string(i)}}, start);
    }
    std::set<std::string> reported;
    for (int round = 0; round < 3; ++round) {
        for (const part_report& report : evidence.next_reports(10, start)) {
            reported.insert(report.part.id);
        }
    }
    CHECK(reported.size() == 30);
}

namespace {

/** Nodes that exchange their evidence every 100 ms with losses, and servers that crash on a part.
 * No sockets and no clock: time advances in steps.
 */
class crashing_fleet {
  public:
    static constexpr duration step = 100ms;
    static constexpr duration settle = 3s;
    static constexpr std::size_t shared_parts = 12;

    explicit crashing_fleet(std::uint64_t seed) : random_(seeded_random(seed)), nodes_(8) {}

    void run(duration length)
    {
        for (const time_point end = now_ + length; now_ < end; now_ += step) {
            disturb();
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (now_ < nodes_[i].frozen_until) {
                    continue;
                }
                send_sound_calls(nodes_[i]);
                if (random_fraction(random_) < 0.05) {
                    send_crashing_call(nodes_[i]);
                }
                gossip(i);
            }
        }
    }

    int crashes = 0;
    int late_arrivals = 0; // Crashing calls later than the settle time after the fifth crash.
    int sound_calls = 0;   // From then on.
    int sound_refused = 0;

  private:
    struct node {
        crash_evidence evidence = crash_evidence();
        time_point frozen_until{};
        time_point undisturbed_since{};
    };

    prompt_part shared(std::uint64_t number) const
    {
        return {"pool", "m", "shared" + std::to_string(number)};
    }

    /** Now and then a node restarts without its evidence, is new, or stands still. */
    void disturb()
    {
        node& hit = nodes_[random_below(random_, nodes_.size())];
        const double drawn = random_fraction(random_);
        if (drawn < 0.01) {
            hit = node{};
            hit.undisturbed_since = now_;
        }
        else if (drawn < 0.02) {
            hit.frozen_until = now_ + 2s;
            hit.undisturbed_since = hit.frozen_until;
        }
        else if (drawn < 0.025 && nodes_.size() < 12) {
            nodes_.emplace_back().undisturbed_since = now_;
        }
    }

    bool settled() const { return fifth_crash_ && now_ > *fifth_crash_ + settle; }

    void send_sound_calls(node& at)
    {
        for (int i = 0; i < 3; ++i) {
            const prompt_part part = shared(random_below(random_, shared_parts));
            const bool refused = at.evidence.find_blocked({part}, now_).has_value();
            if (settled()) {
                ++sound_calls;
                sound_refused += refused ? 1 : 0;
            }
            if (!refused) {
                at.evidence.note_answer({part}, now_);
            }
        }
    }

    void send_crashing_call(node& at)
    {
        const prompt_part first = shared(random_below(random_, shared_parts));
        if (at.evidence.find_blocked({first, bad}, now_)) {
            return;
        }
        const bool in_touch = now_ - at.undisturbed_since >= settle;
        late_arrivals += settled() && in_touch ? 1 : 0;
        const backend_incarnation crashed = server(++crashes);
        if (crashes == 5) {
            fifth_crash_ = now_;
        }
        at.evidence.note_crash(crashed, {first, bad}, now_);
        // Sound calls of other nodes were starting at the same server.
        node& other = nodes_[random_below(random_, nodes_.size())];
        other.evidence.note_crash(crashed, {shared(random_below(random_, shared_parts))}, now_);
    }

    void gossip(std::size_t from)
    {
        const auto reports = nodes_[from].evidence.next_reports(12, now_);
        for (std::size_t to = 0; to < nodes_.size(); ++to) {
            const bool lost = random_fraction(random_) < 0.2 || now_ < nodes_[to].frozen_until;
            if (to != from && !lost) {
                nodes_[to].evidence.merge(reports, now_);
            }
        }
    }

    random_source random_;
    std::deque<node> nodes_;
    time_point now_ = start;
    std::optional<time_point> fifth_crash_;
};

} // namespace

// Guards against crashes that go on because nodes restart, freeze, are new or miss datagrams.
TEST_CASE("in a disturbed fleet a crashing part soon reaches no server, and sound calls go on")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        crashing_fleet fleet(seed);
        fleet.run(60s);
        CHECK(fleet.crashes >= 3);
        CHECK(fleet.late_arrivals <= 3);
        CHECK(fleet.sound_refused * 2 <= fleet.sound_calls); // The users' bound.
    }
}
