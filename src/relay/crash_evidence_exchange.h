/** \file
 * Defines crash_evidence_exchange, through which all nodes share their crash evidence.
 */
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/random.h"
#include "fleet/shared_log.h"
#include "node.pb.h"
#include "routing/crash_evidence.h"

namespace chervildyke {

inline constexpr const char* crash_evidence_topic = "crash-evidence";

/** Exchanges evidence with other nodes by datagrams, and keeps a record of each blamed part in the
 * shared log, from which a node learns of it even if all nodes have restarted at once.
 */
class crash_evidence_exchange : public std::enable_shared_from_this<crash_evidence_exchange> {
  public:
    /** Sets evidence.on_blamed and on_cleared. The evidence must outlive this object. */
    crash_evidence_exchange(boost::asio::any_io_executor executor, shared_log log,
                            crash_evidence& evidence, random_source random);

    /** Starts to write a record of each part that begins to be blamed. */
    void start();

    /** Reads the records once; repeats the read until it succeeds. */
    boost::asio::awaitable<void> load();

    /** Writes the records again that a log which was restored from an older copy may lack. */
    void begin_era(std::uint64_t era);

    /** Adds evidence to the state that this node sends. */
    void fill_state(schema::peer_word& state);

    /** Merges the evidence of another node's state. */
    void apply_state(const schema::peer_word& state);

  private:
    void record_soon();
    boost::asio::awaitable<void> record();
    boost::asio::awaitable<void> write(std::vector<part_report> reports);
    void remove_soon(const std::string& part);
    boost::asio::awaitable<void> remove_records();
    void apply_records(const keyed_records& records, std::vector<std::string>& expired);

    boost::asio::any_io_executor executor_;
    shared_log log_;
    crash_evidence& evidence_;
    random_source random_;
    bool recording_ = false;        // record() is running.
    bool removing_ = false;         // remove_records() is running.
    std::set<std::string> cleared_; // Parts whose records are to be removed.
};

/** \return the message for what is known of a part. */
schema::part_evidence to_message(const part_report& report);

/** \return what a message says of a part; crashes beyond the number that a node keeps are ignored.
 */
part_report from_message(const schema::part_evidence& message);

} // namespace chervildyke
