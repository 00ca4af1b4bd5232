/** \file
 * Defines topic_follower, which keeps up with one topic of the shared log and knows how old its
 * word is.
 */
#pragma once

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "fleet/shared_log.h"

namespace chervildyke {

/** What a follower does with what it reads. */
struct topic_hooks {
    /** Takes the newest record of each key; keys that are not among them are gone. */
    std::function<void(const keyed_records&)> replace;

    /** Takes records in the order of the log. */
    std::function<void(const keyed_records&)> apply;

    /** The log could not be read. */
    std::function<void()> outage;
};

/** Reads a topic: first the newest of each key, then record by record. */
class topic_follower {
  public:
    topic_follower(shared_log log, std::string topic, topic_hooks hooks);

    /** Reads once.
     * \param wait how long the log may hold the answer back while there is no record.
     * \return true when the topic was read.
     */
    boost::asio::awaitable<bool> read_once(duration wait);

    /** Takes records that are known to stand in the log, from an append or a peer; those that were
     * read before are left out.
     * \return false when records are missing before them.
     */
    bool take(const keyed_records& records);

    /** A peer has read the topic.
     * \param end the offset behind the last record that the peer read.
     * \param age since the peer's call began, and as long as its word was under way.
     */
    void confirm(std::uint64_t end, duration age);

    /** The offset behind the last record read. */
    std::uint64_t next_offset() const { return next_offset_; }

    bool has_read() const { return loaded_; }

    /** True when the last read failed. */
    bool lost() const { return lost_; }

    /** Time since the call that brought the last confirmed word began; it runs on while the
     * process is suspended.
     */
    std::optional<duration> age() const;

  private:
    boost::asio::awaitable<bool> load();

    shared_log log_;
    std::string topic_;
    topic_hooks hooks_;
    bool loaded_ = false;
    bool lost_ = false; // The last read failed.
    std::uint64_t next_offset_ = 0;
    std::optional<duration> confirmed_at_; // On the clock that counts suspended time.
};

} // namespace chervildyke
