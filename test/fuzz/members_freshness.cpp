/** \file
 * Fuzzes the ages that nodes learn from each other, against an oracle that records when each read
 * of the log began. Datagrams are delayed, lost and repeated and processes are suspended; no node
 * may consider its data younger than they are.
 */
#include <doctest/doctest.h>

#include <map>

#include <rapidcheck.h>

#include "members/freshness_questions.h"

using namespace chervildyke;

namespace {

struct datagram {
    std::size_t to = 0;
    std::uint64_t nonce = 0;
    std::optional<duration> age; // None: a question.
    std::size_t from = 0;
    duration read_began_at{}; // For the oracle: when the read began from which the age counts.
};

struct fuzzed_node {
    explicit fuzzed_node(std::uint64_t seed) : questions(seeded_random(seed)) {}

    freshness_questions questions;
    std::optional<duration> confirmed_at; // From when the node considers its data.
    duration read_began_at{};             // For the oracle: of the read that gave its data.
};

/** Nodes with a simulated network that delays, reorders, repeats and drops datagrams. */
struct freshness_model {
    freshness_model()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            nodes.emplace_back(seed);
        }
    }

    void read(std::size_t node, duration took)
    {
        nodes[node].confirmed_at = now;
        nodes[node].read_began_at = now;
        now += took;
    }

    void ask(std::size_t from, std::size_t to)
    {
        in_flight.push_back({to, nodes[from].questions.add(now), std::nullopt, from, {}});
    }

    /** \param suspended how long the answering node is suspended between reading its age and
     * sending it.
     */
    void deliver(std::size_t index, bool keep_copy, duration suspended)
    {
        if (in_flight.empty()) {
            return;
        }
        const datagram received = in_flight[index % in_flight.size()];
        if (!keep_copy) {
            in_flight.erase(in_flight.begin() +
                            static_cast<std::ptrdiff_t>(index % in_flight.size()));
        }
        fuzzed_node& node = nodes[received.to];
        if (!received.age) {
            if (node.confirmed_at) {
                const duration age = now - *node.confirmed_at;
                in_flight.push_back(
                    {received.from, received.nonce, age, received.to, node.read_began_at});
                now += suspended;
            }
            return;
        }
        const auto age = node.questions.resolve(received.nonce, *received.age, now);
        if (!age) {
            return;
        }
        RC_ASSERT(now - *age <= received.read_began_at);
        if (!node.confirmed_at || now - *age > *node.confirmed_at) {
            node.confirmed_at = now - *age;
            node.read_began_at = received.read_began_at;
        }
    }

    duration now = 100s;
    std::vector<fuzzed_node> nodes;
    std::vector<datagram> in_flight;
};

} // namespace

TEST_CASE("no delay, repetition or suspension makes data look younger than they are")
{
    CHECK(rc::check([] {
        freshness_model model;
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 3), rc::gen::inRange(0, 9),
                           rc::gen::inRange(0, 3000)));
        for (const auto& [kind, node, other, ms] : steps) {
            const auto span = std::chrono::milliseconds(ms);
            const auto index = static_cast<std::size_t>(other);
            const auto from = static_cast<std::size_t>(node);
            switch (kind) {
            case 0:
                model.read(from, span);
                break;
            case 1:
                model.ask(from, index % model.nodes.size());
                break;
            case 2:
                model.now += span;
                break;
            default:
                model.deliver(index, kind == 3, span);
                break;
            }
        }
    }));
}

TEST_CASE("an answer resolves its question once, and an answer to no question is ignored")
{
    freshness_questions questions(seeded_random(1));
    const std::uint64_t nonce = questions.add(10s);
    CHECK_FALSE(questions.resolve(nonce + 1, 0ms, 11s));
    CHECK_FALSE(questions.resolve(0, 0ms, 11s));
    CHECK_FALSE(questions.resolve(nonce, -1s, 11s));
    CHECK(questions.resolve(nonce, 200ms, 11s) == std::optional<duration>(1200ms));
    CHECK_FALSE(questions.resolve(nonce, 200ms, 11s));
}

TEST_CASE("only the newest unanswered questions are kept")
{
    freshness_questions questions(seeded_random(1));
    const std::uint64_t first = questions.add(10s);
    for (int i = 0; i < 32; ++i) {
        questions.add(10s);
    }
    CHECK_FALSE(questions.resolve(first, 0ms, 11s));
}
