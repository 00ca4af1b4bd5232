/** \file
 * Defines metadata_store, the stand-in for the platform's store.
 */
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "base/http_server.h"
#include "base/random.h"
#include "soak/wire_format.h"

namespace chervildyke::soak {

/** Faults that are active on the store. */
struct store_faults {
    bool down = false;                    // Nodes get status 503; servers retry.
    bool drops_answers = false;           // Executes calls and breaks the connection.
    duration delay{};                     // Before each answer.
    std::set<std::size_t> rejected_nodes; // Indexes of nodes that get status 503.
};

/** Keeps topics in memory. Each node has an address of its own, by which the store identifies the
 * node.
 */
class metadata_store {
  public:
    explicit metadata_store(boost::asio::any_io_executor executor) : executor_(std::move(executor))
    {
    }

    /** Serves one more node at an address.
     * \param port zero for any free port.
     * \return false if the store can't listen on the address.
     */
    bool listen_for_node(std::size_t node, const std::string& ip, std::uint16_t port);

    /** \return the port of the node added last. */
    std::uint16_t last_port() const { return servers_.back()->port(); }

    /** Appends a record to any topic; an empty value deletes the key. */
    void put(const std::string& topic, const std::string& key, const std::string& value);

    /** Deletes all records but the newest of each key, so that older offsets can't be read. */
    void trim_history();

    /** Replaces all topics by a copy, which lacks the newest records; their offsets are given out
     * again. A new era begins. The operator and the servers write again what is missing of theirs.
     * \param age of the copy.
     * \param rewrite_delay until the operator and the servers write again.
     */
    void restore_copy(duration age, duration rewrite_delay);

    /** Makes a share of the long polls last for their whole wait, whatever is appended meanwhile.
     */
    void ignore_appends(double share, random_source random)
    {
        ignoring_share_ = share;
        random_ = std::move(random);
    }

    /** Limits the records in one answer to a read, which holds at least one record.
     * \param bytes of keys and values.
     */
    void limit_answers(std::size_t bytes) { max_answer_bytes_ = bytes; }

    store_faults& faults() { return faults_; }

  private:
    /** The records of one topic. */
    struct topic_log {
        std::uint64_t first_offset = 0;      // The oldest offset that can be read.
        std::vector<stored_record> records;  // From offset zero on.
        std::vector<time_point> appended_at; // Of each record.
        std::map<std::string, stored_record> newest_by_key;
        std::uint64_t end_offset() const { return records.size(); }
    };

    boost::asio::awaitable<void> serve(http_exchange& exchange, std::size_t node);
    boost::asio::awaitable<http_reply> handle(store_call call);
    boost::asio::awaitable<void> rewrite(duration delay);
    http_reply append(const store_call& call);
    http_reply read(const store_call& call);
    http_reply read_latest(const store_call& call);
    void append_record(const std::string& topic, stored_record record);
    static void note_newest(topic_log& log, const stored_record& record);

    boost::asio::any_io_executor executor_;
    std::uint64_t era_ = 1; // Increases with each restore.
    // The newest values that the operator and the servers wrote, by topic and key.
    std::map<std::string, std::map<std::string, std::string>> written_;
    store_faults faults_;
    double ignoring_share_ = 0; // Of the long polls.
    std::size_t max_answer_bytes_ = 1U << 20U;
    random_source random_;
    std::map<std::string, topic_log> topics_;
    std::vector<std::unique_ptr<http_server>> servers_;
};

} // namespace chervildyke::soak
