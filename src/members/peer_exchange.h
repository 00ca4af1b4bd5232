/** \file
 * Defines peer_exchange, which tells all nodes about each other by datagrams.
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

/** A node as its last datagram described it. */
struct known_node {
    schema::peer_word word;
    time_point heard_at{};
    std::uint32_t address_hash = 0; // By which other nodes say that they hear it.
};

struct peer_exchange_settings {
    duration interval = 100ms;       // Counts of calls are this old on average.
    duration silence_limit = 1200ms; // Twelve lost datagrams in a row: the node is gone.
    duration forget_after = 20s;     // An address from which nothing comes is not tried any more.
    std::size_t fanout = 12;         // Datagrams sent in each interval at most.
    std::string failure_domain;      // Of this node.
    std::uint32_t leader_turn = 5;   // Each how many intervals a far node that leads is told: it
                                     // judges by silences of 0.7 s.
    std::size_t far_fanout = 2;      // Of them to other failure domains, in a fleet of more nodes
                                     // than one interval reaches.
};

/** Sends this node's word to other nodes in each interval and keeps the newest word of each. What
 * it knows is a hint: it speeds things up and decides no agreement.
 *
 * In a large fleet the nodes of the own failure domain are told often and the others seldom, so
 * that what a node sends and hears does not grow with the fleet. That a far node lives is known
 * from the words of all nodes of its domain, which say whom they hear.
 */
class peer_exchange : public std::enable_shared_from_this<peer_exchange> {
  public:
    /** \param describe fills in this node's word. */
    peer_exchange(boost::asio::any_io_executor executor,
                  std::function<void(schema::peer_word&)> describe, random_source random,
                  peer_exchange_settings settings = {});

    /** Called with each word that is newer than the one before it. */
    std::function<void(const schema::peer_word&)> on_word;

    /** Called with each question, answer and news. */
    std::function<void(const schema::peer_word&)> on_note;

    /** \return false with last_reason() set when the port can't be had. */
    bool listen(const std::string& address, std::uint16_t port);
    const std::string& last_reason() const { return last_reason_; }

    /** Begins to tell the address, which may be a node. */
    void introduce(const std::string& address, std::uint16_t port);

    /** Sends the word to all known nodes now. */
    void tell_all();

    /** Sends a question, an answer or news to one node, with this node's address. */
    void send_note(schema::peer_word note, const std::string& address, std::uint16_t port);

    boost::asio::awaitable<void> send_words();
    boost::asio::awaitable<void> receive_words();

    /** True when the fleet is too large for every node to be told in each interval. */
    bool is_large() const { return addresses_.size() > settings_.fanout; }

    /** The other nodes heard from lately. */
    std::vector<const known_node*> live() const;

  private:
    using node_key = std::pair<std::string, std::uint16_t>;

    std::vector<node_key> next_targets(bool leading);
    void take_turns(bool near, std::size_t count, node_key& last, std::vector<node_key>& targets);
    bool is_near(const node_key& node) const;
    bool heard(const node_key& key, const known_node& node, time_point now) const;
    bool is_live(const node_key& key, const known_node& node, time_point now) const;
    duration silence_limit() const;
    /** \param leading set to what the word says of it. */
    std::string encode_word(bool& leading);
    void take_word(const std::string& bytes);
    void send_to(const node_key& node, const std::string& bytes);

    boost::asio::any_io_executor executor_;
    std::function<void(schema::peer_word&)> describe_;
    random_source random_;
    peer_exchange_settings settings_;
    boost::asio::ip::udp::socket socket_;
    node_key self_;
    std::uint32_t intervals_ = 0;
    node_key last_near_;
    node_key last_far_;
    std::map<std::uint32_t, time_point> vouched_at_; // By hashed address.
    duration silence_limit_; // For nodes that speak often; renewed in each interval.
    std::map<node_key, time_point> addresses_; // Since when nothing was heard, or last heard.
    std::map<node_key, known_node> nodes_;
    std::string last_reason_;
};

} // namespace chervildyke
