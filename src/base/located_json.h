/** \file
 * Defines located_json, a parsed JSON document together with the line of each of its values.
 */
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace chervildyke {

/** A parsed document and the line numbers of its values, by JSON pointer. */
struct located_json {
    nlohmann::json document;
    std::map<std::string, std::size_t> lines;
    std::vector<std::string> repeated_keys; // Pointers of keys that occur twice in one object.

    /** \return the line of the value at a pointer, or of its nearest parent that has one; 0 if
     * none.
     */
    std::size_t line_of(std::string pointer) const;
};

/** Why a text is not valid JSON. */
struct json_syntax_error {
    std::size_t line = 0; // From one.
    std::string reason;
};

/** Parses JSON, which may contain comments.
 * \param error set if the text is not valid.
 * \return the document, or nothing if the text is not valid.
 */
std::optional<located_json> parse_located_json(const std::string& text, json_syntax_error& error);

/** Appends a key or an index to a JSON pointer, escaped as RFC 6901 requires.
 * \return the pointer of the child.
 */
std::string child_pointer(const std::string& parent, const std::string& step);

} // namespace chervildyke
