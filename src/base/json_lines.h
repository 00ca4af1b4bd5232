/** \file
 * Defines located_json, a JSON document with comments whose values know their line.
 */
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace chervildyke {

/** A parsed document beside the line of each value, by JSON pointer. */
struct located_json {
    nlohmann::json document;
    std::map<std::string, std::size_t> lines;
    std::vector<std::string> repeated_keys; // Pointers of keys that stand twice in one object.

    /** \return the line of a pointer, or of its nearest parent. */
    std::size_t line_of(std::string pointer) const;
};

/** Where and why a text is not JSON. */
struct json_syntax_error {
    std::size_t line = 0;
    std::string reason;
};

/** Parses a text.
 * \param error filled when the text is not JSON with comments.
 */
std::optional<located_json> parse_located_json(const std::string& text, json_syntax_error& error);

/** \return a pointer with one more step, escaped as RFC 6901 says. */
std::string child_pointer(const std::string& parent, const std::string& step);

} // namespace chervildyke
