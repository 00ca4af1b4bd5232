/** \file
 * Tests what the nodes of a large fleet hear of each other, over sockets.
 */
#include <doctest/doctest.h>

#include <map>
#include <set>

#include <boost/asio.hpp>

#include "base/task.h"
#include "members/peer_exchange.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

constexpr int nodes_per_domain = 16;
constexpr duration interval = 50ms;

/** Nodes of two failure domains; the last one runs by itself, so that it can die. */
struct large_fleet {
    large_fleet()
    {
        for (int i = 0; i < 2 * nodes_per_domain; ++i) {
            add_node(i);
        }
        for (const auto& node : nodes) {
            for (const auto& [address, port] : ports) {
                node->introduce(address, port);
            }
        }
    }

    void add_node(int index)
    {
        asio::io_context& where = index + 1 < 2 * nodes_per_domain ? context : last_context;
        const std::string domain = index < nodes_per_domain ? "a" : "b";
        const std::string address = "127.0.9." + std::to_string(index + 1);
        peer_exchange_settings settings;
        settings.interval = interval;
        settings.silence_limit = 12 * interval;
        settings.failure_domain = domain;
        const auto describe = [index, address, domain](schema::peer_word& word) {
            word.set_name(std::to_string(index));
            word.set_address(address);
            word.set_port(7340);
            word.set_incarnation(1);
            word.set_failure_domain(domain);
            word.set_leading(index == 0);
        };
        auto node = std::make_shared<peer_exchange>(
            where.get_executor(), describe, seeded_random(static_cast<std::uint64_t>(index) + 1),
            settings);
        node->on_word = [this, index](const schema::peer_word& word) {
            ++heard[index][word.name()];
        };
        REQUIRE(node->listen(address, 7340));
        spawn_task(where.get_executor(), "words", node->send_words());
        spawn_task(where.get_executor(), "reader", node->receive_words());
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
    std::vector<std::shared_ptr<peer_exchange>> nodes;
    std::vector<std::pair<std::string, std::uint16_t>> ports;
    std::map<int, std::map<std::string, int>> heard;
};

} // namespace

TEST_CASE("nodes of a large fleet hear their own domain often and know of every node")
{
    large_fleet fleet;
    fleet.run(1s);
    for (const auto& node : fleet.nodes) {
        CHECK(node->is_large());
        CHECK(node->live().size() == fleet.nodes.size() - 1);
    }
    fleet.heard.clear();
    fleet.run(2s); // Forty intervals.
    const auto& words = fleet.heard[1];
    CHECK(words.at("2") > words.at("20") * 2); // Of the same domain, and of the other.
    CHECK(words.at("0") > words.at("20"));     // The leading node.
    CHECK(fleet.heard[20].at("0") > fleet.heard[20].at("2") * 2);
    CHECK(fleet.heard[0].at("20") > fleet.heard[1].at("20") * 2); // And is told more often.
    SUBCASE("a node that dies is missed everywhere, also where it spoke seldom")
    {
        fleet.run(3s, false);
        for (int i = 0; i + 1 < 2 * nodes_per_domain; ++i) {
            CHECK(fleet.nodes[static_cast<std::size_t>(i)]->live().size() ==
                  fleet.nodes.size() - 2);
        }
    }
}
