/** \file
 * Defines the reading and the replay of recorded traces: calls with their expected outcomes, one
 * JSON object a line.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "load/fleet_description.h"

namespace chervildyke::load {

/** One recorded call and its expected result. */
struct trace_call {
    std::size_t line = 0; // In the trace's text, from one.
    double at_ms = 0;     // From the trace's start.
    std::string tenant;
    std::string team;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    std::string operation;
    std::string body;
    std::string idempotency_key;
    std::uint32_t deadline_ms = 0;
    std::string expected_outcome; // complete, not_run or unknown; empty: any.
    unsigned expected_status = 0; // HTTP status; zero: any.
    std::string same_as; // The answer must equal that to the call with this idempotency key.
    bool wait = true;    // The next call starts only when this one has ended.

    bool operator==(const trace_call&) const = default;
};

/** Reads a trace. Empty lines and lines that start with // are skipped.
 * \param errors gets a text for each line that can't be read.
 * \return the calls of all other lines.
 */
std::vector<trace_call> read_trace(const std::string& text, std::vector<std::string>& errors);

/** Replays a trace and compares each result with the expected one.
 * \return a text for each difference.
 */
boost::asio::awaitable<std::vector<std::string>> replay_trace(std::vector<trace_call> trace,
                                                              fleet_description fleet);

} // namespace chervildyke::load
