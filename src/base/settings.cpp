/** \file
 * Implements the reading of documents with nlohmann-json and protobuf's JSON parser.
 */
#include "base/settings.h"

#include <fstream>
#include <sstream>

#include <google/protobuf/util/json_util.h>

#include "base/located_json.h"
#include "base/schema_check.h"

namespace chervildyke {

std::string settings_fault::to_string() const
{
    std::string text = file;
    if (line > 0) {
        text += ":" + std::to_string(line);
    }
    return text + ": " + (path.empty() ? "/" : path) + ": expected " + expected;
}

std::vector<settings_fault> parse_document(const std::string& text, const std::string& file,
                                           google::protobuf::Message& into)
{
    json_syntax_error error;
    const auto located = parse_located_json(text, error);
    if (!located) {
        return {{file, error.line, "", "JSON, with or without comments; " + error.reason}};
    }
    std::vector<settings_fault> faults =
        check_against_schema(*located, *into.GetDescriptor(), file);
    if (!faults.empty()) {
        return faults;
    }
    into.Clear();
    const auto status =
        google::protobuf::util::JsonStringToMessage(located->document.dump(), &into);
    if (!status.ok()) {
        return {{file, 0, "",
                 "a document of the type " + into.GetDescriptor()->name() + "; " +
                     std::string(status.message())}};
    }
    return {};
}

std::vector<settings_fault> load_document(const std::string& file, google::protobuf::Message& into)
{
    std::ifstream stream(file);
    if (!stream) {
        return {{file, 0, "", "a readable file"}};
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parse_document(text.str(), file, into);
}

} // namespace chervildyke
