/** \file
 * Defines the recorded traces: calls with the outcomes stated beside them, one JSON object a line.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "load/fleet.h"

namespace chervildyke::load {

/** One recorded call and what must come of it. */
struct trace_line {
    std::size_t line = 0;
    double at_ms = 0; // From the trace's start.
    std::string tenant;
    std::string team;
    std::string prompt;
    std::uint32_t tokens = 0;
    std::string operation;
    std::string body;
    std::string key;
    std::uint32_t deadline_ms = 0;
    std::string outcome; // complete, not_run or unknown; empty: any.
    unsigned status = 0; // Zero: any.
    std::string same_as; // The key whose confirmation this one must repeat.
    bool wait = true;    // The next line starts when this call ended.

    bool operator==(const trace_line&) const = default;
};

/** \param faults filled with each line that can't be read.
 * \return the trace's lines.
 */
std::vector<trace_line> read_trace(const std::string& text, std::vector<std::string>& faults);

/** Replays a trace and compares each outcome with the one stated.
 * \return one text for each difference.
 */
boost::asio::awaitable<std::vector<std::string>> replay_trace(std::vector<trace_line> trace,
                                                              fleet where);

} // namespace chervildyke::load
