/** \file
 * Tests that nodes of an older and of this release understand each other's messages.
 */
#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "base/task.h"
#include "platform/published_documents.h"
#include "relay/peer_topics.h"
#include "relay/shared_reading.h"
#include "support/restorable_log.h"

using namespace chervildyke;
namespace asio = boost::asio;
using asio::ip::udp;

namespace {

/** A node that follows a log, and a peer that asks it how old its configuration is. */
struct asked_node {
    asked_node()
    {
        log.write("op", {0, "config", R"({"version":4,"routes":[],"services":[]})"});
        view->on_change = [] {};
        view->on_configuration = [](const published_configuration_ptr&) {};
        view->is_leader = [] { return false; };
        spawn_task(context.get_executor(), "configuration", view->follow_configuration());
        REQUIRE(gossip->listen("127.0.0.1", 0));
        clock.advance(100ms);
    }

    schema::freshness_answer ask()
    {
        schema::peer_word question;
        question.set_address("127.0.0.1");
        question.set_port(peer.local_endpoint().port());
        question.mutable_question()->set_nonce(7);
        reading.handle_message(question);
        std::string bytes(max_datagram_bytes, '\0');
        bytes.resize(peer.receive(asio::buffer(bytes)));
        schema::peer_word answer;
        REQUIRE(answer.ParseFromString(bytes));
        REQUIRE(answer.has_answer());
        return answer.answer();
    }

    static constexpr std::size_t max_datagram_bytes = 1U << 16U;
    asio::io_context context{1};
    manual_clock clock{context};
    test::restorable_log log;
    std::shared_ptr<fleet_view> view = std::make_shared<fleet_view>(
        context.get_executor(), log.calls(std::make_shared<test::log_link>()),
        platform::make_fleet_codec(), seeded_random(1), 2s);
    std::shared_ptr<peer_gossip> gossip = std::make_shared<peer_gossip>(
        context.get_executor(), [](schema::peer_word&) {}, seeded_random(1));
    schema::relay_settings settings;
    shared_reading reading{settings, *view, *gossip, seeded_random(1)};
    udp::socket peer{context, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
};

} // namespace

// Guards against a node that the log rejected while a key was revoked and believes one that has
// just started and has read nothing but the copy that lacks the revocation.
TEST_CASE("a node that has just started does not tell others that its configuration is the newest")
{
    asked_node node;
    node.reading.knows_newest_configuration = [] { return false; };
    CHECK_FALSE(node.ask().has_known());
    node.reading.knows_newest_configuration = [] { return true; };
    const schema::freshness_answer answer = node.ask();
    REQUIRE(answer.has_known());
    CHECK(answer.known().version() == 4);
    CHECK(answer.known().age_ms() <= 101);
}

// Guards against a node of an older release that checks keys by the age of a restored copy.
TEST_CASE("the age that older nodes read covers what a restored log lacks")
{
    asked_node node;
    node.clock.advance(1s);
    node.log.go_down();
    node.clock.advance(3s);
    node.log.restore(monotonic_clock::now());
    node.clock.advance(500ms);
    REQUIRE(node.view->standing_of_configuration() == configuration_standing::awaits_rewrite);
    const schema::freshness_answer answer = node.ask();
    CHECK(answer.configuration_era() == node.log.era());
    CHECK(answer.configuration_age_ms() >= 3500);
}

// Guards against a list that counts as up to date because a node of an older release, which may
// have read a part of it, states a small age.
TEST_CASE("the age of a topic that an older node states is not used, but its position is")
{
    schema::peer_word state;
    state.set_replica_log_era(2);
    state.set_replica_log_end(7);
    state.set_replica_log_age_ms(10);
    state.set_backend_list_era(2);
    state.set_backend_list_end(9);
    state.set_backend_list_age_ms(10);
    CHECK(replicas_of(state).end == log_position{2, 7});
    CHECK(backends_of(state).end == log_position{2, 9});
    CHECK(replicas_of(state).age > 1h);
    CHECK(backends_of(state).age > 1h);
    state.set_proven_ages(true);
    CHECK(replicas_of(state).age == 10ms);
    CHECK(backends_of(state).age == 10ms);
}
