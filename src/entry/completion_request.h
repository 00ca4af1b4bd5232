/** \file
 * Defines completion_request, a parsed OpenAI-compatible completions call.
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

enum class completion_kind { chat, text };

/** \return the name of the kind in the never_repeat parameter of templates. */
constexpr const char* to_text(completion_kind kind)
{
    return kind == completion_kind::chat ? "chat.completions" : "completions";
}

/** A call as the caller sent it, without the defaults and limits of the team. */
struct completion_request {
    completion_kind kind = completion_kind::chat;
    std::string team;             // The model field up to the first colon.
    std::string adapter;          // The model field after the colon; empty for none.
    std::string prompt;           // Chat: each message as "role: content" and a newline.
    std::uint32_t max_tokens = 0; // Zero if not given.
    std::uint64_t seed = 0;       // Zero if not given.
    bool stream = false;
    bool include_usage = false; // stream_options.include_usage
    bool batch = false; // X-Chervil-Class: batch; has a lower priority than interactive calls.
    std::string idempotency_key;
    std::uint64_t key_created_ms = 0; // X-Chervil-Key-Created-Ms; zero if not given.

    bool operator==(const completion_request&) const = default;
};

/** Parses the body and the headers of a completions call.
 * \return an error with status 400 if the body is no JSON object, or if a field or header has the
 * wrong type or is out of range.
 */
api_result<completion_request> parse_completion_request(completion_kind kind,
                                                        const http_request& request);

} // namespace chervildyke
