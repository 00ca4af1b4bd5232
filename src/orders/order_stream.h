/** \file
 * Defines order_stream, which reads one order stream and appends to it in batches.
 */
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "base/random.h"
#include "external/log_client.h"
#include "orders/claim_table.h"

namespace chervildyke {

struct order_stream_settings {
    std::string stream;          // Its name in the log.
    std::string writer;          // The writer stated in records: the incarnation of the process.
    duration batch_delay = 8ms;  // The minimum time between the starts of two appends.
    std::uint64_t window_ms = 0; // The claim window; zero: half of the log's retention.
    std::size_t max_batch_items = 1024; // Maximum of claims and settlements in one append.
    unsigned max_appends_in_flight = 16;
    duration poll_wait = 2s; // How long one read waits for new records.
};

/** Reads one stream continuously to keep its claim table current, and appends claims and
 * settlements. An append starts at once when none started within the batch delay; the requests that
 * arrive during the delay share the next append. The verdict on a claim is that of the claim table
 * when the record is read back, never one derived from the reply to the append, so a lost reply
 * only adds latency. order_coordinator chooses which processes append to a stream.
 */
class order_stream : public std::enable_shared_from_this<order_stream> {
  public:
    order_stream(boost::asio::any_io_executor executor, order_stream_settings settings,
                 log_client log, random_source random);

    /** Starts the tasks that read and append; they end after stop(). */
    void start();
    void stop();

    /** Claims a key.
     * \param claim the claim to append.
     * \param timeout the longest wait for the verdict. After it the verdict is claim_undecided, or
     * claim_refused when no append can have taken effect.
     * \return the verdict.
     */
    boost::asio::awaitable<schema::claim_verdict> claim(schema::order_claim claim,
                                                        duration timeout);

    /** Appends a settlement.
     * \param settlement the settlement to append.
     * \param timeout the longest wait; after it the reply says that the settlement is not kept.
     * \return a reply whose kept field is true when the claim table keeps the settlement; its
     * reason says why it does not.
     */
    boost::asio::awaitable<schema::settle_reply> settle(schema::order_settlement settlement,
                                                        duration timeout);

    /** \return whether the stream is read to its end and the log is available. */
    bool ready() const { return caught_up_ && !log_unavailable_; }

    const claim_table& table() const { return table_; }

    /** \return the claim window in milliseconds; zero until the log's retention is known. */
    std::uint64_t window_ms() const { return window_ms_; }

  private:
    static constexpr duration max_read_round_trip = 1s;

    struct pending_request;
    struct batch;
    using request_handle = std::shared_ptr<pending_request>;
    using batch_handle = std::shared_ptr<batch>;

    boost::asio::awaitable<void> read_loop(std::shared_ptr<order_stream> self);
    boost::asio::awaitable<void> second_read_loop(std::shared_ptr<order_stream> self);
    boost::asio::awaitable<void> append_loop(std::shared_ptr<order_stream> self);
    boost::asio::awaitable<void> append_batch(std::shared_ptr<order_stream> self,
                                              batch_handle sent);
    boost::asio::awaitable<void> await_completion(request_handle request, duration timeout);
    bool handle_append_result(batch& sent, const external_result<log_offset>& result);
    void apply_records(const log_read& read, log_offset from);
    void complete_batch(const std::string& record_id, const record_verdicts& verdicts);
    std::string check_append_preconditions(const schema::order_claim& claim) const;
    batch_handle next_batch();
    void enqueue(request_handle request);
    void acknowledge_settlements(batch& sent);

    boost::asio::any_io_executor executor_;
    order_stream_settings settings_;
    log_client log_;
    random_source random_;
    claim_table table_;
    log_offset position_ = 1; // The next offset to apply.
    std::uint64_t window_ms_ = 0;
    bool caught_up_ = false;
    bool log_unavailable_ = false;
    bool stopped_ = false;
    std::deque<request_handle> queue_;
    std::map<std::string, batch_handle> batches_; // By record id, until they are read back.
    unsigned appends_in_flight_ = 0;
    duration append_interval_; // From batch_delay up; longer while the log is overloaded.
    time_point next_append_at_{};
    duration read_round_trip_ = max_read_round_trip; // Estimate for a read that need not wait.
    timer append_timer_;                             // When the next append may start.
    timer second_read_timer_; // When the second of two overlapping reads starts.
    timer retry_timer_;       // When a failed read is retried.
};

} // namespace chervildyke
