/** \file
 * Implements event_log over a non-blocking standard output, with a token bucket as rate limit.
 */
#include "base/event_log.h"

#include <algorithm>

#include <fcntl.h>
#include <unistd.h>

namespace chervildyke {

namespace {

struct event_output {
    std::string node;
    double lines_per_s = 0; // Zero until start_event_log(); no lines are written.
    double tokens = 0;      // Lines that may be written at once; at most lines_per_s.
    time_point refilled_at{};
    std::uint64_t dropped = 0;
    std::uint64_t dropped_reported = 0; // Of these, those that a written line has reported.
};

event_output& output()
{
    static event_output shared;
    return shared;
}

/** \return false if the rate limit is exceeded. */
bool take_token(event_output& out)
{
    const time_point now = monotonic_clock::now();
    const double passed = std::chrono::duration<double>(now - out.refilled_at).count();
    out.tokens = std::min(out.lines_per_s, out.tokens + passed * out.lines_per_s);
    out.refilled_at = now;
    if (out.tokens < 1) {
        return false;
    }
    out.tokens -= 1;
    return true;
}

/** Appends a value, in quotes if it contains a separator. */
void append_value(std::string& line, std::string_view value)
{
    const bool plain =
        !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string_view::npos;
    if (plain) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        line += c == '\n' || c == '\r' ? ' ' : c;
    }
    line += '"';
}

} // namespace

void start_event_log(std::string node, double lines_per_s)
{
    event_output& out = output();
    out.node = std::move(node);
    out.lines_per_s = lines_per_s;
    out.tokens = lines_per_s;
    out.refilled_at = monotonic_clock::now();
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

void event_log::write(std::string_view event, std::initializer_list<event_field> fields) const
{
    event_output& out = output();
    if (out.lines_per_s <= 0) {
        return;
    }
    if (!take_token(out)) {
        ++out.dropped;
        return;
    }
    std::string line = "time_ms=" + std::to_string(wall_clock_ms()) + " node=" + out.node +
                       " part=" + part_ + " event=" + std::string(event);
    for (const auto& [name, value] : fields) {
        line += ' ';
        line += name;
        line += '=';
        append_value(line, value);
    }
    if (out.dropped > out.dropped_reported) {
        line += " lines_dropped=" + std::to_string(out.dropped - out.dropped_reported);
    }
    line += '\n';
    const ::ssize_t written = ::write(STDOUT_FILENO, line.data(), line.size());
    if (written < 0) {
        ++out.dropped;
        return;
    }
    out.dropped_reported = out.dropped;
}

std::uint64_t dropped_event_lines()
{
    return output().dropped;
}

std::string to_ms_text(duration span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace chervildyke
