/** \file
 * Defines event_splitter, which splits the bytes of a stream into server-sent events and parses
 * their ids.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervildyke {

/** The bytes of one server-sent event, including the blank line that ends it. */
struct raw_event {
    std::string bytes;
    std::optional<std::uint64_t> id;

    /** \return true if it only keeps the connection open. */
    bool is_comment() const { return !id && bytes.starts_with(':'); }

    bool operator==(const raw_event&) const = default;
};

/** Buffers the bytes of one stream until they form whole events. */
class event_splitter {
  public:
    /** Appends bytes of the stream. */
    void feed(std::string_view bytes) { buffer_ += bytes; }

    /** \return the next whole event, byte for byte; nullopt if there is none yet. */
    std::optional<raw_event> next();

    /** \return true if bytes of an unfinished event are buffered. */
    bool has_partial_event() const { return !buffer_.empty(); }

    /** \return the number of buffered bytes. */
    std::size_t partial_event_bytes() const { return buffer_.size(); }

  private:
    std::string buffer_;
    std::size_t searched_bytes_ = 0; // At the begin of the buffer, without the end of an event.
};

} // namespace chervildyke
