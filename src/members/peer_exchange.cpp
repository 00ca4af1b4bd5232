/** \file
 * Implements peer_exchange.
 */
#include "members/peer_exchange.h"

#include <algorithm>
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
constexpr std::size_t told_peers = 6; // In one word.
constexpr int lost_words = 4;         // In a row, after which a node counts as gone.
constexpr auto as_tuple = asio::as_tuple(asio::use_awaitable);

std::uint32_t address_hash(const std::string& address, std::uint16_t port)
{
    return static_cast<std::uint32_t>(placement_hash(address + ":" + std::to_string(port)));
}

} // namespace

peer_exchange::peer_exchange(asio::any_io_executor executor,
                             std::function<void(schema::peer_word&)> describe, random_source random,
                             peer_exchange_settings settings)
    : executor_(std::move(executor)), describe_(std::move(describe)), random_(std::move(random)),
      settings_(std::move(settings)), socket_(executor_), silence_limit_(settings_.silence_limit)
{
}

bool peer_exchange::listen(const std::string& address, std::uint16_t port)
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

void peer_exchange::introduce(const std::string& address, std::uint16_t port)
{
    const node_key node{address, port};
    if (node != self_ && addresses_.size() < max_addresses) {
        addresses_.emplace(node, monotonic_clock::now());
    }
}

std::string peer_exchange::encode_word(bool& leading)
{
    schema::peer_word word;
    describe_(word);
    leading = word.leading();
    const time_point now = monotonic_clock::now();
    // A few at a time; all get around.
    std::vector<node_key> live_nodes;
    for (const auto& [key, node] : nodes_) {
        if (!heard(key, node, now)) {
            continue;
        }
        live_nodes.push_back(key);
        if (is_large() && is_near(key)) {
            word.add_heard_in_domain(node.address_hash);
        }
    }
    for (std::size_t i = 0; i < std::min(live_nodes.size(), told_peers); ++i) {
        std::swap(live_nodes[i], live_nodes[i + random_below(random_, live_nodes.size() - i)]);
        schema::known_peer& known = *word.add_peers();
        known.set_address(live_nodes[i].first);
        known.set_port(live_nodes[i].second);
    }
    return word.SerializeAsString();
}

void peer_exchange::send_to(const node_key& node, const std::string& bytes)
{
    error_code error;
    const auto ip = asio::ip::make_address(node.first, error);
    if (!error) {
        // A datagram that can't be sent now counts as lost; the next one follows soon.
        socket_.send_to(asio::buffer(bytes), {ip, node.second}, 0, error);
    }
}

void peer_exchange::tell_all()
{
    bool leading = false;
    const std::string bytes = encode_word(leading);
    for (const auto& [node, since] : addresses_) {
        send_to(node, bytes);
    }
}

void peer_exchange::send_note(schema::peer_word note, const std::string& address,
                              std::uint16_t port)
{
    note.set_address(self_.first);
    note.set_port(self_.second);
    send_to({address, port}, note.SerializeAsString());
}

/** A node that was not heard from yet may be near. */
bool peer_exchange::is_near(const node_key& node) const
{
    const auto known = nodes_.find(node);
    return known == nodes_.end() || known->second.word.failure_domain() == settings_.failure_domain;
}

/** Takes turns, so that each node hears from this one in a bounded number of intervals. */
void peer_exchange::take_turns(bool near, std::size_t count, node_key& last,
                               std::vector<node_key>& targets)
{
    auto next = addresses_.upper_bound(last);
    std::size_t taken = 0;
    for (std::size_t seen = 0; seen < addresses_.size() && taken < count; ++seen) {
        if (next == addresses_.end()) {
            next = addresses_.begin();
        }
        if (!is_large() || is_near(next->first) == near) {
            targets.push_back(next->first);
            last = next->first;
            ++taken;
        }
        ++next;
    }
}

std::vector<peer_exchange::node_key> peer_exchange::next_targets(bool leading)
{
    std::vector<node_key> targets;
    take_turns(true, settings_.fanout, last_near_, targets);
    if (is_large()) {
        // What the leading node tells is news for all.
        take_turns(false, leading ? settings_.fanout : settings_.far_fanout, last_far_, targets);
    }
    if (is_large() && ++intervals_ % settings_.leader_turn == 0) {
        for (const auto& [key, node] : nodes_) {
            if (node.word.leading() && !is_near(key) && addresses_.contains(key)) {
                targets.push_back(key);
            }
        }
    }
    return targets;
}

/** A round of words to all nodes of a failure domain takes more intervals than one when there are
 * many.
 */
duration peer_exchange::silence_limit() const
{
    const auto near = static_cast<std::size_t>(
        std::count_if(addresses_.begin(), addresses_.end(),
                      [this](const auto& entry) { return is_near(entry.first); }));
    const std::size_t rounds = (near + settings_.fanout - 1) / settings_.fanout;
    const duration round = settings_.interval * static_cast<int>(std::max<std::size_t>(rounds, 1));
    return std::max<duration>(settings_.silence_limit, lost_words * round);
}

bool peer_exchange::heard(const node_key& key, const known_node& node, time_point now) const
{
    // Far nodes speak seldom.
    const duration limit = is_large() && !is_near(key) ? settings_.forget_after : silence_limit_;
    return now - node.heard_at < limit;
}

bool peer_exchange::is_live(const node_key& key, const known_node& node, time_point now) const
{
    if (!is_large() || is_near(key)) {
        return heard(key, node, now);
    }
    const auto vouched = vouched_at_.find(node.address_hash);
    const time_point last =
        vouched == vouched_at_.end() ? node.heard_at : std::max(node.heard_at, vouched->second);
    return now - last < silence_limit_;
}

asio::awaitable<void> peer_exchange::send_words()
{
    const auto self = shared_from_this();
    while (true) {
        const time_point now = monotonic_clock::now();
        std::erase_if(addresses_, [&](const auto& entry) {
            return now - entry.second > settings_.forget_after;
        });
        silence_limit_ = silence_limit();
        if (!addresses_.empty()) {
            bool leading = false;
            const std::string bytes = encode_word(leading);
            const std::vector<node_key> targets = next_targets(leading);
            for (const node_key& node : targets) {
                send_to(node, bytes);
            }
        }
        co_await sleep_for(settings_.interval);
    }
}

void peer_exchange::take_word(const std::string& bytes)
{
    schema::peer_word word;
    if (!word.ParseFromString(bytes) || word.address().empty() || word.port() > 65535) {
        peer_log.write("datagram_rejected", {{"bytes", std::to_string(bytes.size())}});
        return;
    }
    const node_key key{word.address(), static_cast<std::uint16_t>(word.port())};
    if (key == self_) {
        return;
    }
    if (word.has_question() || word.has_answer() || word.has_news()) {
        if (on_note) {
            on_note(word);
        }
        return;
    }
    const time_point now = monotonic_clock::now();
    for (const schema::known_peer& peer : word.peers()) {
        introduce(peer.address(), static_cast<std::uint16_t>(peer.port()));
    }
    known_node& node = nodes_[key];
    if (word.incarnation() < node.word.incarnation()) {
        return;
    }
    if (word.incarnation() != node.word.incarnation()) {
        peer_log.write("node_seen", {{"peer", word.name()},
                                     {"address", word.address()},
                                     {"incarnation", std::to_string(word.incarnation())}});
    }
    addresses_[key] = now;
    for (const std::uint32_t vouched : word.heard_in_domain()) {
        vouched_at_[vouched] = now;
    }
    if (vouched_at_.size() > max_addresses) {
        std::erase_if(vouched_at_, [&](const auto& entry) {
            return now - entry.second > settings_.forget_after;
        });
    }
    if (node.address_hash == 0) {
        node.address_hash = address_hash(key.first, key.second);
    }
    node.word = std::move(word);
    node.heard_at = now;
    if (on_word) {
        on_word(node.word);
    }
}

asio::awaitable<void> peer_exchange::receive_words()
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
            continue; // An ICMP answer to an earlier datagram; its receiver is gone.
        }
        buffer.resize(bytes);
        take_word(buffer);
    }
}

std::vector<const known_node*> peer_exchange::live() const
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
