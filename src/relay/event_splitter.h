/** \file
 * Defines event_splitter, which cuts the bytes of a stream into whole events and reads their ids.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervildyke {

/** The bytes of one server-sent event, with its blank line. */
struct raw_event {
    std::string bytes;
    std::optional<std::uint64_t> id;

    bool operator==(const raw_event&) const = default;
};

class event_splitter {
  public:
    void feed(std::string_view bytes) { buffer_ += bytes; }

    /** \return the next event that has ended, unchanged to the byte. */
    std::optional<raw_event> next();

    /** True when bytes are left that are no whole event. */
    bool has_rest() const { return !buffer_.empty(); }

    /** \return how many bytes wait for the end of their event. */
    std::size_t rest_bytes() const { return buffer_.size(); }

  private:
    std::string buffer_;
};

} // namespace chervildyke
