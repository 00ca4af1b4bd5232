/** \file
 * Defines peer_gossip, through which all nodes exchange their state by datagrams.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include "base/clock.h"
#include "base/random.h"
#include "node.pb.h"

namespace chervildyke {

/** Another node as its last datagram described it. */
struct known_node {
    schema::peer_word state;
    time_point heard_at{};          // When that datagram arrived.
    std::uint32_t address_hash = 0; // Identifies the node in peer_word.heard_in_domain.
};

struct peer_gossip_settings {
    /** Time between two sends. Call counts of other nodes are this old on average. */
    duration interval = 100ms;

    /** A node that is silent for longer is down; with the interval above these are twelve datagrams
     * lost in a row. Longer when sending to the whole local failure domain takes many intervals.
     */
    duration liveness_timeout = 1200ms;

    /** An address from which nothing arrives for so long is not sent to any more. */
    duration forget_after = 20s;

    /** Nodes that each interval sends to at most; in a large fleet, those of the local failure
     * domain.
     */
    std::size_t fanout = 12;

    /** Of this node, the local one. */
    std::string failure_domain;

    /** In a large fleet, every so many intervals the state is also sent to the leader when it is in
     * a remote failure domain: the leader acts on silences of 0.7 s.
     */
    std::uint32_t intervals_per_leader_send = 5;

    /** In a large fleet, nodes of remote failure domains that each interval sends to. The leader
     * uses fanout instead.
     */
    std::size_t remote_fanout = 2;
};

/** Sends this node's state to other nodes in each interval and keeps the newest state of each. The
 * received states are hints: they speed up decisions, but no agreement between nodes relies on
 * them.
 *
 * A fleet is large when it has more nodes than one interval sends to. There the nodes of the local
 * failure domain are sent to often and the others rarely, so that the traffic of a node does not
 * grow with the fleet. Whether a remote node is live follows from the states of all nodes of its
 * domain, which list the nodes that they hear.
 */
class peer_gossip : public std::enable_shared_from_this<peer_gossip> {
  public:
    /** \param fill_state fills in this node's state, called for each datagram that is built. */
    peer_gossip(boost::asio::any_io_executor executor,
                std::function<void(schema::peer_word&)> fill_state, random_source random,
                peer_gossip_settings settings = {});

    /** Called with each state of another node, unless it is from an earlier incarnation. */
    std::function<void(const schema::peer_word&)> on_state;

    /** Called with each message: a question, an answer or forwarded records. */
    std::function<void(const schema::peer_word&)> on_message;

    /** Binds the UDP socket.
     * \return false with last_reason() set when that fails.
     */
    bool listen(const std::string& address, std::uint16_t port);
    const std::string& last_reason() const { return last_reason_; }

    /** Adds an address to send to, which may belong to a node. One to which no datagram can be sent
     * is ignored.
     */
    void add_address(const std::string& address, std::uint32_t port);

    /** Sends the state to all known addresses now. */
    void broadcast();

    /** Sends a question, an answer or records to one node, with this node's address. */
    void send_message(schema::peer_word message, const std::string& address, std::uint16_t port);

    /** Sends the state in each interval. */
    boost::asio::awaitable<void> run_sender();

    /** Receives datagrams until the socket's operations are cancelled. */
    boost::asio::awaitable<void> run_receiver();

    /** True when there are more addresses than one interval sends to: the fleet is large. */
    bool fleet_exceeds_fanout() const { return addresses_.size() > settings_.fanout; }

    /** \return the number of other nodes' addresses, whether or not they are live. */
    std::size_t known_addresses() const { return addresses_.size(); }

    /** \return the addresses of other nodes, whether or not they are live. */
    std::vector<std::pair<std::string, std::uint16_t>> addresses() const;

    /** The other nodes that are live. */
    std::vector<const known_node*> live() const;

  private:
    using node_key = std::pair<std::string, std::uint16_t>; // Address and port.

    std::vector<node_key> next_targets(bool leading);
    void add_round_robin_targets(bool local, std::size_t count, node_key& last,
                                 std::vector<node_key>& targets);
    bool is_local(const node_key& node) const;
    bool heard_recently(const node_key& key, const known_node& node, time_point now) const;
    bool is_live(const node_key& key, const known_node& node, time_point now) const;
    duration compute_liveness_timeout() const;
    /** \param leading set to whether the state says that this node is the leader. */
    std::string encode_state(bool& leading);
    void handle_datagram(const std::string& bytes);
    void send_to(const node_key& node, const std::string& bytes);

    boost::asio::any_io_executor executor_;
    std::function<void(schema::peer_word&)> fill_state_;
    random_source random_;
    peer_gossip_settings settings_;
    boost::asio::ip::udp::socket socket_;
    node_key self_;
    std::uint32_t intervals_ = 0;
    node_key last_local_target_;
    node_key last_remote_target_;
    // When a node of the same domain last reported to hear a node, by the node's address hash.
    std::map<std::uint32_t, time_point> reported_heard_at_;
    duration liveness_timeout_; // For nodes that send often; computed anew in each interval.
    std::map<node_key, time_point> addresses_; // When last heard from, or else when added.
    std::map<node_key, known_node> nodes_;
    std::string last_reason_;
};

} // namespace chervildyke
