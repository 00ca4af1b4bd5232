/** \file
 * Defines log_client, the two calls to the platform's log service.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "external/external_error.h"

namespace chervildyke {

using log_offset = std::uint64_t;

struct log_record {
    log_offset offset = 0;
    std::string payload;
    std::uint64_t appended_at_ms = 0; // Unix time by the clock of the log service.

    bool operator==(const log_record&) const = default;
};

/** The result of one read. */
struct log_read {
    log_offset first_offset = 0;     // Of the oldest record that is retained.
    log_offset next_offset = 0;      // Of the next append.
    std::uint64_t retention_ms = 0;  // How long the log retains a record after its append.
    std::vector<log_record> records; // Empty if none was appended during the wait.

    bool operator==(const log_read&) const = default;
};

/** The calls to the log service; another log service is supported by another pair of hooks. */
struct log_client {
    /** Appends a record to a stream and returns its offset. After external_error::unknown_outcome
     * the record may be in the stream.
     */
    std::function<boost::asio::awaitable<external_result<log_offset>>(std::string stream,
                                                                      std::string payload)>
        append;

    /** Reads at most limit records from an offset on. If there are none yet, it waits for the next
     * append, for at most the duration. If the offset is trimmed, the result begins with a later
     * record and first_offset is above from; external_error::out_of_range is never returned.
     */
    std::function<boost::asio::awaitable<external_result<log_read>>(
        std::string stream, log_offset from, std::uint32_t limit, duration wait)>
        read;
};

} // namespace chervildyke
