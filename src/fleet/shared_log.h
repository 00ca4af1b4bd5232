/** \file
 * Defines shared_log, the client interface of the replicated log that all nodes read and append to.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "base/result.h"
#include "fleet/log_position.h"

namespace chervildyke {

/** After the log was restored from an older copy, operators and backend servers write again what it
 * lacks of theirs within this time.
 */
inline constexpr duration log_rewrite_time = 2s;

/** Why a call on the log failed. */
enum class shared_log_error {
    none,
    refused,         // The call had no effect and may be repeated later.
    unknown_outcome, // No answer. An append may have been applied, or may still be while its
                     // condition holds.
    conflict,        // The log does not end at the offset that the append expects.
    trimmed,  // The requested records are not in the log; read the latest record of each key.
    restored, // The log was restored from an older copy; read the latest record of each key. An
              // append may have been applied to the restored log.
    invalid_response, // The answer could not be parsed.
};

using shared_log_failure = failure<shared_log_error>;

template <typename Value>
using shared_log_result = result<Value, shared_log_error>;

/** A record of a compacted log, which keeps the newest record of each key. */
struct keyed_record {
    std::uint64_t offset = 0;
    std::string key;
    std::optional<std::string> value; // Nothing if the key was deleted.

    bool operator==(const keyed_record&) const = default;
};

/** Records of one era and the offset at which to continue reading. */
struct keyed_records {
    std::vector<keyed_record> records;
    std::uint64_t next_offset = 0;
    std::uint64_t era = 0; // Of the log when it was read.

    log_position end() const { return {era, next_offset}; }

    bool operator==(const keyed_records&) const = default;
};

/** The answer to a read of a topic. The log limits the size of an answer, so it may hold only the
 * first of the records that follow the requested offset.
 */
struct topic_read {
    keyed_records records;
    std::uint64_t topic_end = 0; // Where the topic ended when the log answered.

    bool operator==(const topic_read&) const = default;
};

/** \return the records as they stand in the log after an append at a position. */
inline keyed_records appended_at(log_position at, std::vector<keyed_record> records)
{
    for (std::size_t i = 0; i < records.size(); ++i) {
        records[i].offset = at.offset + i;
    }
    const std::uint64_t next = at.offset + records.size();
    return {std::move(records), next, at.era};
}

/** The calls on the log, supplied by the platform. */
struct shared_log {
    /** Reads the newest record of each key. Records that are appended during the call may be
     * missing; reading on from next_offset returns them.
     */
    std::function<boost::asio::awaitable<shared_log_result<keyed_records>>(std::string topic)>
        read_latest;

    /** Reads records from an offset on.
     * \param wait how long to wait for the first record.
     */
    std::function<boost::asio::awaitable<shared_log_result<topic_read>>(
        std::string topic, std::uint64_t from, duration wait)>
        read;

    /** Appends all records or none, on condition that the log ends at an offset; the records'
     * offsets are ignored. The log can't check the era: if it was restored and happens to end at
     * the same offset, it appends the records and the call fails with shared_log_error::restored.
     * \param at the end of the log as the writer has read it.
     * \return the position after the last record.
     */
    std::function<boost::asio::awaitable<shared_log_result<log_position>>(
        std::string topic, log_position at, std::vector<keyed_record> records)>
        append;

    /** Appends all records or none at the end of the log, without a condition; the records' offsets
     * are ignored.
     * \return the position after the last record.
     */
    std::function<boost::asio::awaitable<shared_log_result<log_position>>(
        std::string topic, std::vector<keyed_record> records)>
        put;
};

} // namespace chervildyke
