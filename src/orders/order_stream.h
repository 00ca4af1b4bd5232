/** \file
 * Defines order_stream, the task that follows one order stream and appends to it in batches.
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
    std::string stream;
    std::string writer;           // The incarnation that appends.
    duration batch_delay = 8ms;   // The shortest time between the starts of two appends.
    std::uint64_t window_ms = 0;  // Zero: half of the log's retention.
    std::size_t max_batch = 1024; // Claims and settlements in one append.
    unsigned max_appends = 16;    // Appends in flight.
    duration poll_wait = 2s;      // How long one read waits for records.
};

/** Follows one stream, so that its table is current, and appends claims and settlements. An
 * append starts at once when none started within the batch delay; what arrives until then shares
 * the next one. A claim's verdict is taken from the table where the claim stands, never from the
 * append's reply, so a lost reply costs only time. Choosing the process that appends to a stream
 * is left to order_desk.
 */
class order_stream : public std::enable_shared_from_this<order_stream> {
  public:
    order_stream(boost::asio::any_io_executor executor, order_stream_settings settings,
                 log_client log, random_source random);

    /** Starts the tasks that follow and append; they end after stop(). */
    void start();
    void stop();

    /** Claims a key.
     * \param timeout after which the verdict is claim_undecided, or claim_refused when no append
     * can have taken effect.
     */
    boost::asio::awaitable<schema::claim_verdict> claim(schema::order_claim claim,
                                                        duration timeout);

    /** Appends a settlement; kept once it stands in the stream as the first of the winner. */
    boost::asio::awaitable<schema::settle_reply> settle(schema::order_settlement settlement,
                                                        duration timeout);

    /** True when the stream was read to its end and the log answers. */
    bool ready() const { return caught_up_ && !log_trouble_; }

    const claim_table& table() const { return table_; }
    std::uint64_t window_ms() const { return window_ms_; }

  private:
    static constexpr duration longest_read_time = 1s;

    struct waiter;
    struct batch;
    using waiter_handle = std::shared_ptr<waiter>;
    using batch_handle = std::shared_ptr<batch>;

    boost::asio::awaitable<void> follow(std::shared_ptr<order_stream> self);
    boost::asio::awaitable<void> follow_between(std::shared_ptr<order_stream> self);
    boost::asio::awaitable<void> append_batches(std::shared_ptr<order_stream> self);
    boost::asio::awaitable<void> append_batch(std::shared_ptr<order_stream> self,
                                              batch_handle sent);
    boost::asio::awaitable<void> await_answer(waiter_handle waiting, duration timeout);
    bool take_append_result(batch& sent, const external_result<log_offset>& result);
    void take_records(const log_read& read, log_offset from);
    void take_verdicts(const std::string& record_id, const record_verdicts& verdicts);
    std::string fault_before_append(const schema::order_claim& claim) const;
    batch_handle next_batch();
    void enqueue(waiter_handle waiting);
    void acknowledge_settlements(batch& sent);

    boost::asio::any_io_executor executor_;
    order_stream_settings settings_;
    log_client log_;
    random_source random_;
    claim_table table_;
    log_offset position_ = 1;
    std::uint64_t window_ms_ = 0;
    bool caught_up_ = false;
    bool log_trouble_ = false;
    bool stopped_ = false;
    std::deque<waiter_handle> queue_;
    std::map<std::string, batch_handle> batches_; // Appended, not yet read back.
    unsigned appends_in_flight_ = 0;
    duration append_interval_;
    time_point next_append_{};
    duration read_time_ = longest_read_time; // Of a read that did not have to wait, about.
    timer wake_;
    timer between_; // When the second of two overlapping reads starts.
    timer pause_;
};

} // namespace chervildyke
