/** \file
 * Implements the reading of documents with nlohmann-json and protobuf's JSON form.
 */
#include "base/settings.h"

#include <fstream>
#include <sstream>

#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>

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
    const auto document = nlohmann::json::parse(text, nullptr, false, true);
    if (document.is_discarded()) {
        return {{file, 0, "", "JSON, with or without comments"}};
    }
    into.Clear();
    const auto status = google::protobuf::util::JsonStringToMessage(document.dump(), &into);
    if (!status.ok()) {
        return {{file, 0, "", "a document of the schema; " + std::string(status.message())}};
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
