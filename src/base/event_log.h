/** \file
 * Defines event_log, which writes one structured line for each decision or change of belief.
 */
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "base/clock.h"

namespace chervildyke {

using event_field = std::pair<std::string_view, std::string>;

/** Writes lines of key=value pairs to standard output. Lines beyond the rate are dropped and
 * counted, and a reader that is too slow loses lines instead of holding up the process.
 */
class event_log {
  public:
    explicit event_log(const char* part) : part_(part) {}

    /** \param event what happened, as one word.
     * \param fields what decided it, with its age or version, and the outcome.
     */
    void write(std::string_view event, std::initializer_list<event_field> fields) const;

  private:
    const char* part_;
};

/** Sets standard output up for event_log. Lines carry the node's name.
 * \param lines_per_s how many lines the process writes a second at most.
 */
void start_event_log(std::string node, double lines_per_s = 400);

/** \return how many lines were dropped since the start. */
std::uint64_t dropped_event_lines();

/** Milliseconds as log lines show them. */
std::string to_ms_text(duration span);

} // namespace chervildyke
