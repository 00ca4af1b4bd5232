/** \file
 * Implements event_splitter.
 */
#include "relay/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace chervildyke {

namespace {

std::optional<std::uint64_t> read_id(std::string_view event)
{
    std::optional<std::uint64_t> id;
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        while (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        std::uint64_t number = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), number);
        if (parsed.ec == std::errc()) {
            id = number;
        }
    }
    return id;
}

} // namespace

std::optional<raw_event> event_splitter::next()
{
    constexpr std::string_view dos_mark = "\r\n\r\n";
    const std::size_t unix_end = buffer_.find("\n\n", searched_bytes_);
    const std::size_t dos_end = buffer_.find(dos_mark, searched_bytes_);
    if (unix_end == std::string::npos && dos_end == std::string::npos) {
        searched_bytes_ = buffer_.size() - std::min(buffer_.size(), dos_mark.size() - 1);
        return std::nullopt;
    }
    searched_bytes_ = 0;
    const std::size_t end = unix_end < dos_end ? unix_end + 2 : dos_end + 4;
    raw_event event;
    event.bytes = buffer_.substr(0, end);
    event.id = read_id(event.bytes);
    buffer_.erase(0, end);
    return event;
}

} // namespace chervildyke
