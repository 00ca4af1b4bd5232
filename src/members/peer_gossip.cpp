/** \file
 * Implements peer_gossip.
 */
#include "members/peer_gossip.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <boost/asio.hpp>

#include "base/event_log.h"
#include "base/hash.h"

namespace chervildyke {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

const event_log peer_log("peers");

constexpr std::size_t max_datagram_bytes = 64U << 10U; // The most that UDP carries.
constexpr std::size_t max_addresses = 1024;
constexpr std::size_t peers_per_datagram = 6; // Addresses of other nodes that a state lists.
// Rounds missed in a row after which a node counts as down.
constexpr int min_rounds_per_timeout = 4;
constexpr auto as_tuple = asio::as_tuple(asio::use_awaitable);

/** \return whether a node can be reached there over the IPv4 socket. */
bool is_node_address(const std::string& address, std::uint32_t port)
{
    error_code error;
    const auto ip = asio::ip::make_address_v4(address, error);
    const bool is_host = !error && !ip.is_unspecified() && !ip.is_multicast() &&
                         ip != asio::ip::address_v4::broadcast();
    return is_host && port > 0 && port <= std::numeric_limits<std::uint16_t>::max();
}

std::uint32_t address_hash(const std::string& address, std::uint16_t port)
{
    return static_cast<std::uint32_t>(placement_hash(address + ":" + std::to_string(port)));
}

} // namespace

peer_gossip::peer_gossip(asio::any_io_executor executor,
                         std::function<void(schema::peer_word&)> fill_state, random_source random,
                         peer_gossip_settings settings)
    : executor_(std::move(executor)), fill_state_(std::move(fill_state)),
      random_(std::move(random)), settings_(std::move(settings)), socket_(executor_),
      liveness_timeout_(settings_.liveness_timeout)
{
}

bool peer_gossip::listen(const std::string& address, std::uint16_t port)
{
    error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (!error) {
        socket_.open(udp::v4(), error);
    }
    if (!error) {
        socket_.bind({ip, port}, error);
    }
    if (!error) {
        socket_.non_blocking(true, error);
    }
    if (error) {
        last_reason_ = "can't listen on " + address + ":" + std::to_string(port) +
                       " (UDP): " + error.message();
        return false;
    }
    self_ = {address, port};
    return true;
}

void peer_gossip::add_address(const std::string& address, std::uint32_t port)
{
    if (!is_node_address(address, port)) {
        return;
    }
    const node_key node{address, static_cast<std::uint16_t>(port)};
    if (node != self_ && addresses_.size() < max_addresses) {
        addresses_.emplace(node, monotonic_clock::now());
    }
}

std::string peer_gossip::encode_state(bool& leading)
{
    schema::peer_word state;
    fill_state_(state);
    leading = state.leading();
    const time_point now = monotonic_clock::now();
    // Each state lists a few random peers, so that in time each node learns of all others.
    std::vector<node_key> heard_nodes;
    for (const auto& [key, node] : nodes_) {
        if (!heard_recently(key, node, now)) {
            continue;
        }
        heard_nodes.push_back(key);
        if (fleet_exceeds_fanout() && is_local(key)) {
            state.add_heard_in_domain(node.address_hash);
        }
    }
    for (std::size_t i = 0; i < std::min(heard_nodes.size(), peers_per_datagram); ++i) {
        std::swap(heard_nodes[i], heard_nodes[i + random_below(random_, heard_nodes.size() - i)]);
        schema::known_peer& listed = *state.add_peers();
        listed.set_address(heard_nodes[i].first);
        listed.set_port(heard_nodes[i].second);
    }
    return state.SerializeAsString();
}

void peer_gossip::send_to(const node_key& node, const std::string& bytes)
{
    error_code error;
    const auto ip = asio::ip::make_address(node.first, error);
    if (!error) {
        // A datagram that can't be sent now counts as lost; the next interval sends another one.
        socket_.send_to(asio::buffer(bytes), {ip, node.second}, 0, error);
    }
}

void peer_gossip::broadcast()
{
    bool leading = false;
    const std::string bytes = encode_state(leading);
    for (const auto& [node, heard_at] : addresses_) {
        send_to(node, bytes);
    }
}

void peer_gossip::send_message(schema::peer_word message, const std::string& address,
                               std::uint16_t port)
{
    message.set_address(self_.first);
    message.set_port(self_.second);
    send_to({address, port}, message.SerializeAsString());
}

/** A node that has sent nothing yet counts as local, since its failure domain is unknown. */
bool peer_gossip::is_local(const node_key& node) const
{
    const auto known = nodes_.find(node);
    return known == nodes_.end() ||
           known->second.state.failure_domain() == settings_.failure_domain;
}

/** Adds targets in round-robin order, so that this node sends to each other one within a bounded
 * number of intervals.
 * \param local whether to add nodes of the local failure domain or of the others; in a small fleet
 * nodes of all domains are added.
 * \param count how many to add at most.
 * \param last the last target added; updated.
 */
void peer_gossip::add_round_robin_targets(bool local, std::size_t count, node_key& last,
                                          std::vector<node_key>& targets)
{
    auto next = addresses_.upper_bound(last);
    std::size_t added = 0;
    for (std::size_t visited = 0; visited < addresses_.size() && added < count; ++visited) {
        if (next == addresses_.end()) {
            next = addresses_.begin();
        }
        if (!fleet_exceeds_fanout() || is_local(next->first) == local) {
            targets.push_back(next->first);
            last = next->first;
            ++added;
        }
        ++next;
    }
}

std::vector<peer_gossip::node_key> peer_gossip::next_targets(bool leading)
{
    std::vector<node_key> targets;
    add_round_robin_targets(true, settings_.fanout, last_local_target_, targets);
    if (fleet_exceeds_fanout()) {
        // The leader's state carries records that all nodes apply, so it is sent to more of them.
        add_round_robin_targets(false, leading ? settings_.fanout : settings_.remote_fanout,
                                last_remote_target_, targets);
    }
    if (fleet_exceeds_fanout() && ++intervals_ % settings_.intervals_per_leader_send == 0) {
        for (const auto& [key, node] : nodes_) {
            if (node.state.leading() && !is_local(key) && addresses_.contains(key)) {
                targets.push_back(key);
            }
        }
    }
    return targets;
}

/** Extends the configured timeout when the local failure domain has so many nodes that sending to
 * all of them once, a round, takes several intervals.
 */
duration peer_gossip::compute_liveness_timeout() const
{
    const auto local = static_cast<std::size_t>(
        std::count_if(addresses_.begin(), addresses_.end(),
                      [this](const auto& entry) { return is_local(entry.first); }));
    const std::size_t intervals_per_round = (local + settings_.fanout - 1) / settings_.fanout;
    const duration round =
        settings_.interval * static_cast<int>(std::max<std::size_t>(intervals_per_round, 1));
    return std::max<duration>(settings_.liveness_timeout, min_rounds_per_timeout * round);
}

bool peer_gossip::heard_recently(const node_key& key, const known_node& node, time_point now) const
{
    // In a large fleet the nodes of remote domains send rarely.
    const duration limit =
        fleet_exceeds_fanout() && !is_local(key) ? settings_.forget_after : liveness_timeout_;
    return now - node.heard_at < limit;
}

bool peer_gossip::is_live(const node_key& key, const known_node& node, time_point now) const
{
    if (!fleet_exceeds_fanout() || is_local(key)) {
        return heard_recently(key, node, now);
    }
    const auto reported = reported_heard_at_.find(node.address_hash);
    const time_point last = reported == reported_heard_at_.end()
                                ? node.heard_at
                                : std::max(node.heard_at, reported->second);
    return now - last < liveness_timeout_;
}

asio::awaitable<void> peer_gossip::run_sender()
{
    const auto self = shared_from_this();
    while (true) {
        const time_point now = monotonic_clock::now();
        std::erase_if(addresses_, [&](const auto& entry) {
            return now - entry.second > settings_.forget_after;
        });
        liveness_timeout_ = compute_liveness_timeout();
        if (!addresses_.empty()) {
            bool leading = false;
            const std::string bytes = encode_state(leading);
            const std::vector<node_key> targets = next_targets(leading);
            for (const node_key& node : targets) {
                send_to(node, bytes);
            }
        }
        co_await sleep_for(settings_.interval);
    }
}

void peer_gossip::handle_datagram(const std::string& bytes)
{
    schema::peer_word received;
    if (!received.ParseFromString(bytes) || !is_node_address(received.address(), received.port())) {
        peer_log.write("datagram_rejected", {{"bytes", std::to_string(bytes.size())}});
        return;
    }
    const node_key key{received.address(), static_cast<std::uint16_t>(received.port())};
    if (key == self_) {
        return;
    }
    if (received.has_question() || received.has_answer() || received.has_news()) {
        if (on_message) {
            on_message(received);
        }
        return;
    }
    const time_point now = monotonic_clock::now();
    for (const schema::known_peer& peer : received.peers()) {
        add_address(peer.address(), peer.port());
    }
    known_node& node = nodes_[key];
    if (received.incarnation() < node.state.incarnation()) {
        return;
    }
    if (received.incarnation() != node.state.incarnation()) {
        peer_log.write("node_seen", {{"peer", received.name()},
                                     {"address", received.address()},
                                     {"incarnation", std::to_string(received.incarnation())}});
    }
    addresses_[key] = now;
    for (const std::uint32_t node_hash : received.heard_in_domain()) {
        reported_heard_at_[node_hash] = now;
    }
    if (reported_heard_at_.size() > max_addresses) {
        std::erase_if(reported_heard_at_, [&](const auto& entry) {
            return now - entry.second > settings_.forget_after;
        });
    }
    if (node.address_hash == 0) {
        node.address_hash = address_hash(key.first, key.second);
    }
    node.state = std::move(received);
    node.heard_at = now;
    if (on_state) {
        on_state(node.state);
    }
}

asio::awaitable<void> peer_gossip::run_receiver()
{
    const auto self = shared_from_this();
    std::string buffer;
    udp::endpoint from;
    while (true) {
        buffer.resize(max_datagram_bytes);
        const auto [error, bytes] =
            co_await socket_.async_receive_from(asio::buffer(buffer), from, as_tuple);
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            continue; // An ICMP error for an earlier datagram: nothing listens at its target.
        }
        buffer.resize(bytes);
        handle_datagram(buffer);
    }
}

std::vector<std::pair<std::string, std::uint16_t>> peer_gossip::addresses() const
{
    std::vector<node_key> known;
    for (const auto& [address, heard_at] : addresses_) {
        known.push_back(address);
    }
    return known;
}

std::vector<const known_node*> peer_gossip::live() const
{
    const time_point now = monotonic_clock::now();
    std::vector<const known_node*> nodes;
    for (const auto& [key, node] : nodes_) {
        if (is_live(key, node, now)) {
            nodes.push_back(&node);
        }
    }
    return nodes;
}

} // namespace chervildyke
