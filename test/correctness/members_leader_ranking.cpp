/** \file
 * Tests which node is the leader, which assembles replicas. Guards against a choice by name alone:
 * in a load test that lost many VMs at once, the first node by name was the smallest one of the
 * fleet, and each of eight steps of a repair waited for its slow plan.
 */
#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "members/leader_ranking.h"

using namespace chervildyke;

TEST_CASE("the node with the most processor time leads, not the first by name")
{
    const leader_candidate small{"a", 0.12, false};
    const leader_candidate large{"b", 0.5, false};
    CHECK(ranks_before(large, small));
    CHECK_FALSE(ranks_before(small, large));
}

TEST_CASE(
    "a leader stays when another node is a little larger, and is replaced by a far larger one")
{
    const leader_candidate leader{"b", 0.25, true};
    CHECK(ranks_before(leader, {"a", 0.4, false}));
    CHECK(ranks_before({"a", 0.6, false}, leader));
}

TEST_CASE("of equal nodes the present leader ranks first, then the first by name")
{
    CHECK(ranks_before({"b", 0.25, true}, {"a", 0.25, false}));
    CHECK(ranks_before({"a", 0.25, false}, {"b", 0.25, false}));
    CHECK(ranks_before({"a", 0, false}, {"b", 0, false})); // Nodes without a configured share.
}

TEST_CASE("of two leaders all nodes choose the same one")
{
    std::vector<leader_candidate> nodes = {
        {"a", 0.12, true}, {"b", 0.5, false}, {"c", 0.3, true}, {"d", 0.5, false}};
    const auto first = std::min_element(nodes.begin(), nodes.end(), ranks_before);
    CHECK(first->name == "c");
    std::reverse(nodes.begin(), nodes.end());
    CHECK(std::min_element(nodes.begin(), nodes.end(), ranks_before)->name == "c");
}

// Guards against a leader that takes sound servers for lost and retires their replicas, since its
// own links to them have failed.
TEST_CASE("a node that reaches no engine leads only if no node reaches any")
{
    const leader_candidate cut_off{"a", 0.5, true, true};
    const leader_candidate sound{"b", 0.12, false, false};
    CHECK(ranks_before(sound, cut_off));
    CHECK_FALSE(ranks_before(cut_off, sound));
    CHECK(ranks_before(cut_off, {"b", 0.12, false, true}));
}
