/** \file
 * Defines the JSON form of schema messages, as the platform's HTTP calls carry it.
 */
#pragma once

#include <string>

#include <google/protobuf/message.h>

#include "base/http_message.h"

namespace chervildyke {

/** \return the message as one line of JSON with the schema's field names. */
std::string to_json(const google::protobuf::Message& message);

/** Reads a message from JSON, ignoring fields it does not know, as a peer may be newer.
 * \return false when the text is not such a message.
 */
bool from_json(const std::string& text, google::protobuf::Message& into);

/** \return a POST request whose body is the message in JSON. */
http_request json_post(std::string target, const google::protobuf::Message& body);

} // namespace chervildyke
