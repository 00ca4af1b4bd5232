/** \file
 * Fuzzes the ages that nodes learn from each other, against an oracle that knows when each read of
 * the log began: whatever is delayed, lost, repeated or suspended on the way, no node may think its
 * word younger than it is.
 */
#include <doctest/doctest.h>

#include <map>

#include <rapidcheck.h>

#include "members/freshness_asker.h"

using namespace chervildyke;

namespace {

struct datagram {
    std::size_t to = 0;
    std::uint64_t nonce = 0;
    std::optional<duration> age; // None: a question.
    std::size_t from = 0;
    duration true_read{}; // For the oracle: when the read that the age counts from began.
};

struct fuzzed_node {
    explicit fuzzed_node(std::uint64_t seed) : asker(seeded_random(seed)) {}

    freshness_asker asker;
    std::optional<duration> confirmed_at; // As the node believes.
    duration true_read{};                 // Of its newest word.
};

/** Nodes with a network that keeps, repeats and drops datagrams as it likes. */
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
        nodes[node].true_read = now;
        now += took;
    }

    void ask(std::size_t from, std::size_t to)
    {
        on_the_way.push_back({to, nodes[from].asker.ask(now), std::nullopt, from, {}});
    }

    /** \param held how long the receiver is suspended between reading its age and sending it. */
    void deliver(std::size_t index, bool keep_copy, duration held)
    {
        if (on_the_way.empty()) {
            return;
        }
        const datagram got = on_the_way[index % on_the_way.size()];
        if (!keep_copy) {
            on_the_way.erase(on_the_way.begin() +
                             static_cast<std::ptrdiff_t>(index % on_the_way.size()));
        }
        fuzzed_node& node = nodes[got.to];
        if (!got.age) {
            if (node.confirmed_at) {
                const duration age = now - *node.confirmed_at;
                on_the_way.push_back({got.from, got.nonce, age, got.to, node.true_read});
                now += held;
            }
            return;
        }
        const auto age = node.asker.age_at(got.nonce, *got.age, now);
        if (!age) {
            return;
        }
        RC_ASSERT(now - *age <= got.true_read);
        if (!node.confirmed_at || now - *age > *node.confirmed_at) {
            node.confirmed_at = now - *age;
            node.true_read = got.true_read;
        }
    }

    duration now = 100s;
    std::vector<fuzzed_node> nodes;
    std::vector<datagram> on_the_way;
};

} // namespace

TEST_CASE("no delay, repeat or suspension makes an old word look young")
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

TEST_CASE("an answer is taken once, and one to no question not at all")
{
    freshness_asker asker(seeded_random(1));
    const std::uint64_t nonce = asker.ask(10s);
    CHECK_FALSE(asker.age_at(nonce + 1, 0ms, 11s));
    CHECK_FALSE(asker.age_at(0, 0ms, 11s));
    CHECK_FALSE(asker.age_at(nonce, -1s, 11s));
    CHECK(asker.age_at(nonce, 200ms, 11s) == std::optional<duration>(1200ms));
    CHECK_FALSE(asker.age_at(nonce, 200ms, 11s));
}

TEST_CASE("an asker remembers few questions")
{
    freshness_asker asker(seeded_random(1));
    const std::uint64_t first = asker.ask(10s);
    for (int i = 0; i < 8; ++i) {
        asker.ask(10s);
    }
    CHECK_FALSE(asker.age_at(first, 0ms, 11s));
}
