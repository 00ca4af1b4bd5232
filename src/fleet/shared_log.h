/** \file
 * Defines shared_log, the calls on the log in which all nodes agree and from which they learn.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "base/result.h"

namespace chervildyke {

enum class shared_log_error {
    none,
    refused,    // Nothing was done; try again later.
    unclear,    // No answer; an append may stand in the log, or be done later while its condition
                // still holds.
    conflict,   // The log does not end at the expected offset.
    trimmed,    // The records asked for are gone; read the newest of each key instead.
    not_usable, // The answer could not be read.
};

using shared_log_failure = failure<shared_log_error>;

template <typename Value>
using shared_log_result = result<Value, shared_log_error>;

/** A record of a log that keeps the newest record of each key. */
struct keyed_record {
    std::uint64_t offset = 0;
    std::string key;
    std::optional<std::string> value; // None: the key was dropped.

    bool operator==(const keyed_record&) const = default;
};

/** Records beside the offset from which to read on. */
struct keyed_records {
    std::vector<keyed_record> records;
    std::uint64_t next_offset = 0;

    bool operator==(const keyed_records&) const = default;
};

struct shared_log {
    /** Reads the newest record of each key. Records appended meanwhile may be in it or not; reading
     * on from next_offset brings all of them.
     */
    std::function<boost::asio::awaitable<shared_log_result<keyed_records>>(std::string topic)>
        newest;

    /** Reads on from an offset; waits up to the span for the first record. */
    std::function<boost::asio::awaitable<shared_log_result<keyed_records>>(
        std::string topic, std::uint64_t from, duration wait)>
        read;

    /** Appends all records or none, if the log ends at the offset of the first.
     * \return the offset behind the last.
     */
    std::function<boost::asio::awaitable<shared_log_result<std::uint64_t>>(
        std::string topic, std::vector<keyed_record> records)>
        append;

    /** Appends one record wherever the log ends; its offset is not looked at. */
    std::function<boost::asio::awaitable<shared_log_result<std::uint64_t>>(std::string topic,
                                                                           keyed_record record)>
        put;
};

} // namespace chervildyke
