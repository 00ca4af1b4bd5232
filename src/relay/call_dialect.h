/** \file
 * Defines call_dialect, the hooks that translate calls between callers, nodes and backend servers.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/http_message.h"
#include "routing/backend_notices.h"

namespace chervildyke {

/** What one call says of itself. */
struct call_terms {
    std::string id; // Names this attempt of the caller; backend servers repeat it.
    std::string host;
    std::string key;
    std::string model;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_answer_tokens = 0;
    std::optional<std::uint32_t> answer_hint; // Tokens; the caller's guess.
    std::optional<duration> time_left;        // Until the caller gives up.
    std::optional<std::uint64_t> last_event;  // A stream goes on behind it.

    bool operator==(const call_terms&) const = default;
};

/** What an attempt adds to the caller's request. */
struct attempt_terms {
    std::string backend_id; // Any other backend server at the address refuses.
    std::string team;       // Empty: the route needs no key.
    duration time_left{};
    std::optional<std::uint64_t> last_event;

    bool operator==(const attempt_terms&) const = default;
};

/** What a backend server says of its answer. */
struct answer_marks {
    bool not_run = false; // It certainly did not run the call.
    bool sealed = false;  // It vouches for the answer.
    std::string call_id;  // Which call it answers; empty: it does not say.
    std::string at_fault; // The backend server that is to blame for a refusal.
    backend_notice notice;
    std::string unread_pause; // A pause that it asked for in a form that can't be read.

    bool operator==(const answer_marks&) const = default;
};

struct call_dialect {
    std::function<call_terms(const http_request&)> read_call;
    std::function<http_request(const http_request&, const attempt_terms&)> write_attempt;
    std::function<answer_marks(unsigned status, const std::vector<http_header>&)> read_marks;

    /** An answer of this node's own.
     * \param retry_after when the caller may come back.
     */
    std::function<http_reply(unsigned status, const std::string& reason,
                             std::optional<duration> retry_after)>
        write_refusal;
};

/** \return the headers that go on to the next connection. */
std::vector<http_header> end_to_end_headers(const std::vector<http_header>& headers);

} // namespace chervildyke
