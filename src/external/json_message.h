/** \file
 * Defines functions that convert schema messages to and from JSON, for the platform's HTTP calls.
 */
#pragma once

#include <string>

#include <google/protobuf/message.h>

#include "base/http_message.h"

namespace chervildyke {

/** \return the message as one line of JSON with the field names of the schema. */
std::string to_json(const google::protobuf::Message& message);

/** Parses a message from JSON. Unknown fields are ignored, since the peer may be a newer version.
 * \return false if the text is not such a message.
 */
bool from_json(const std::string& text, google::protobuf::Message& into);

/** \return a POST request with the message in JSON as its body. */
http_request json_post(std::string target, const google::protobuf::Message& body);

} // namespace chervildyke
