/** \file
 * Tests that 72 nodes together keep to the rate of a cold server. Load: a failure domain of servers
 * returns cold all at once, and each node sends a call to each of them whenever it may.
 */
#include <doctest/doctest.h>

#include <algorithm>

#include "base/random.h"
#include "routing/cold_server_limit.h"
#include "routing/replica_balancer.h"

using namespace chervildyke;

namespace {

constexpr time_point start{100s};
constexpr std::size_t fleet_size = 72;
constexpr std::size_t domain_size = 12;
constexpr duration check_interval = 200ms;
const cold_start_rule rule{14, 3s};
constexpr std::size_t max_calls_in_any_second = 26; // 1.5 times the rate, and 5.

std::string node_name(std::size_t index)
{
    return "n" + std::to_string(index);
}

/** Nodes that send to cold servers whenever they may. */
struct greedy_fleet {
    greedy_fleet()
    {
        for (std::size_t i = 0; i < fleet_size; ++i) {
            nodes.emplace_back(node_name(i));
        }
        run(3s); // The nodes hear each other before the servers return.
        returned = true;
    }

    void run(duration span)
    {
        const time_point end = now + span;
        for (; now < end; now += 10ms) {
            for (std::size_t i = 0; i < fleet_size; ++i) {
                run_node(i);
            }
        }
    }

    void run_node(std::size_t index)
    {
        if (is_frozen(index)) {
            return;
        }
        cold_server_limit& node = nodes[index];
        for (std::size_t server = 0; returned && server < domain_size; ++server) {
            const std::string id = "s" + std::to_string(server);
            while (node.may_send(id, cold_until, rule, 500ms, now)) {
                node.note_chosen(id, now);
                node.note_sent(id, now);
                sent[id].push_back(now);
            }
        }
        if ((now - start) % check_interval == duration(index % 20 * 10ms)) {
            cold_limit_peers peers;
            peers.known_addresses = fleet_size - 1;
            for (std::size_t other = 0; other < fleet_size; ++other) {
                if (other != index && hears(index, other)) {
                    peers.live.insert(node_name(other));
                }
            }
            peers.available = peers.live;
            node.set_peers(peers, true, now);
        }
    }

    /** \return the most calls that one server got within any second. */
    std::size_t most_in_any_second() const
    {
        std::size_t most = 0;
        for (const auto& [id, times] : sent) {
            for (const time_point first : times) {
                const auto calls = std::count_if(times.begin(), times.end(), [&](time_point at) {
                    return at >= first && at < first + 1s;
                });
                most = std::max(most, static_cast<std::size_t>(calls));
            }
        }
        return most;
    }

    time_point now = start;
    time_point cold_until = start + 1h;
    bool returned = false;
    std::vector<cold_server_limit> nodes;
    std::map<std::string, std::vector<time_point>> sent; // By server.
    std::function<bool(std::size_t, std::size_t)> hears = [](auto, auto) { return true; };
    std::function<bool(std::size_t)> is_frozen = [](auto) { return false; };
};

listed_backend listed(std::optional<duration> remaining)
{
    listed_backend made;
    made.server.cold_remaining = remaining;
    made.last_seen_at = start;
    return made;
}

} // namespace

TEST_CASE("nodes that hear each other use the rate of each cold server and do not exceed it")
{
    greedy_fleet fleet;
    fleet.run(4s);
    CHECK(fleet.sent.size() == domain_size);
    CHECK(fleet.most_in_any_second() <= 14);
    for (const auto& [id, times] : fleet.sent) {
        CHECK(times.size() >= 4 * 12);
    }
}

// Guards against nodes that each replace others which only they don't hear.
TEST_CASE("nodes with different views of who is live stay within the limit")
{
    random_source random = seeded_random(7);
    std::vector<std::vector<double>> luck(fleet_size, std::vector<double>(fleet_size));
    for (auto& row : luck) {
        for (double& value : row) {
            value = random_fraction(random);
        }
    }
    for (const double missed : {0.05, 0.2, 0.4}) {
        greedy_fleet fleet;
        fleet.hears = [&](std::size_t node, std::size_t other) {
            return luck[node][other] >= missed;
        };
        fleet.run(5s);
        CHECK(fleet.most_in_any_second() <= max_calls_in_any_second);
        CHECK_FALSE(fleet.sent.empty());
    }
}

// Guards against two halves of a partitioned fleet that each use the whole rate.
TEST_CASE("the parts of a partitioned fleet stay within the limit together")
{
    for (const std::size_t parts : {2U, 3U, 8U, 72U}) {
        greedy_fleet fleet;
        fleet.hears = [parts](std::size_t node, std::size_t other) {
            return node % parts == other % parts;
        };
        fleet.run(10s);
        CHECK(fleet.most_in_any_second() <= max_calls_in_any_second);
        fleet.hears = [](auto, auto) { return true; };
        fleet.run(3s); // The parts hear each other again.
        CHECK(fleet.most_in_any_second() <= max_calls_in_any_second);
    }
}

// Guards against nodes that have just started or were frozen, and act on what they knew or don't
// know.
TEST_CASE("nodes that start or were frozen stay within the limit with the others")
{
    greedy_fleet fleet;
    fleet.run(1s);
    SUBCASE("a third of the nodes starts again and hears few nodes at first")
    {
        for (std::size_t i = 0; i < fleet_size; i += 3) {
            fleet.nodes[i] = cold_server_limit(node_name(i));
        }
        const time_point settled = fleet.now + 1500ms;
        fleet.hears = [&fleet, settled](std::size_t node, std::size_t other) {
            return fleet.now >= settled || node % 3 != 0 || other < 4;
        };
    }
    SUBCASE("a third of the nodes is frozen for a while, and the others take over")
    {
        const time_point frozen = fleet.now;
        fleet.is_frozen = [&fleet, frozen](std::size_t node) {
            return node % 3 == 0 && fleet.now < frozen + 2s;
        };
        fleet.hears = [&fleet, frozen](std::size_t, std::size_t other) {
            const duration passed = fleet.now - frozen;
            return other % 3 != 0 || passed < 1200ms || passed > 2100ms;
        };
    }
    fleet.run(6s);
    CHECK(fleet.most_in_any_second() <= max_calls_in_any_second);
}

TEST_CASE("a node sends nothing to a cold server before it knows the fleet and the list")
{
    cold_server_limit node("n0");
    const time_point until = start + 60s;
    cold_limit_peers alone;
    for (time_point now = start; now < start + 2s; now += check_interval) {
        CHECK_FALSE(node.may_send("s", until, rule, 0s, now));
        node.set_peers(alone, true, now);
    }
    time_point now = start + 2s;
    node.set_peers(alone, true, now);
    CHECK(node.may_send("s", until, rule, 0s, now));
    CHECK_FALSE(node.may_send("s", until, rule, 5s, now));
    CHECK_FALSE(node.may_send("s", until, rule, std::nullopt, now));
    node.set_peers(alone, false, now);
    CHECK_FALSE(node.may_send("s", until, rule, 0s, now));
    node.set_peers(alone, true, now);
    now += 3s; // Suspended.
    CHECK_FALSE(node.may_send("s", until, rule, 0s, now));
    node.set_peers(alone, true, now);
    CHECK_FALSE(node.may_send("s", until, rule, 0s, now));
}

TEST_CASE("all nodes of a small fleet share the rate, also one below a call a second")
{
    for (const cold_start_rule& slow : {cold_start_rule{14, 3s}, cold_start_rule{0.5, 3s}}) {
        cold_server_limit node("a");
        cold_limit_peers peers;
        peers.live = {"b", "c"};
        peers.available = peers.live;
        peers.known_addresses = 2;
        std::size_t sent = 0;
        for (time_point now = start; now < start + 8s; now += 100ms) {
            node.set_peers(peers, true, now);
            while (node.may_send("s", start + 1h, slow, 0s, now)) {
                node.note_chosen("s", now);
                ++sent;
            }
        }
        CHECK(sent <= (slow.calls_per_s > 1 ? 6 * 4 : 3));
    }
}

TEST_CASE("a call counts from when it is sent, and more calls pass once the server is warm")
{
    greedy_fleet fleet;
    fleet.cold_until = fleet.now + 1s;
    fleet.run(1250ms);
    CHECK(fleet.most_in_any_second() <= 14);
    fleet.run(1s);
    CHECK(fleet.most_in_any_second() > 28); // Not 72 nodes at once.
    CHECK(fleet.most_in_any_second() <= 4 * 14 + 14);
    cold_server_limit node("a");
    for (time_point now = start; now <= start + 4s; now += check_interval) {
        node.set_peers({}, true, now);
    }
    const cold_start_rule one{1, 3s};
    node.note_chosen("s", start + 3s);
    node.note_sent("s", start + 3900ms);
    CHECK_FALSE(node.may_send("s", start + 1h, one, 0s, start + 4800ms));
    CHECK(node.next_send_at("s", start + 1h, one, 0s, start + 4800ms) == start + 4901ms);
}

TEST_CASE("a server is cold by its entry, by its start or by the end of an evacuation")
{
    const auto until = [](const listed_backend& server,
                          std::optional<time_point> evacuation_ended_at = std::nullopt) {
        return cold_until(server, rule, evacuation_ended_at, start, 50'000);
    };
    CHECK(until(listed(2s)) == start + 2s);
    CHECK_FALSE(until(listed(0s)));
    listed_backend silent = listed(std::nullopt); // In the first list: its own clock tells its age.
    silent.server.started_ms = 40'000;
    CHECK_FALSE(until(silent));
    silent.server.started_ms = 49'000;
    CHECK(until(silent) == start + 2s);
    silent.appeared_at = start - 1s; // The clock of the server may be wrong.
    silent.server.started_ms = 1;
    CHECK(until(silent) == start + 2s);
    CHECK(until(silent, start - 500ms) == start + 2500ms);
    CHECK(until(listed(0s), start - 500ms) == start + 2500ms); // May have been written before.
    CHECK_FALSE(until(listed(0s), start - 1500ms));
    CHECK(until(listed(4s), start - 500ms) == start + 4s);
}

// Guards against all nodes rushing to a replica that opens without calls and with a cold head.
TEST_CASE("a replica whose head may not be called counts as full")
{
    replica_balancer balancer(seeded_random(1));
    engine_profile engine;
    engine.batch_slots = 4;
    model_profile model;
    model.name = "m";
    engine.models = {model};
    balancer.set_profile("pool", engine);
    serving_replica cold;
    cold.epoch = 1;
    cold.service = "pool";
    cold.model = "m";
    cold.head_id = "cold";
    serving_replica warm = cold;
    warm.epoch = 2;
    warm.head_id = "warm";
    balancer.head_may_be_called = [](const serving_replica& replica, time_point) {
        return replica.head_id != "cold";
    };
    balancer.set_serving({cold, warm});
    replica_request request;
    request.service = "pool";
    request.model = "m";
    for (int i = 0; i < 10; ++i) {
        CHECK(balancer.choose(request, 1, start).selected->replica.epoch == 2);
    }
    balancer.set_serving({cold});
    const replica_selection found = balancer.choose(request, 1, start);
    CHECK_FALSE(found.selected);
    CHECK(found.full == 1);
    CHECK(found.cold == 1);
}
