/** \file
 * Defines completion_request, a caller's OpenAI-compatible completions call as the entry reads it.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/http_message.h"
#include "control_api.pb.h"
#include "entry/api_error.h"

namespace chervildyke {

enum class call_kind { chat, text };

/** \return the kind as templates name it in never_repeat. */
constexpr const char* to_text(call_kind kind)
{
    return kind == call_kind::chat ? "chat.completions" : "completions";
}

/** One call as the caller wrote it; what the team's parameters add comes later. */
struct completion_request {
    call_kind kind = call_kind::chat;
    std::string team;             // The model field up to a colon.
    std::string adapter;          // The model field after the colon; empty: none.
    std::string prompt;           // For chat: each message as "role: content" and a line end.
    std::uint32_t max_tokens = 0; // Zero: the caller named none.
    std::uint64_t seed = 0;       // Zero: the caller named none.
    bool stream = false;
    bool include_usage = false; // stream_options.include_usage
    bool batch = false;         // X-Chervil-Class: batch; goes after interactive calls.
    std::string idempotency_key;
    std::uint64_t key_created_ms = 0; // X-Chervil-Key-Created-Ms; zero: not told.

    bool operator==(const completion_request&) const = default;
};

/** Reads the body and headers of a completions call.
 * \return an error with status 400 when a field has the wrong type or is out of range.
 */
api_result<completion_request> read_completion(call_kind kind, const http_request& request);

} // namespace chervildyke
