/** \file
 * Defines how settings and published documents are read: JSON with comments, checked against the
 * schema.
 */
#pragma once

#include <string>
#include <vector>

#include <google/protobuf/message.h>

#include "base/result.h"

namespace chervildyke {

enum class settings_error { none, unreadable, not_json, not_valid };

/** One thing that is wrong with a document. */
struct settings_fault {
    std::string file;
    std::size_t line = 0; // From one; zero when unknown.
    std::string path;     // Such as /node/address.
    std::string expected;

    /** \return file:line: path: expected ... */
    std::string to_string() const;
    bool operator==(const settings_fault&) const = default;
};

/** Parses JSON with comments into a message of the schema and checks each field's rule.
 * \param text the document.
 * \param file the name that faults carry.
 * \param into filled only when there is no fault.
 * \return every fault found; empty when the document is good.
 */
std::vector<settings_fault> parse_document(const std::string& text, const std::string& file,
                                           google::protobuf::Message& into);

/** Reads a file and parses it as parse_document does. */
std::vector<settings_fault> load_document(const std::string& file, google::protobuf::Message& into);

} // namespace chervildyke
