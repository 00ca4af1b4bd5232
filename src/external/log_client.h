/** \file
 * Defines log_client, the two calls that the system makes on the platform's log service.
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
    std::uint64_t appended_at_ms = 0; // By the log service's clock.

    bool operator==(const log_record&) const = default;
};

/** What one read brought. */
struct log_read {
    log_offset first_offset = 0; // The oldest record still kept.
    log_offset next_offset = 0;  // The offset that the next append will get.
    std::uint64_t retention_ms = 0;
    std::vector<log_record> records; // Empty when nothing came within the wait.

    bool operator==(const log_read&) const = default;
};

/** The calls on the log service. A bench of another make is another pair of hooks. */
struct log_client {
    /** Appends one record to a stream and returns its offset. After external_error::unknown_outcome
     * the record may stand in the stream.
     */
    std::function<boost::asio::awaitable<external_result<log_offset>>(std::string stream,
                                                                      std::string payload)>
        append;

    /** Reads records from an offset on; waits up to the span when there are none yet.
     * external_error::out_of_range is never returned: compare from with first_offset.
     */
    std::function<boost::asio::awaitable<external_result<log_read>>(
        std::string stream, log_offset from, std::uint32_t limit, duration wait)>
        read;
};

} // namespace chervildyke
