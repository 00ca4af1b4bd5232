/** \file
 * Defines metadata_store, the stand-in for the platform's store.
 */
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "base/http_server.h"
#include "soak/wire.h"

namespace chervildyke::soak {

/** How the store misbehaves. */
struct store_faults {
    bool down = false;              // Answers 503 to all calls of nodes and servers.
    bool loses_answers = false;     // Carries calls out and breaks the connection.
    duration delay{};               // Before each answer.
    std::set<std::size_t> rejected; // Nodes that get 503.
};

/** Keeps topics in memory. Each node calls it at an address of its own, so that it can be told
 * apart.
 */
class metadata_store {
  public:
    explicit metadata_store(boost::asio::any_io_executor executor) : executor_(std::move(executor))
    {
    }

    /** \return false with the address in use. */
    bool listen_for_node(std::size_t node, const std::string& ip, std::uint16_t port);

    /** The port that the last node calls; useful after port zero, which takes a free one. */
    std::uint16_t last_port() const { return servers_.back()->port(); }

    /** Appends as the operator or a server does; an empty value drops the key. */
    void put(const std::string& topic, const std::string& key, const std::string& value);

    /** Drops all records but the newest of each key. */
    void forget_history();

    store_faults& faults() { return faults_; }

  private:
    struct topic_log {
        std::uint64_t first = 0; // The oldest offset kept.
        std::vector<stored_record> records;
        std::map<std::string, stored_record> newest;
        std::uint64_t end() const { return first + records.size(); }
    };

    boost::asio::awaitable<void> serve(http_exchange& exchange, std::size_t node);
    boost::asio::awaitable<http_reply> answer(store_call call);
    http_reply append(const store_call& call);
    http_reply read(const store_call& call);
    http_reply newest(const store_call& call);
    void add(const std::string& topic, stored_record record);

    boost::asio::any_io_executor executor_;
    store_faults faults_;
    std::map<std::string, topic_log> topics_;
    std::vector<std::unique_ptr<http_server>> servers_;
};

} // namespace chervildyke::soak
