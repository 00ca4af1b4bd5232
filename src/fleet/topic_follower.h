/** \file
 * Defines topic_follower, which reads one topic of the shared log and tracks the age of what it has
 * read.
 */
#pragma once

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "fleet/freshness_proof.h"
#include "fleet/shared_log.h"

namespace chervildyke {

/** Callbacks of a topic_follower. */
struct topic_hooks {
    /** Replaces the whole state by the newest record of each key; other keys have been deleted. If
     * the records are of a newer era than those before, the log was restored from an older copy:
     * newer records may be missing, and deleted keys may be back.
     */
    std::function<void(const keyed_records&)> replace;

    /** Applies further records, in log order. */
    std::function<void(const keyed_records&)> apply;

    /** Called when the log could not be read.
     * \param at when it did not answer: for a read whose answer it may delay, the end of that
     * delay, which is earlier than the timeout; otherwise now.
     */
    std::function<void(time_point at)> outage;
};

/** Reads a topic: first the newest record of each key, then each record in log order. Applies every
 * record once and skips none. When the log was restored from an older copy, its era has increased:
 * the newest record of each key is read again, and nothing of an earlier era is applied any more.
 */
class topic_follower {
  public:
    topic_follower(shared_log log, std::string topic, topic_hooks hooks);

    /** Reads up to where the topic ends when the read begins, in as many calls as that takes. A
     * read without a wait may run beside one that waits. \param wait how long the log may delay its
     * answer while it has no new record. \return true if the topic was read.
     */
    boost::asio::awaitable<bool> read_once(duration wait);

    /** Applies records known to be in the log, from an append or from a peer. Records that were
     * applied before, and those of an earlier era, are skipped.
     * \return false if the topic is not loaded or records before these are missing.
     */
    bool apply_records(const keyed_records& records);

    /** Uses a peer's read of the topic to lower age(), if this node has read as far as the peer.
     * \param end the position after the last record of the peer's copy.
     * \param age of the peer's copy, including the transfer of its message.
     */
    void confirm(log_position end, duration age);

    /** Records that the log has reached an era. If it is newer than the one that was read, the
     * newest record of each key is read next.
     * \return true if it is newer.
     */
    bool note_era(std::uint64_t era);

    /** The position after the last record that was applied. */
    log_position position() const { return position_; }

    /** True after the newest record of each key has been read, in the newest known era. */
    bool is_loaded() const { return loaded_; }

    /** True if the last read failed. */
    bool last_read_failed() const { return last_read_failed_; }

    /** The newest proof that this node's copy is up to date. After the log was restored it is of
     * the era before until the topic has been read again. Nothing before the first read.
     */
    const std::optional<freshness_proof>& proof() const { return proof_; }

    /** Time since the newest proof holds, including time in which the process is suspended. Nothing
     * before the first read.
     */
    std::optional<duration> age() const;

  private:
    boost::asio::awaitable<bool> load();
    boost::asio::awaitable<bool> read_part(duration wait);
    boost::asio::awaitable<bool> handle_failed_read(shared_log_failure failed, time_point due);
    void note_end(const observed_end& observed);
    void check_unreached_end();
    void renew_proof(const freshness_proof& proof);
    void log_long_poll(std::uint64_t from, const keyed_records& read, duration wait,
                       duration took) const;
    void note_success();
    bool fail_read(const char* call, const std::string& reason);

    shared_log log_;
    std::string topic_;
    topic_hooks hooks_;
    bool loaded_ = false;
    bool last_read_failed_ = false;
    log_position position_;
    std::uint64_t newest_era_ = 0; // Of the log, as any answer or peer has shown.
    std::optional<freshness_proof> proof_;
    std::optional<observed_end> unreached_end_; // The oldest that the copy has not reached.
};

} // namespace chervildyke
