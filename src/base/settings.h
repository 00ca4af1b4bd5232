/** \file
 * Defines parse_document and load_document, which read JSON with comments and check it against the
 * schema.
 */
#pragma once

#include <string>
#include <vector>

#include <google/protobuf/message.h>

#include "base/result.h"

namespace chervildyke {

enum class settings_error { none, unreadable, not_json, not_valid };

/** An error in a document. */
struct settings_fault {
    std::string file;
    std::size_t line = 0; // From one; zero if unknown.
    std::string path;     // JSON pointer, such as /node/address.
    std::string expected; // What the document should contain there, and what it does contain.

    /** \return the fault in the form "file:line: path: expected ...". */
    std::string to_string() const;
    bool operator==(const settings_fault&) const = default;
};

/** Parses JSON with comments into a message of the schema and checks the rule of each field.
 * \param text the document.
 * \param file the file name to put into the faults.
 * \param into set only if there is no fault.
 * \return all faults found; empty if the document is valid.
 */
std::vector<settings_fault> parse_document(const std::string& text, const std::string& file,
                                           google::protobuf::Message& into);

/** Reads a file and parses it with parse_document(). */
std::vector<settings_fault> load_document(const std::string& file, google::protobuf::Message& into);

} // namespace chervildyke
