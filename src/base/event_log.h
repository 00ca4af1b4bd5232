/** \file
 * Defines event_log, which writes one structured line for each decision or change of state. All
 * other log lines go through logger (base/log.h).
 */
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "base/clock.h"

namespace chervildyke {

/** The key and the value of one field. */
using event_field = std::pair<std::string_view, std::string>;

/** Writes lines of key=value pairs to standard output. Lines beyond the rate limit are dropped and
 * counted, and so are lines that standard output can't take at once, since a slow reader must not
 * block the process.
 */
class event_log {
  public:
    /** \param part the component that the lines name. */
    explicit event_log(const char* part) : part_(part) {}

    /** Writes one line, if start_event_log() was called.
     * \param event what happened, as one word.
     * \param fields the inputs of the decision with their age or version, and the outcome.
     */
    void write(std::string_view event, std::initializer_list<event_field> fields) const;

  private:
    const char* part_;
};

/** Makes standard output non-blocking and enables event_log for the whole process.
 * \param node the node that the lines name.
 * \param lines_per_s the maximum rate of lines of this process; bursts of one second's lines pass.
 */
void start_event_log(std::string node, double lines_per_s = 400);

/** \return the number of lines dropped since the process started. */
std::uint64_t dropped_event_lines();

/** \return the span in whole milliseconds, without a unit, for a field of a log line. */
std::string to_ms_text(duration span);

} // namespace chervildyke
