/** \file
 * Implements located_json with nlohmann-json's event interface over an iterator that counts lines.
 */
#include "base/json_lines.h"

#include <iterator>
#include <set>

#include <boost/algorithm/string/replace.hpp>

namespace chervildyke {

namespace {

using nlohmann::json;

/** Reads characters and counts the line of the last one that was taken. */
class line_counting_iterator {
  public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    line_counting_iterator(const char* at, std::size_t* line) : at_(at), line_(line) {}
    reference operator*() const { return *at_; }
    line_counting_iterator& operator++()
    {
        // A line break counts once the character after it is taken.
        if (pending_break_) {
            ++*line_;
        }
        pending_break_ = *at_ == '\n';
        ++at_;
        return *this;
    }
    line_counting_iterator operator++(int)
    {
        line_counting_iterator before = *this;
        ++*this;
        return before;
    }
    bool operator==(const line_counting_iterator& other) const { return at_ == other.at_; }
    bool operator!=(const line_counting_iterator& other) const { return at_ != other.at_; }

  private:
    const char* at_;
    std::size_t* line_;
    bool pending_break_ = false;
};

/** Follows the parser's events and notes the line of every pointer. */
class line_recorder : public nlohmann::json_sax<json> {
  public:
    line_recorder(const std::size_t& line, located_json& into) : line_(line), into_(into) {}

    bool null() override { return value(); }
    bool boolean(bool) override { return value(); }
    bool number_integer(number_integer_t) override { return value(); }
    bool number_unsigned(number_unsigned_t) override { return value(); }
    bool number_float(number_float_t, const string_t&) override { return value(); }
    bool string(string_t&) override { return value(); }
    bool binary(binary_t&) override { return value(); }
    bool start_object(std::size_t) override
    {
        begin_value();
        push_level(false);
        return true;
    }
    bool key(string_t& name) override
    {
        level& top = levels_.back();
        top.step = name;
        const std::string pointer = child_pointer(top.pointer, name);
        if (!top.keys.insert(name).second) {
            into_.repeated_keys.push_back(pointer);
        }
        into_.lines[pointer] = line_;
        return true;
    }
    bool end_object() override { return end_level(); }
    bool start_array(std::size_t) override
    {
        begin_value();
        push_level(true);
        return true;
    }
    bool end_array() override { return end_level(); }
    bool parse_error(std::size_t, const std::string&,
                     const nlohmann::detail::exception& error) override
    {
        reason_ = error.what();
        return false;
    }
    const std::string& reason() const { return reason_; }

  private:
    struct level {
        std::string pointer;
        std::string step;
        std::set<std::string> keys;
        std::size_t next_index = 0;
        bool is_array = false;
    };

    void begin_value()
    {
        if (levels_.empty()) {
            current_.clear();
            into_.lines[current_] = line_;
            return;
        }
        level& top = levels_.back();
        if (top.is_array) {
            current_ = child_pointer(top.pointer, std::to_string(top.next_index++));
            into_.lines[current_] = line_;
        }
        else {
            current_ = child_pointer(top.pointer, top.step);
        }
    }
    void push_level(bool is_array)
    {
        level next;
        next.pointer = current_;
        next.is_array = is_array;
        levels_.push_back(std::move(next));
    }
    bool value()
    {
        begin_value();
        return true;
    }
    bool end_level()
    {
        levels_.pop_back();
        return true;
    }

    const std::size_t& line_;
    located_json& into_;
    std::vector<level> levels_;
    std::string current_;
    std::string reason_;
};

} // namespace

std::string child_pointer(const std::string& parent, const std::string& step)
{
    std::string escaped = step;
    boost::algorithm::replace_all(escaped, "~", "~0");
    boost::algorithm::replace_all(escaped, "/", "~1");
    return parent + "/" + escaped;
}

std::size_t located_json::line_of(std::string pointer) const
{
    while (true) {
        if (const auto found = lines.find(pointer); found != lines.end()) {
            return found->second;
        }
        if (pointer.empty()) {
            return 0;
        }
        pointer.resize(pointer.rfind('/'));
    }
}

std::optional<located_json> parse_located_json(const std::string& text, json_syntax_error& error)
{
    located_json located;
    std::size_t line = 1;
    line_recorder recorder(line, located);
    const line_counting_iterator begin(text.data(), &line);
    const line_counting_iterator end(text.data() + text.size(), &line);
    if (!json::sax_parse(begin, end, &recorder, json::input_format_t::json, true, true)) {
        error = {line, recorder.reason()};
        return std::nullopt;
    }
    located.document = json::parse(text, nullptr, false, true);
    return located;
}

} // namespace chervildyke
