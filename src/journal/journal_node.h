/** \file
 * Defines journal_node, the part of a process that follows the journal and appends to it.
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
    std::string writer; // This process's incarnation.
    duration read_wait = 5s;
    std::uint32_t read_limit = 256;
    duration shortest_retry = 100ms;
    duration longest_retry = 2s;
    duration hand_on_interval = 250ms;
    duration freshness_bound = 12s; // Without any confirmation for so long the state is not fresh.
    duration checkpoint_interval = 0s; // Zero: from the log's retention.
    bool writes_checkpoints = true;
    std::size_t checkpoint_chunk_bytes = 256U << 10U;
    std::size_t kept_records = 4096;
    std::size_t kept_bytes = 4U << 20U;
};

/** What the journal needs from the rest of the process. An empty hook counts as "no member". */
struct journal_hooks {
    log_client log;
    random_source random;

    /** Asks a member for raw records from an offset on. */
    std::function<boost::asio::awaitable<journal_result<schema::record_batch>>(
        schema::record_request request)>
        fetch_records;

    /** Asks a member for its whole state. */
    std::function<boost::asio::awaitable<journal_result<schema::state_snapshot>>()> fetch_snapshot;

    /** The highest offset that a member heard of lately has applied; empty when none was heard. */
    std::function<std::optional<log_offset>()> members_highest;

    /** Whether this process is the preferred writer of checkpoints. */
    std::function<bool()> am_checkpointer;
};

/** Where an appended record stands and what all readers concluded about it. */
struct proposal_verdict {
    log_offset offset = 0;
    verdict v;

    bool operator==(const proposal_verdict&) const = default;
};

/** Follows the journal stream, judges its records, and hands them on.
 *
 * The state comes from the log: from its first record, or from a checkpoint once records have
 * been trimmed. It comes from a member when the log can't be reached or has a gap. With neither,
 * the node is not ready and keeps trying.
 *
 * The state never goes back: records and snapshots at or below the applied offset are ignored. A
 * log that lost or replaced records that were applied is reported (diverged()), and nothing more
 * is taken from it.
 *
 * A process cut off from the log follows through members that are not. A process cut off from the
 * log and from all members keeps its state and serves by it, as its routing knowledge is the best
 * there is; after freshness_bound it says that it is not fresh(), and propose() refuses, since
 * records judged against an old state would mostly be void. Nothing unsafe follows from the old
 * state: a record it might have in flight is judged at its offset like any other.
 */
class journal_node {
  public:
    using state_hook = std::function<void(const std::shared_ptr<const fleet_state>&)>;
    using record_hook =
        std::function<void(const schema::journal_record&, log_offset, const verdict&)>;

    journal_node(journal_options options, journal_hooks hooks);
    journal_node(const journal_node&) = delete;
    journal_node& operator=(const journal_node&) = delete;

    /** Follows the journal until the task is cancelled. The node must outlive it. */
    boost::asio::awaitable<void> run();

    /** The state at the highest applied offset; never null. */
    const std::shared_ptr<const fleet_state>& state() const { return state_; }

    log_offset highest_offset() const { return state_->offset(); }

    /** Whether the last read of the log was answered. */
    bool log_reachable() const { return log_reachable_; }

    /** Whether the state has once caught up with the log, or with the members without it. */
    bool ready() const { return ready_; }

    /** Whether the log or a member confirmed lately that the state is the newest. */
    bool fresh() const;

    /** Whether the log no longer holds what was applied from it. */
    bool diverged() const { return diverged_; }

    /** The log's retention, as last told; zero before. */
    duration retention() const { return retention_; }

    /** Calls the hook after each run of applied records. */
    void subscribe(state_hook hook) { state_hooks_.push_back(std::move(hook)); }

    /** Calls the hook for each record as it is judged. */
    void observe(record_hook hook) { record_hooks_.push_back(std::move(hook)); }

    /** Appends a change and waits for the verdict.
     * \param change the record; id, writer, format and time are filled in, a given id is kept.
     * \param timeout for all of it.
     * \return where the record stands and the verdict. journal_error::not_appended when it never
     * will stand there; journal_error::unclear when it may.
     */
    boost::asio::awaitable<journal_result<proposal_verdict>> propose(schema::journal_record change,
                                                                     duration timeout);

    /** Answers a member that asks for raw records. */
    schema::record_batch serve_records(const schema::record_request& request) const;

    /** Answers a member that asks for the state; offset 0 and format 0 when not ready. */
    schema::state_snapshot serve_snapshot() const;

  private:
    struct proposal;

    /** What was applied when a read began; a member may hand on more while it runs. */
    struct read_position {
        log_offset offset = 0;
        std::optional<std::uint64_t> hash; // Of the payload at the offset.
    };

    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> hand_on();
    boost::asio::awaitable<void> write_checkpoints();

    boost::asio::awaitable<bool> read_once();
    boost::asio::awaitable<bool> start_from_log(log_offset first);
    boost::asio::awaitable<bool> start_from_member(log_offset at_least);
    boost::asio::awaitable<bool> follow_member();
    boost::asio::awaitable<bool> write_checkpoint();
    boost::asio::awaitable<journal_failure> append_change(std::shared_ptr<proposal> entry,
                                                          std::string payload);

    void note_read(const log_read& read);
    bool matches_log(const log_read& read, const read_position& before);
    bool adopt(const schema::state_snapshot& snapshot);
    void apply_records(const std::vector<log_record>& records);
    void note_judged(const schema::journal_record& record, const log_record& raw, const verdict& v);
    void note_checkpoint(log_offset covers, std::uint64_t appended_at_ms);
    void publish_state();
    bool checkpoint_due() const;
    duration checkpoint_interval() const;
    duration next_pause();

    journal_options options_;
    journal_hooks hooks_;
    std::shared_ptr<const fleet_state> state_;
    bool started_ = false;
    bool ready_ = false;
    bool diverged_ = false;
    bool log_reachable_ = false;
    bool verify_last_ = false;               // The next read starts at the last applied record.
    std::optional<std::uint64_t> last_hash_; // Of the last applied payload.
    duration pause_ = 0s;
    duration retention_ = 0s;
    time_point confirmed_at_;
    time_point behind_since_;
    bool behind_ = false;
    std::optional<time_point> outage_since_;
    record_window window_;
    checkpoint_assembler assembler_;
    log_offset first_offset_ = 0;
    std::optional<log_offset> checkpoint_covers_;
    time_point checkpoint_at_;
    bool checkpoint_wanted_ = false;
    std::map<std::string, std::shared_ptr<proposal>> proposals_;
    std::vector<state_hook> state_hooks_;
    std::vector<record_hook> record_hooks_;
};

} // namespace chervildyke
