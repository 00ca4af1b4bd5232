/** \file
 * Implements located_json with the SAX parser of nlohmann-json and an iterator that counts lines.
 */
#include "base/located_json.h"

#include <iterator>
#include <set>

#include <boost/algorithm/string/replace.hpp>

namespace chervildyke {

namespace {

using nlohmann::json;

/** Iterates over a text and counts the line of the character that was read last. */
class line_counting_iterator {
  public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    line_counting_iterator(const char* at, std::size_t* line) : position_(at), line_(line) {}
    reference operator*() const { return *position_; }
    line_counting_iterator& operator++()
    {
        // A line begins with the character after the line break.
        if (pending_break_) {
            ++*line_;
        }
        pending_break_ = *position_ == '\n';
        ++position_;
        return *this;
    }
    line_counting_iterator operator++(int)
    {
        line_counting_iterator before = *this;
        ++*this;
        return before;
    }
    bool operator==(const line_counting_iterator& other) const
    {
        return position_ == other.position_;
    }
    bool operator!=(const line_counting_iterator& other) const
    {
        return position_ != other.position_;
    }

  private:
    const char* position_;
    std::size_t* line_;
    bool pending_break_ = false;
};

/** Handles the events of the SAX parser and records the line of every value. */
class line_recorder : public nlohmann::json_sax<json> {
  public:
    line_recorder(const std::size_t& line, located_json& into) : line_(line), located_(into) {}

    bool null() override { return value(); }
    bool boolean(bool) override { return value(); }
    bool number_integer(number_integer_t) override { return value(); }
    bool number_unsigned(number_unsigned_t) override { return value(); }
    bool number_float(number_float_t, const string_t&) override { return value(); }
    bool string(string_t&) override { return value(); }
    bool binary(binary_t&) override { return value(); }
    bool start_object(std::size_t) override
    {
        enter_value();
        push_level(false);
        return true;
    }
    bool key(string_t& name) override
    {
        level& top = levels_.back();
        top.step = name;
        const std::string pointer = child_pointer(top.pointer, name);
        if (!top.keys.insert(name).second) {
            located_.repeated_keys.push_back(pointer);
        }
        located_.lines[pointer] = line_;
        return true;
    }
    bool end_object() override { return end_level(); }
    bool start_array(std::size_t) override
    {
        enter_value();
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

    void enter_value()
    {
        if (levels_.empty()) {
            current_pointer_.clear();
            located_.lines[current_pointer_] = line_;
            return;
        }
        level& top = levels_.back();
        if (top.is_array) {
            current_pointer_ = child_pointer(top.pointer, std::to_string(top.next_index++));
            located_.lines[current_pointer_] = line_;
        }
        else {
            current_pointer_ = child_pointer(top.pointer, top.step);
        }
    }
    void push_level(bool is_array)
    {
        level next;
        next.pointer = current_pointer_;
        next.is_array = is_array;
        levels_.push_back(std::move(next));
    }
    bool value()
    {
        enter_value();
        return true;
    }
    bool end_level()
    {
        levels_.pop_back();
        return true;
    }

    const std::size_t& line_;
    located_json& located_;
    std::vector<level> levels_;
    std::string current_pointer_;
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
