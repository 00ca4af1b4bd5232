/** \file
 * Tests fleets of nodes that exchange crash evidence: a part that crashes servers soon reaches
 * none, and sound calls go on.
 */
#include <doctest/doctest.h>

#include <deque>
#include <string>
#include <vector>

#include "base/random.h"
#include "routing/crash_evidence.h"
#include "routing/prompt_turns.h"
#include "support/crash_simulation.h"

using namespace chervildyke;

namespace {

constexpr time_point start{1000s};
const std::string bad = "bad";

backend_incarnation server(int number)
{
    return {"i" + std::to_string(number), 1};
}

} // namespace

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
        prompt_turns turns = prompt_turns(seeded_random(1));
        time_point frozen_until{};
        time_point undisturbed_since{};
    };

    static std::string shared(std::uint64_t number) { return "shared" + std::to_string(number); }

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

    /** Calls last less than a step, so turns end at once; only the draw of doubtful parts counts.
     */
    bool may_send(node& at, const std::vector<std::string>& parts)
    {
        at.turns.set_nodes(nodes_.size());
        const prompt_verdict verdict = at.evidence.judge(parts, now_);
        return verdict.standing != prompt_standing::blocked &&
               at.turns.take(verdict, now_) != nullptr;
    }

    void send_sound_calls(node& at)
    {
        for (int i = 0; i < 3; ++i) {
            const std::string part = shared(random_below(random_, shared_parts));
            const bool refused = !may_send(at, {part});
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
        const std::string first = shared(random_below(random_, shared_parts));
        if (!may_send(at, {first, bad})) {
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
        const auto reports = nodes_[from].evidence.next_reports(12, 64, now_);
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

// Guards against refusing sound prompts after a burst of prompts of which one part crashes servers,
// and against sending further ones of these. The bounds are those of the users' rules.
TEST_CASE("after a burst of crashing prompts, sound ones are served and no more servers crash")
{
    const std::vector<std::size_t> fleets{3, 8, 64};
    const std::vector<std::size_t> bursts{1, 6, 64};
    constexpr std::size_t small_fleet = 8;
    for (const std::size_t nodes : fleets) {
        for (const std::size_t burst : bursts) {
            if (burst < nodes && nodes > small_fleet) {
                continue; // Most nodes of a large fleet see nothing of a small burst.
            }
            for (const bool answered_before : {true, false}) {
                for (const bool varied_first_part : {true, false}) {
                    test::crash_scenario scenario;
                    scenario.nodes = nodes;
                    scenario.burst = burst;
                    scenario.answered_before = answered_before;
                    scenario.varied_first_part = varied_first_part;
                    scenario.seed = nodes + burst;
                    CAPTURE(nodes);
                    CAPTURE(burst);
                    CAPTURE(answered_before);
                    CAPTURE(varied_first_part);
                    const test::crash_outcome outcome = test::crash_simulation(scenario).run();
                    CHECK(outcome.late_arrivals <= 3);
                    CHECK(outcome.sound_refused * 2 <= outcome.sound_calls);
                    CHECK(outcome.known_after.has_value());
                }
            }
        }
    }
}

// The users' rules name one such part at a time; two must not block the sound ones either.
TEST_CASE("after a burst of prompts with two crashing parts, sound ones are served")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        test::crash_scenario scenario;
        scenario.bad_parts = 2;
        scenario.burst = 12;
        scenario.answered_before = seed % 2 == 0;
        scenario.seed = seed;
        const test::crash_outcome outcome = test::crash_simulation(scenario).run();
        CHECK(outcome.late_arrivals <= 3);
        CHECK(outcome.sound_refused * 2 <= outcome.sound_calls);
        CHECK(outcome.known_after.has_value());
    }
}

// Guards against a limit on parts that leaves the crashing one out: it is then never blocked, or
// the sound ones before it are blocked in its place.
TEST_CASE("a crashing part is found behind as many sound ones as a prompt can have")
{
    for (const std::size_t sound_parts : {17U, 40U, 100U, 300U, 1000U}) {
        for (const bool answered_before : {true, false}) {
            CAPTURE(sound_parts);
            CAPTURE(answered_before);
            test::crash_scenario scenario;
            scenario.sound_parts = sound_parts;
            scenario.answered_before = answered_before;
            const test::crash_outcome outcome = test::crash_simulation(scenario).run();
            CHECK(outcome.late_arrivals <= 3);
            CHECK(outcome.sound_refused * 2 <= outcome.sound_calls);
            CHECK(outcome.known_after.has_value());
        }
    }
}
