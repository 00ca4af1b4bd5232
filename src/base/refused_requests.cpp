/** \file
 * Implements refused_requests.
 */
#include "base/refused_requests.h"

#include "base/event_log.h"

namespace chervildyke {

namespace {

const event_log server_log("server");

constexpr std::uint32_t max_lines_per_s = 3; // Clients may cause thousands of refusals a second.

} // namespace

const char* to_text(bad_request kind)
{
    switch (kind) {
    case bad_request::malformed:
        return "malformed";
    case bad_request::header_too_large:
        return "header_too_large";
    case bad_request::body_too_large:
        return "body_too_large";
    case bad_request::too_slow:
        return "too_slow";
    case bad_request::too_many_connections:
        return "too_many_connections";
    case bad_request::no_memory:
        return "no_memory";
    case bad_request::connection_displaced:
        return "connection_displaced";
    }
    return "unknown";
}

void refused_requests::note(bad_request kind, const std::string& address)
{
    if (on_refused) {
        on_refused(kind);
    }
    const time_point now = monotonic_clock::now();
    if (now - second_began_ >= 1s) {
        second_began_ = now;
        lines_ = 0;
    }
    if (lines_ >= max_lines_per_s) {
        ++unlogged_;
        return;
    }
    ++lines_;
    server_log.write(
        "request_refused",
        {{"reason", to_text(kind)}, {"client", address}, {"unlogged", std::to_string(unlogged_)}});
    unlogged_ = 0;
}

} // namespace chervildyke
