/** \file
 * Defines the hooks that claim and settle calls that run at most once, and the types that they use.
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
#include "entry/caller_info.h"

namespace chervildyke {

/** The outcome of a call; each call has exactly one. */
enum class call_outcome {
    complete,
    not_run, // Nothing was sent, or the server refused the call before it ran any of it.
    unknown, // The call may have run.
};

/** \return the value of X-Chervil-Outcome. */
constexpr const char* to_text(call_outcome outcome)
{
    return outcome == call_outcome::complete  ? "complete"
           : outcome == call_outcome::not_run ? "not_run"
                                              : "unknown";
}

/** Identifies one attempt of a call that runs at most once. */
struct call_identity {
    std::string tenant;
    std::string key; // The caller's Idempotency-Key; the attempt id if it sent none.
    std::string attempt_id;
    std::string body_digest;
    time_point deadline;
    std::uint64_t key_created_ms = 0; // By the caller's clock; zero if the caller sent no time.

    bool operator==(const call_identity&) const = default;
};

/** The result of a claim. The attempt may be sent only after claim_won. */
struct claim_decision {
    schema::claim_result result = schema::claim_result_none;
    std::string reason;
    std::optional<schema::order_settlement> settlement; // For claim_settled.
};

/** Claims a call before it is sent and settles it after it has ended. While the hooks are empty,
 * completions that run at most once are refused as not run.
 */
struct at_most_once_hooks {
    std::function<boost::asio::awaitable<claim_decision>(call_identity)> claim;
    std::function<boost::asio::awaitable<void>(call_identity, call_outcome, unsigned status,
                                               std::string content_type, std::string body)>
        settle;
};

/** Handles POST /v1/services/{service}/{operation}. */
using service_call_handler = std::function<boost::asio::awaitable<void>(
    http_exchange&, const caller_info&, const schema::routing_view&)>;

} // namespace chervildyke
