/** \file
 * Defines the hooks through which calls that must not be repeated are claimed and settled.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "base/http_server.h"
#include "control_api.pb.h"
#include "entry/caller.h"

namespace chervildyke {

/** How a call ended; each call ends in exactly one of these. */
enum class call_outcome {
    complete,
    not_run, // Nothing was sent, or the backend server refused before it ran anything.
    unknown,
};

/** \return the outcome as callers read it. */
constexpr const char* to_text(call_outcome outcome)
{
    return outcome == call_outcome::complete  ? "complete"
           : outcome == call_outcome::not_run ? "not_run"
                                              : "unknown";
}

/** What names one attempt of a call that runs at most once. */
struct call_identity {
    std::string tenant;
    std::string key; // The caller's Idempotency-Key; a call without one is its own key.
    std::string attempt_id;
    std::string body_digest;
    time_point deadline;
    std::uint64_t key_created_ms = 0; // By the caller's clock; zero: not told.

    bool operator==(const call_identity&) const = default;
};

/** Whether an attempt may be sent. Only claim_won permits it. */
struct claim_decision {
    schema::claim_result result = schema::claim_result_none;
    std::string reason;
    std::optional<schema::order_settlement> settlement; // For claim_settled.
};

/** Claims a call before it is sent and settles it after it ended. Empty hooks: such calls are
 * refused as not run.
 */
struct call_guard {
    std::function<boost::asio::awaitable<claim_decision>(call_identity)> claim;
    std::function<boost::asio::awaitable<void>(call_identity, call_outcome, unsigned status,
                                               std::string content_type, std::string body)>
        settle;
};

/** Answers POST /v1/services/{service}/{operation}. */
using service_route = std::function<boost::asio::awaitable<void>(http_exchange&, const caller&,
                                                                 const schema::routing_view&)>;

} // namespace chervildyke
