/** \file
 * Defines journal_node, which applies the records of the journal stream to a local state and
 * appends new records.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "base/random.h"
#include "control_api.pb.h"
#include "external/log_client.h"
#include "journal.pb.h"
#include "journal/checkpoint.h"
#include "journal/fleet_state.h"
#include "journal/journal_error.h"
#include "journal/record_window.h"

namespace chervildyke {

struct journal_options {
    std::string stream = "journal";
    std::string writer;             // This process's incarnation.
    duration read_wait = 5s;        // How long one read waits for new records.
    std::uint32_t read_limit = 256; // Records in one read.
    duration min_retry_delay = 100ms;
    duration max_retry_delay = 2s;
    duration member_poll_interval = 250ms; // Between checks for higher offsets of members.
    duration freshness_bound = 12s;    // The maximum age of the last confirmation of a fresh state.
    duration checkpoint_interval = 0s; // Zero derives it from the log's retention.
    bool writes_checkpoints = true;
    std::size_t checkpoint_chunk_bytes = 256U << 10U;
    std::size_t max_kept_records = 4096;    // Kept in memory for other members.
    std::size_t max_kept_bytes = 4U << 20U; // Payload bytes of these records.
};

/** The functions through which a journal_node uses the log service and the other members. A member
 * function that is empty counts as "no member is reachable".
 */
struct journal_hooks {
    log_client log;
    random_source random;

    /** Requests raw records from a member, starting at an offset. */
    std::function<boost::asio::awaitable<journal_result<schema::record_batch>>(
        schema::record_request request)>
        fetch_records;

    /** Requests the whole state of a member. */
    std::function<boost::asio::awaitable<journal_result<schema::state_snapshot>>()> fetch_snapshot;

    /** The highest offset that any recently heard member has applied; no value when no member was
     * heard.
     */
    std::function<std::optional<log_offset>()> highest_member_offset;

    /** Whether this process is the preferred writer of checkpoints; without this function it is. */
    std::function<bool()> is_preferred_checkpointer;
};

/** The offset of an appended record, and the outcome that every reader computes for it. */
struct proposal_outcome {
    log_offset offset = 0;
    record_outcome outcome;

    bool operator==(const proposal_outcome&) const = default;
};

/** Reads the journal stream, applies its records to a fleet_state, and serves them to other
 * members.
 *
 * The initial state is built from the log: from its first record, or from a checkpoint once records
 * have been trimmed. It is fetched from a member when the log is unreachable or has a gap. While
 * neither source is available, the node is not ready and keeps retrying.
 *
 * The applied offset never decreases: records and snapshots at or below it are ignored. When the
 * log has lost or replaced records that were already applied, diverged() becomes true and the node
 * applies no further records.
 *
 * A process that can't reach the log fetches records from members that can. A process that can
 * reach neither the log nor any member keeps its state and continues to route by it, because no
 * newer information is available. After freshness_bound without confirmation fresh() is false and
 * propose() fails, since most records based on an outdated state would be rejected. An outdated
 * state is safe: a record still in flight is validated at its offset like any other.
 */
class journal_node {
  public:
    using state_hook = std::function<void(const std::shared_ptr<const fleet_state>&)>;
    using record_hook =
        std::function<void(const schema::journal_record&, log_offset, const record_outcome&)>;

    journal_node(journal_options options, journal_hooks hooks);
    journal_node(const journal_node&) = delete;
    journal_node& operator=(const journal_node&) = delete;

    /** Reads and applies the journal until the task is cancelled. The node must outlive the task.
     */
    boost::asio::awaitable<void> run();

    /** The state at the highest applied offset; never null. */
    const std::shared_ptr<const fleet_state>& state() const { return state_; }

    log_offset highest_offset() const { return state_->offset(); }

    /** Whether the last read of the log succeeded. */
    bool log_reachable() const { return log_reachable_; }

    /** Whether the state has caught up at least once with the log or, while the log was
     * unreachable, with the members.
     */
    bool ready() const { return ready_; }

    /** Whether the log or the members confirmed within freshness_bound that the state is the
     * newest. False while not ready, diverged, or at an unsupported format.
     */
    bool fresh() const;

    /** Whether the log has lost or replaced records that were applied here. */
    bool diverged() const { return diverged_; }

    /** The log's retention, as of its last reply; zero before the first reply. */
    duration retention() const { return retention_; }

    /** Calls the hook with the new state after each batch of applied records and each snapshot. */
    void subscribe(state_hook hook) { state_hooks_.push_back(std::move(hook)); }

    /** Calls the hook for each record as it is applied. */
    void observe(record_hook hook) { record_hooks_.push_back(std::move(hook)); }

    /** Appends a record and waits until it is read back and applied.
     * \param change the record; writer, format and time are filled in, and the id when it is empty.
     * \param timeout the limit for appending and reading back.
     * \return the record's offset and outcome. journal_error::not_ready when the state is not
     * fresh; journal_error::not_appended when the record is not in the journal and will not be
     * added; journal_error::unknown_outcome when it may be in the journal.
     */
    boost::asio::awaitable<journal_result<proposal_outcome>> propose(schema::journal_record change,
                                                                     duration timeout);

    /** Serves a member's request for raw records. */
    schema::record_batch serve_records(const schema::record_request& request) const;

    /** Serves a member's request for the state.
     * \return the state; offset 0 and format 0 before the first state, and after a divergence.
     */
    schema::state_snapshot serve_snapshot() const;

  private:
    struct proposal;

    /** The position when a read began; records from a member may be applied while it is pending. */
    struct read_position {
        log_offset offset = 0;
        std::optional<std::uint64_t> hash; // The hash of the payload at the offset.
    };

    boost::asio::awaitable<void> follow_log();
    boost::asio::awaitable<void> follow_members();
    boost::asio::awaitable<void> write_checkpoints();

    boost::asio::awaitable<bool> read_once();
    boost::asio::awaitable<bool> restore_from_checkpoint(log_offset first);
    boost::asio::awaitable<bool> restore_from_member(log_offset at_least);
    boost::asio::awaitable<bool> fetch_from_member();
    boost::asio::awaitable<bool> write_checkpoint();
    boost::asio::awaitable<journal_failure> append_change(std::shared_ptr<proposal> pending,
                                                          std::string payload);

    void on_log_read(const log_read& read);
    bool matches_log(const log_read& read, const read_position& before);
    bool install_snapshot(const schema::state_snapshot& snapshot);
    void apply_records(const std::vector<log_record>& records);
    void on_record_applied(const schema::journal_record& record, const log_record& raw,
                           const record_outcome& outcome);
    void on_checkpoint_found(log_offset covers, std::uint64_t appended_at_ms);
    void publish_state();
    bool checkpoint_due() const;
    duration checkpoint_interval() const;
    duration next_retry_delay();

    journal_options options_;
    journal_hooks hooks_;
    std::shared_ptr<const fleet_state> state_;
    bool started_ = false; // The state has an origin: the first record or a snapshot.
    bool ready_ = false;
    bool diverged_ = false;
    bool log_reachable_ = false;
    bool verify_last_ = false; // The next read starts at the last applied record, to compare it.
    std::optional<std::uint64_t> last_hash_; // The hash of the last applied payload.
    duration retry_delay_ = 0s;
    duration retention_ = 0s;
    time_point confirmed_at_; // When the state was last confirmed to be the newest.
    time_point behind_since_;
    bool behind_ = false; // A member has applied a higher offset.
    std::optional<time_point> outage_since_;
    record_window window_;
    checkpoint_assembler assembler_;
    log_offset first_offset_ = 0;                 // The oldest record that the log still keeps.
    std::optional<log_offset> checkpoint_covers_; // The offset of the newest known checkpoint.
    time_point checkpoint_at_;                    // When the newest known checkpoint was appended.
    bool checkpoint_wanted_ = false;              // Write one without waiting for the interval.
    std::map<std::string, std::shared_ptr<proposal>> proposals_; // By record id.
    std::vector<state_hook> state_hooks_;
    std::vector<record_hook> record_hooks_;
};

} // namespace chervildyke
