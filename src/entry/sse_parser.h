/** \file
 * Defines sse_parser, which parses a stream of server-sent events.
 */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chervildyke {

/** Buffers the bytes of a stream and returns the data of each complete event. Ignores comments and
 * fields other than data.
 */
class sse_parser {
  public:
    /** \param max_event_bytes at most twice as many bytes are buffered: unread input and the data
     * of an incomplete event together.
     */
    explicit sse_parser(std::size_t max_event_bytes = 1U << 20U);

    /** Adds bytes of the stream.
     * \return false if more than twice max_event_bytes would be buffered; the stream can't be
     * parsed further.
     */
    bool feed(std::string_view bytes);

    /** \return the data of the next complete event, or nothing if more bytes are needed. */
    std::optional<std::string> next_event();

  private:
    std::optional<std::string_view> next_line();

    std::size_t max_event_bytes_;
    std::string buffer_;
    std::size_t read_position_ = 0; // The start of the next line in the buffer.
    std::string data_;
    bool has_data_ = false;
};

} // namespace chervildyke
