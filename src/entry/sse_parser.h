/** \file
 * Defines sse_parser, which cuts a stream of server-sent events into their data.
 */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chervildyke {

/** Collects bytes and gives the data of each event that has ended. Fields other than data are
 * ignored, as are comments.
 */
class sse_parser {
  public:
    /** \param max_event_bytes the longest event that is accepted. */
    explicit sse_parser(std::size_t max_event_bytes = 1U << 20U);

    /** Adds bytes of the stream.
     * \return false once an event is longer than allowed; the stream is then of no use.
     */
    bool feed(std::string_view bytes);

    /** \return the data of the next event that has ended, if there is one. */
    std::optional<std::string> next();

  private:
    std::optional<std::string_view> next_line();

    std::size_t max_event_bytes_;
    std::string buffer_;
    std::size_t read_ = 0; // Up to here the buffer's lines have been taken.
    std::string data_;
    bool has_data_ = false;
};

} // namespace chervildyke
