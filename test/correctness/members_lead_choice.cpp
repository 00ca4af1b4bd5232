/** \file
 * Tests which node assembles replicas. The load answered: a wave of lost VMs on a fleet whose first
 * node by name is its smallest, where each of eight steps of a repair waited for a slow plan.
 */
#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "members/lead_choice.h"

using namespace chervildyke;

TEST_CASE("the node with the most processor time leads, not the first by name")
{
    const lead_candidate small{"a", 0.12, false};
    const lead_candidate large{"b", 0.5, false};
    CHECK(goes_first(large, small));
    CHECK_FALSE(goes_first(small, large));
}

TEST_CASE(
    "a leader goes on beside a node that is a little larger, and gives way to a far larger one")
{
    const lead_candidate leader{"b", 0.25, true};
    CHECK(goes_first(leader, {"a", 0.4, false}));
    CHECK(goes_first({"a", 0.6, false}, leader));
}

TEST_CASE("among equal nodes the leader, then the first by name")
{
    CHECK(goes_first({"b", 0.25, true}, {"a", 0.25, false}));
    CHECK(goes_first({"a", 0.25, false}, {"b", 0.25, false}));
    CHECK(goes_first({"a", 0, false}, {"b", 0, false})); // Nodes that were told no share.
}

TEST_CASE("two leaders: all nodes keep the same one")
{
    std::vector<lead_candidate> nodes = {
        {"a", 0.12, true}, {"b", 0.5, false}, {"c", 0.3, true}, {"d", 0.5, false}};
    const auto first = std::min_element(nodes.begin(), nodes.end(), goes_first);
    CHECK(first->name == "c");
    std::reverse(nodes.begin(), nodes.end());
    CHECK(std::min_element(nodes.begin(), nodes.end(), goes_first)->name == "c");
}
