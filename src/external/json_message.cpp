/** \file
 * Implements the conversion with protobuf's JSON functions.
 */
#include "external/json_message.h"

#include <google/protobuf/util/json_util.h>

namespace chervildyke {

std::string to_json(const google::protobuf::Message& message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    std::string text;
    const auto status = google::protobuf::util::MessageToJsonString(message, &text, options);
    return status.ok() ? text : std::string();
}

bool from_json(const std::string& text, google::protobuf::Message& into)
{
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    return google::protobuf::util::JsonStringToMessage(text, &into, options).ok();
}

http_request json_post(std::string target, const google::protobuf::Message& body)
{
    http_request request;
    request.method = "POST";
    request.target = std::move(target);
    request.headers = {{"Content-Type", "application/json"}};
    request.body = to_json(body);
    return request;
}

} // namespace chervildyke
