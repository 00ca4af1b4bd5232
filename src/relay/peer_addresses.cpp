/** \file
 * Implements peer_addresses.
 */
#include "relay/peer_addresses.h"

#include <utility>

#include "base/event_log.h"
#include "fleet/topic_follower.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log node_log("node");

constexpr const char* node_topic = "nodes";
constexpr duration retry_interval = 1s; // After a failed call on the log.

// The long-poll time. It may be long because a new node also sends its state to the seeds.
constexpr duration read_wait = 25s;

// One read returns many addresses when all nodes start and each publishes its own.
constexpr duration read_interval = 4s;

} // namespace

peer_addresses::peer_addresses(shared_log log, peer_gossip& peers, std::string name,
                               schema::known_peer self)
    : log_(std::move(log)), peers_(peers), name_(std::move(name)), self_(std::move(self))
{
}

asio::awaitable<void> peer_addresses::publish()
{
    const auto self = shared_from_this();
    keyed_record record;
    record.key = name_;
    record.value = self_.SerializeAsString();
    const std::vector<keyed_record> records{record};
    while (true) {
        auto put = co_await log_.put(node_topic, records);
        if (put) {
            co_return;
        }
        node_log.write("address_not_published", {{"reason", put.failure().reason}});
        co_await sleep_for(retry_interval);
    }
}

asio::awaitable<void> peer_addresses::follow()
{
    const auto self = shared_from_this();
    topic_hooks hooks;
    hooks.replace = [this](const keyed_records& records) {
        for (const keyed_record& record : records.records) {
            schema::known_peer node;
            if (record.value && node.ParseFromString(*record.value)) {
                peers_.add_address(node.address(), node.port());
            }
        }
    };
    hooks.apply = hooks.replace;
    hooks.outage = [](time_point) {};
    topic_follower follower(log_, node_topic, hooks);
    while (true) {
        const bool read = co_await follower.read_once(read_wait);
        co_await sleep_for(read ? read_interval : retry_interval);
    }
}

} // namespace chervildyke
