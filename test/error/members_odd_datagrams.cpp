/** \file
 * Tests that datagrams which no node of this fleet has sent change nothing in what a node knows of
 * its peers.
 */
#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "base/task.h"
#include "members/peer_gossip.h"

using namespace chervildyke;
namespace asio = boost::asio;
using asio::ip::udp;

namespace {

/** A node and the socket of another program that sends it datagrams. */
struct datagram_fixture {
    datagram_fixture()
    {
        const auto fill_state = [](schema::peer_word& state) {
            state.set_name("self");
            state.set_address("127.0.9.101");
            state.set_port(port);
        };
        node = std::make_shared<peer_gossip>(context.get_executor(), fill_state, seeded_random(1),
                                             peer_gossip_settings());
        node->on_state = [this](const schema::peer_word& state) { seen.push_back(state.name()); };
        REQUIRE(node->listen("127.0.9.101", port));
        spawn_task(context.get_executor(), "receiver", node->run_receiver());
        sender.open(udp::v4());
        sender.bind({asio::ip::make_address("127.0.9.102"), port});
        sender.non_blocking(true);
    }

    void send(const std::string& bytes)
    {
        sender.send_to(asio::buffer(bytes), {asio::ip::make_address("127.0.9.101"), port});
        context.restart();
        context.run_for(20ms);
    }

    void send(const schema::peer_word& message) { send(message.SerializeAsString()); }

    /** \return whether the node's next broadcast reaches the sender. */
    bool is_reached_by_broadcast()
    {
        node->broadcast();
        context.restart();
        context.run_for(20ms);
        std::array<char, 2048> bytes{};
        boost::system::error_code error;
        sender.receive(asio::buffer(bytes), 0, error);
        return !error;
    }

    static schema::peer_word state(const std::string& name, const std::string& address,
                                   std::uint32_t peer_port)
    {
        schema::peer_word message;
        message.set_name(name);
        message.set_address(address);
        message.set_port(peer_port);
        message.set_incarnation(1);
        return message;
    }

    static constexpr std::uint16_t port = 7351;
    asio::io_context context{1};
    std::shared_ptr<peer_gossip> node;
    udp::socket sender{context};
    std::vector<std::string> seen;
};

} // namespace

TEST_CASE("a datagram without the address of a node is rejected")
{
    datagram_fixture fixture;
    fixture.send("");
    fixture.send(std::string(3000, '\xff'));
    for (const std::string address : {"", "host.example", "127.0.9", "::1", "0.0.0.0"}) {
        CAPTURE(address);
        fixture.send(datagram_fixture::state("odd", address, 7351));
    }
    fixture.send(datagram_fixture::state("odd", "127.0.9.102", 0));
    fixture.send(datagram_fixture::state("odd", "127.0.9.102", 65536 + 7351));
    CHECK(fixture.seen.empty());
    fixture.send(datagram_fixture::state("sound", "127.0.9.102", 7351));
    CHECK(fixture.seen == std::vector<std::string>{"sound"});
}

// Guards against a list of peers full of addresses to which nothing can be sent.
TEST_CASE("odd addresses in a peer's list take no place of those of nodes")
{
    datagram_fixture fixture;
    schema::peer_word message = datagram_fixture::state("sound", "127.0.9.103", 7351);
    for (int i = 0; i < 1500; ++i) {
        schema::known_peer& odd = *message.add_peers();
        odd.set_address("host" + std::to_string(i));
        odd.set_port(7351);
    }
    fixture.send(message);
    fixture.node->add_address("127.0.9.102", 7351);
    CHECK(fixture.is_reached_by_broadcast());
}

TEST_CASE("a port that is out of range is not taken for another one")
{
    datagram_fixture fixture;
    schema::peer_word message = datagram_fixture::state("sound", "127.0.9.103", 7351);
    schema::known_peer& odd = *message.add_peers();
    odd.set_address("127.0.9.102");
    odd.set_port(65536 + 7351);
    fixture.send(message);
    CHECK_FALSE(fixture.is_reached_by_broadcast());
}
