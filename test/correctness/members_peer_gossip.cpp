/** \file
 * Tests how the nodes of a large fleet exchange their state, over UDP sockets.
 */
#include <doctest/doctest.h>

#include <map>
#include <set>

#include <boost/asio.hpp>

#include "base/task.h"
#include "members/peer_gossip.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

constexpr int nodes_per_domain = 16;
constexpr duration interval = 50ms;

/** Nodes of two failure domains. The last one has an io_context of its own, so that a test can stop
 * it alone.
 */
struct large_fleet {
    large_fleet()
    {
        for (int i = 0; i < 2 * nodes_per_domain; ++i) {
            add_node(i);
        }
        for (const auto& node : nodes) {
            for (const auto& [address, port] : ports) {
                node->add_address(address, port);
            }
        }
    }

    void add_node(int index)
    {
        asio::io_context& context_of_node =
            index + 1 < 2 * nodes_per_domain ? context : last_context;
        const std::string domain = index < nodes_per_domain ? "a" : "b";
        const std::string address = "127.0.9." + std::to_string(index + 1);
        peer_gossip_settings settings;
        settings.interval = interval;
        settings.liveness_timeout = 12 * interval;
        settings.failure_domain = domain;
        const auto fill_state = [index, address, domain](schema::peer_word& state) {
            state.set_name(std::to_string(index));
            state.set_address(address);
            state.set_port(7340);
            state.set_incarnation(1);
            state.set_failure_domain(domain);
            state.set_leading(index == 0);
        };
        auto node = std::make_shared<peer_gossip>(
            context_of_node.get_executor(), fill_state,
            seeded_random(static_cast<std::uint64_t>(index) + 1), settings);
        node->on_state = [this, index](const schema::peer_word& state) {
            ++received[index][state.name()];
        };
        REQUIRE(node->listen(address, 7340));
        spawn_task(context_of_node.get_executor(), "sender", node->run_sender());
        spawn_task(context_of_node.get_executor(), "receiver", node->run_receiver());
        nodes.push_back(node);
        ports.emplace_back(address, 7340);
    }

    void run(duration span, bool with_last = true)
    {
        const time_point end = monotonic_clock::now() + span;
        while (monotonic_clock::now() < end) {
            context.restart();
            context.run_for(std::chrono::milliseconds(5));
            if (with_last) {
                last_context.restart();
                last_context.poll();
            }
        }
    }

    asio::io_context context;
    asio::io_context last_context;
    std::vector<std::shared_ptr<peer_gossip>> nodes;
    std::vector<std::pair<std::string, std::uint16_t>> ports;
    std::map<int, std::map<std::string, int>> received; // States, by receiver and sender's name.
};

} // namespace

TEST_CASE("nodes of a large fleet hear from their own domain often and see every node as live")
{
    large_fleet fleet;
    fleet.run(1s);
    for (const auto& node : fleet.nodes) {
        CHECK(node->fleet_exceeds_fanout());
        CHECK(node->live().size() == fleet.nodes.size() - 1);
    }
    fleet.received.clear();
    fleet.run(2s); // Forty intervals.
    const auto& counts = fleet.received[1];
    CHECK(counts.at("2") > counts.at("20") * 2); // The same domain, and the other one.
    CHECK(counts.at("0") > counts.at("20"));     // The leader.
    CHECK(fleet.received[20].at("0") > fleet.received[20].at("2") * 2);
    // Remote nodes also send to the leader more often.
    CHECK(fleet.received[0].at("20") > fleet.received[1].at("20") * 2);
    SUBCASE("a node that stops is no longer live anywhere, also where it sent rarely")
    {
        fleet.run(3s, false);
        for (int i = 0; i + 1 < 2 * nodes_per_domain; ++i) {
            CHECK(fleet.nodes[static_cast<std::size_t>(i)]->live().size() ==
                  fleet.nodes.size() - 2);
        }
    }
}
