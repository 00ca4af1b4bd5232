/** \file
 * Defines call_codec, the hooks that translate calls between callers, nodes and backend servers.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/end_to_end_headers.h"
#include "base/http_message.h"
#include "routing/backend_notices.h"

namespace chervildyke {

/** The parameters of one call, decoded from its request. */
struct call_parameters {
    std::string id; // Identifies the caller's attempt; backend servers echo it.
    std::string host;
    std::string key;
    std::string model;
    std::vector<std::string> shared_parts; // Ids of the prompt's parts that other calls may share.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_answer_tokens = 0;
    std::optional<std::uint32_t> answer_hint; // In tokens, as estimated by the caller.
    std::optional<duration> time_left;        // Until the caller's deadline.
    std::optional<std::uint64_t> last_event;  // The stream resumes after it.

    bool operator==(const call_parameters&) const = default;
};

/** The parameters that one attempt adds to the caller's request. */
struct attempt_parameters {
    std::string backend_id; // Another backend server at this address refuses the call.
    std::string team;       // Empty if the route needs no key.
    duration time_left{};
    std::optional<std::uint64_t> last_event;
    // In the engine's queue, 0 to 9, zero first; replaces that of the caller. None: it is
    // forwarded.
    std::optional<std::uint32_t> priority;

    bool operator==(const attempt_parameters&) const = default;
};

/** What the headers of a backend server's answer state about the call and the server. */
struct answer_metadata {
    bool not_run = false; // The call was certainly not executed.
    bool sealed = false;  // It carries the seal by which a backend server certifies its answer.
    std::string call_id;  // The call that it answers; empty if not stated.
    std::string at_fault; // The backend server that caused a refusal.
    backend_notice notice;
    std::string invalid_pause; // The text of a requested pause that can't be parsed.

    bool operator==(const answer_metadata&) const = default;
};

/** Hooks that decode requests and answers, and encode attempts and refusals. */
struct call_codec {
    std::function<call_parameters(const http_request&)> read_call;
    std::function<http_request(const http_request&, const attempt_parameters&)> write_attempt;
    std::function<answer_metadata(unsigned status, const std::vector<http_header>&)> read_metadata;

    /** Encodes an answer that this node gives itself.
     * \param retry_after time after which the caller may retry; none: no hint is sent.
     */
    std::function<http_reply(unsigned status, const std::string& reason,
                             std::optional<duration> retry_after)>
        write_refusal;
};

} // namespace chervildyke
