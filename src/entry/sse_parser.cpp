/** \file
 * Implements sse_parser.
 */
#include "entry/sse_parser.h"

#include <utility>

namespace chervildyke {

sse_parser::sse_parser(std::size_t max_event_bytes) : max_event_bytes_(max_event_bytes) {}

bool sse_parser::feed(std::string_view bytes)
{
    buffer_.erase(0, read_position_);
    read_position_ = 0;
    if (buffer_.size() + data_.size() + bytes.size() > 2 * max_event_bytes_) {
        return false;
    }
    buffer_.append(bytes);
    return true;
}

std::optional<std::string_view> sse_parser::next_line()
{
    const std::size_t end = buffer_.find('\n', read_position_);
    if (end == std::string::npos) {
        return std::nullopt;
    }
    std::string_view line = std::string_view(buffer_).substr(read_position_, end - read_position_);
    read_position_ = end + 1;
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    return line;
}

std::optional<std::string> sse_parser::next_event()
{
    constexpr std::string_view data_field = "data:";
    while (const auto line = next_line()) {
        if (line->empty() && has_data_) {
            has_data_ = false;
            return std::exchange(data_, std::string());
        }
        if (!line->starts_with(data_field)) {
            continue;
        }
        std::string_view value = line->substr(data_field.size());
        if (value.starts_with(' ')) {
            value.remove_prefix(1);
        }
        if (has_data_) {
            data_ += '\n';
        }
        data_ += value;
        has_data_ = true;
    }
    return std::nullopt;
}

} // namespace chervildyke
